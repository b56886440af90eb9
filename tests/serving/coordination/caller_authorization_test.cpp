/// Authorization of callers: single cases, and invariants over generated configuration histories.

#include "coordination/serving/caller_authorization.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "coordination/serving/serving_state.h"
#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

using Error = AuthorizationError;

constexpr std::uint64_t kVersion = 7;

std::shared_ptr<const ServingView> viewWith(std::vector<Tenant> tenants) {
  auto configuration = std::make_shared<ServingConfiguration>();
  configuration->version = kVersion;
  configuration->tenants = std::move(tenants);
  ServingState knowledge{ServingStateSettings{}};
  REQUIRE(knowledge.onConfiguration(configuration).empty());
  return knowledge.takeChangedView();
}

Route routeThatIs(bool isPublic) {
  Route route = singleRoute("s", true, 1);
  route.isPublic = isPublic;
  return route;
}

/// Arguments of one call of `authorize`.
struct AuthorizationCall {
  std::shared_ptr<const ServingView> view = viewWith({{"amber", {"key-1", "key-2"}, {}, {}}});
  bool isPublic = false;
  CallerKey key;
  ConfigurationProof proof;
  AuthorizationSettings settings{std::chrono::milliseconds(4000), std::chrono::milliseconds(2500)};
  Moment now = at(10000);

  Authorization decision() const {
    return authorize(routeThatIs(isPublic), key, *view, proof, settings, now);
  }
  /// The tenant's name, "nobody" for an anonymous caller, or the number of the error.
  std::string outcome() const {
    const Authorization result = decision();
    if (const auto* error = std::get_if<Error>(&result)) {
      return nameOf(*error);
    }
    const Tenant* tenant = std::get<AuthorizedCaller>(result).tenant;
    return tenant == nullptr ? "nobody" : tenant->name;
  }
  static std::string nameOf(Error error) { return "problem " + std::to_string(static_cast<int>(error)); }
};

}  // namespace

TEST_CASE("without tenants every caller may use every route", "[serving]") {
  AuthorizationCall call;
  call.view = GENERATE(true, false) ? viewWith({}) : std::make_shared<const ServingView>();
  call.key = GENERATE(CallerKey(), CallerKey(UnreadableKey{}), CallerKey(std::string_view("key-1")));
  REQUIRE(call.outcome() == "nobody");
}

TEST_CASE("a view looks up tenants by key and holds no plain-text keys", "[serving]") {
  const auto view = viewWith({{"amber", {"key-1", "key-2"}, {}, {}}});
  REQUIRE(view->tenants->findByKey("key-2")->name == "amber");
  REQUIRE(view->configuration->tenants.size() == 1);
  REQUIRE(view->configuration->tenants.front().name == "amber");
  REQUIRE(view->configuration->tenants.front().keys.empty());
}

TEST_CASE("a known key is accepted only under a recent proof", "[serving]") {
  AuthorizationCall call;
  call.key = std::string_view(GENERATE("key-1", "key-2"));
  REQUIRE(call.outcome() == AuthorizationCall::nameOf(Error::kProofTooOld));
  call.proof = {kVersion, at(6000)};
  REQUIRE(call.outcome() == "amber");
  call.proof = {kVersion - 1, at(6000)};
  REQUIRE(call.outcome() == "amber");
  call.proof.provenAt = at(5999);
  REQUIRE(call.outcome() == AuthorizationCall::nameOf(Error::kProofTooOld));
  call.proof = {kVersion + 1, at(10000)};
  REQUIRE(call.outcome() == AuthorizationCall::nameOf(Error::kProofTooOld));
  call.settings.maxProofAge.reset();
  REQUIRE(call.outcome() == "amber");
}

TEST_CASE("an unknown key is refused for good only under a recent proof", "[serving]") {
  AuthorizationCall call;
  call.key = std::string_view("key-3");
  REQUIRE(call.outcome() == AuthorizationCall::nameOf(Error::kKeyNotYetKnown));
  call.proof = {kVersion, at(7500)};
  REQUIRE(call.outcome() == AuthorizationCall::nameOf(Error::kKeyUnknown));
  call.proof.provenAt = at(7499);
  REQUIRE(call.outcome() == AuthorizationCall::nameOf(Error::kKeyNotYetKnown));
  call.proof = {kVersion + 1, at(10000)};
  REQUIRE(call.outcome() == AuthorizationCall::nameOf(Error::kKeyNotYetKnown));
  call.settings.maxProofAge.reset();
  REQUIRE(call.outcome() == AuthorizationCall::nameOf(Error::kKeyNotYetKnown));
}

TEST_CASE("a caller without a key is refused, with or without a proof", "[serving]") {
  AuthorizationCall call;
  REQUIRE(call.outcome() == AuthorizationCall::nameOf(Error::kKeyMissing));
  call.proof = {kVersion, at(10000)};
  REQUIRE(call.outcome() == AuthorizationCall::nameOf(Error::kKeyMissing));
}

namespace {

/// What is decided on one caller, by the kind of its route.
struct DecisionRow {
  CallerKey key;
  ConfigurationProof proof;
  std::string restricted;
  std::string open;
};

const ConfigurationProof kRecentProof{kVersion, at(9000)};
const ConfigurationProof kProofTooOldForFinalRefusal{kVersion, at(7000)};
const ConfigurationProof kProofTooOldForKeys{kVersion, at(5000)};
const ConfigurationProof kNoProof;
const ConfigurationProof kProofOfNewerVersion{kVersion + 1, at(10000)};

void requireDecisions(const std::vector<DecisionRow>& rows, const std::optional<Duration>& maxProofAge) {
  for (std::size_t index = 0; index < rows.size(); ++index) {
    AuthorizationCall call;
    call.settings.maxProofAge = maxProofAge;
    call.key = rows[index].key;
    call.proof = rows[index].proof;
    CAPTURE(index);
    REQUIRE(call.outcome() == rows[index].restricted);
    call.isPublic = true;
    REQUIRE(call.outcome() == rows[index].open);
  }
}

const std::string kMissing = AuthorizationCall::nameOf(Error::kKeyMissing);
const std::string kUnreadable = AuthorizationCall::nameOf(Error::kKeyUnreadable);
const std::string kUnknown = AuthorizationCall::nameOf(Error::kKeyUnknown);
const std::string kNotYetKnown = AuthorizationCall::nameOf(Error::kKeyNotYetKnown);
const std::string kTooOld = AuthorizationCall::nameOf(Error::kProofTooOld);

}  // namespace

// Guards against a key that cannot be decided on being taken for no key, so that its tenant's request runs
// for nobody.
TEST_CASE("a caller with a key is anonymous on a public route only if provably no tenant holds the key",
          "[serving]") {
  const std::string_view known = "key-1";
  const std::string_view unknown = "key-3";
  requireDecisions({{{}, kRecentProof, kMissing, "nobody"},
                    {{}, kNoProof, kMissing, "nobody"},
                    {{}, kProofOfNewerVersion, kMissing, "nobody"},
                    {UnreadableKey{}, kRecentProof, kUnreadable, kUnreadable},
                    {UnreadableKey{}, kNoProof, kUnreadable, kUnreadable},
                    {known, kRecentProof, "amber", "amber"},
                    {known, kProofTooOldForFinalRefusal, "amber", "amber"},
                    {known, kProofTooOldForKeys, kTooOld, kTooOld},
                    {known, kNoProof, kTooOld, kTooOld},
                    {known, kProofOfNewerVersion, kTooOld, kTooOld},
                    {unknown, kRecentProof, kUnknown, "nobody"},
                    {unknown, kProofTooOldForFinalRefusal, kNotYetKnown, kNotYetKnown},
                    {unknown, kProofTooOldForKeys, kNotYetKnown, kNotYetKnown},
                    {unknown, kNoProof, kNotYetKnown, kNotYetKnown},
                    {unknown, kProofOfNewerVersion, kNotYetKnown, kNotYetKnown}},
                   std::chrono::milliseconds(4000));
}

TEST_CASE("without a bound on revoked keys, a known key needs no proof, and an unknown one does",
          "[serving]") {
  const std::string_view known = "key-1";
  const std::string_view unknown = "key-3";
  requireDecisions({{{}, kNoProof, kMissing, "nobody"},
                    {known, kRecentProof, "amber", "amber"},
                    {known, kProofTooOldForKeys, "amber", "amber"},
                    {known, kNoProof, "amber", "amber"},
                    {known, kProofOfNewerVersion, "amber", "amber"},
                    {unknown, kRecentProof, kUnknown, "nobody"},
                    {unknown, kProofTooOldForFinalRefusal, kNotYetKnown, kNotYetKnown},
                    {unknown, kNoProof, kNotYetKnown, kNotYetKnown},
                    {unknown, kProofOfNewerVersion, kNotYetKnown, kNotYetKnown}},
                   std::nullopt);
}

namespace {

constexpr int kHistories = 100'000;
constexpr std::array<const char*, 5> kKeys{"key-1", "key-2", "key-3", "key-4", "key-5"};
constexpr std::array<const char*, 3> kTenants{"amber", "birch", "cedar"};
/// Length of a history in milliseconds.
constexpr int kHistoryEnd = 10'000;

/// A version of the configuration that the source acknowledged.
struct AcknowledgedVersion {
  std::uint64_t number = 0;
  int acknowledgedAt = 0;
  /// The tenant that holds each key.
  std::map<std::string, std::string> holders;
  std::shared_ptr<const ServingConfiguration> configuration;
};

/// The versions of a source, and those that one daemon received, in any order.
class GeneratedHistory {
 public:
  explicit GeneratedHistory(std::uint32_t seed) : random_(seed) {
    const int count = drawn(1, 5);
    std::uint64_t number = 0;
    int moment = 0;
    for (int index = 0; index < count; ++index) {
      number += static_cast<std::uint64_t>(drawn(1, 4));
      moment += drawn(1, kHistoryEnd / 4);
      versions.push_back(drawVersion(number, moment));
    }
    now = drawn(versions.front().acknowledgedAt, kHistoryEnd);
    while (versions.back().acknowledgedAt > now) {
      versions.pop_back();
    }
    deliverVersions();
    drawProof();
  }

  int drawn(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }

  /// The newest version at that moment; null before the first.
  const AcknowledgedVersion* newestAt(int moment) const {
    const AcknowledgedVersion* newest = nullptr;
    for (const AcknowledgedVersion& version : versions) {
      newest = version.acknowledgedAt <= moment ? &version : newest;
    }
    return newest;
  }

  /// Whether any version that was the newest at some time in the last `window` milliseconds has the property.
  template <typename Property>
  bool anyNewest(int window, Property property) const {
    for (std::size_t index = 0; index < versions.size(); ++index) {
      const bool last = index + 1 == versions.size();
      const int end = last ? now : versions[index + 1].acknowledgedAt;
      if (end >= now - window && property(versions[index])) {
        return true;
      }
    }
    return false;
  }

  std::vector<AcknowledgedVersion> versions;
  int now = 0;
  ConfigurationProof proof;
  /// The newest version that the daemon received; 0: none.
  std::uint64_t received = 0;
  ServingState knowledge{ServingStateSettings{}};

 private:
  AcknowledgedVersion drawVersion(std::uint64_t number, int moment) {
    AcknowledgedVersion version;
    version.number = number;
    version.acknowledgedAt = moment;
    auto configuration = std::make_shared<ServingConfiguration>();
    configuration->version = number;
    if (drawn(0, 9) > 0) {
      for (const char* name : kTenants) {
        configuration->tenants.push_back(Tenant{name, {}, {}, {}});
      }
      for (const char* key : kKeys) {
        const auto holder = static_cast<std::size_t>(drawn(0, 2 * static_cast<int>(kTenants.size()) - 1));
        if (holder < kTenants.size()) {
          configuration->tenants[holder].keys.emplace_back(key);
          version.holders[key] = kTenants[holder];
        }
      }
    }
    version.configuration = std::move(configuration);
    return version;
  }

  /// Invalid, as two tenants hold the same key: no source acknowledges it, and no daemon may apply it.
  std::shared_ptr<const ServingConfiguration> invalidConfiguration() {
    auto configuration = std::make_shared<ServingConfiguration>();
    configuration->version = static_cast<std::uint64_t>(drawn(1, 30));
    configuration->tenants = {{"amber", {kKeys[0], kKeys[1]}, {}, {}}, {"birch", {kKeys[1]}, {}, {}}};
    return configuration;
  }

  void deliverVersions() {
    const int count = drawn(0, 6);
    for (int index = 0; index < count; ++index) {
      if (drawn(0, 5) == 0) {
        knowledge.onConfiguration(invalidConfiguration());
        continue;
      }
      const auto chosen = static_cast<std::size_t>(drawn(0, static_cast<int>(versions.size()) - 1));
      knowledge.onConfiguration(versions[chosen].configuration);
      received = std::max(received, versions[chosen].number);
    }
  }

  void drawProof() {
    const int provenAt = drawn(-1, now);
    const AcknowledgedVersion* newest = newestAt(provenAt);
    if (newest != nullptr) {
      proof = ConfigurationProof{newest->number, at(provenAt)};
    }
  }

  std::mt19937 random_;
};

/// One request to the daemon of a history.
struct GeneratedCaller {
  explicit GeneratedCaller(GeneratedHistory& history) {
    const int chosen = history.drawn(0, static_cast<int>(kKeys.size()) + 1);
    if (chosen < static_cast<int>(kKeys.size())) {
      key = kKeys[static_cast<std::size_t>(chosen)];
    } else if (chosen == static_cast<int>(kKeys.size())) {
      key = "never given";
    }
    isPublic = history.drawn(0, 3) == 0;
    finalBound = history.drawn(0, kHistoryEnd / 2);
    if (history.drawn(0, 3) > 0) {
      maxProofAge = history.drawn(0, kHistoryEnd / 2);
    }
  }

  AuthorizationSettings settings() const {
    AuthorizationSettings made;
    made.maxProofAgeForFinalRefusal = std::chrono::milliseconds(finalBound);
    if (maxProofAge) {
      made.maxProofAge = std::chrono::milliseconds(*maxProofAge);
    }
    return made;
  }

  std::optional<std::string> key;
  bool isPublic = false;
  int finalBound = 0;
  std::optional<int> maxProofAge;
};

/// A caller with a key may be anonymous only if no tenant held the key in some version that was the newest
/// within the bound on final refusals.
void checkAnonymous(const GeneratedHistory& history, const GeneratedCaller& caller,
                    const AcknowledgedVersion& used) {
  if (!caller.key) {
    return;
  }
  const auto lacks = [&](const AcknowledgedVersion& version) {
    return version.holders.count(*caller.key) == 0;
  };
  REQUIRE(lacks(used));
  REQUIRE(history.anyNewest(caller.finalBound, lacks));
}

void checkServed(const GeneratedHistory& history, const GeneratedCaller& caller,
                 const AcknowledgedVersion& used, const Tenant* tenant) {
  if (used.configuration->tenants.empty()) {
    REQUIRE(tenant == nullptr);
    return;
  }
  if (tenant == nullptr) {
    REQUIRE(caller.isPublic);
    checkAnonymous(history, caller, used);
    return;
  }
  const auto holds = [&](const AcknowledgedVersion& version) {
    const auto found = version.holders.find(caller.key.value());
    return found != version.holders.end() && found->second == tenant->name;
  };
  REQUIRE(holds(used));
  if (caller.maxProofAge) {
    REQUIRE(history.anyNewest(*caller.maxProofAge, holds));
  }
}

void checkRefused(const GeneratedHistory& history, const GeneratedCaller& caller,
                  const AcknowledgedVersion& used, Error error) {
  const bool final = error == Error::kKeyMissing || error == Error::kKeyUnknown;
  REQUIRE_FALSE((caller.isPublic && final));
  REQUIRE_FALSE(used.configuration->tenants.empty());
  REQUIRE((error == Error::kKeyMissing) == !caller.key.has_value());
  if (!caller.key) {
    return;
  }
  const auto lacks = [&](const AcknowledgedVersion& version) {
    return version.holders.count(*caller.key) == 0;
  };
  REQUIRE((error == Error::kProofTooOld) == !lacks(used));
  if (error == Error::kKeyUnknown) {
    REQUIRE(history.anyNewest(caller.finalBound, lacks));
  }
  const bool proven = history.proof.version != 0;
  const Duration age = at(history.now) - history.proof.provenAt;
  const bool current = proven && used.number >= history.proof.version;
  const Duration bound = std::chrono::milliseconds(caller.maxProofAge.value_or(0));
  const bool mustServe = !lacks(used) && (!caller.maxProofAge || (current && age <= bound));
  REQUIRE_FALSE(mustServe);
  const bool knownToBeAnonymous =
      lacks(used) && current && age <= std::chrono::milliseconds(caller.finalBound);
  REQUIRE_FALSE((caller.isPublic && knownToBeAnonymous));
}

}  // namespace

TEST_CASE("in generated histories a caller is admitted only if a version in effect allows it", "[serving]") {
  int served = 0;
  int refused = 0;
  for (int seed = 0; seed < kHistories; ++seed) {
    GeneratedHistory history(static_cast<std::uint32_t>(seed));
    const GeneratedCaller caller(history);
    const auto view = history.knowledge.takeChangedView();
    if (history.received == 0) {
      continue;
    }
    CAPTURE(seed);
    REQUIRE(view->configuration->version == history.received);
    const auto used =
        std::find_if(history.versions.begin(), history.versions.end(),
                     [&](const AcknowledgedVersion& version) { return version.number == history.received; });
    const CallerKey key = caller.key ? CallerKey(std::string_view(*caller.key)) : CallerKey(NoKey{});
    const Authorization result = authorize(routeThatIs(caller.isPublic), key, *view, history.proof,
                                           caller.settings(), at(history.now));
    if (const auto* allowed = std::get_if<AuthorizedCaller>(&result)) {
      served += allowed->tenant != nullptr ? 1 : 0;
      checkServed(history, caller, *used, allowed->tenant);
    } else {
      ++refused;
      checkRefused(history, caller, *used, std::get<Error>(result));
    }
  }
  // Both outcomes must be frequent for the loop to be meaningful.
  REQUIRE(served > kHistories / 20);
  REQUIRE(refused > kHistories / 20);
}

}  // namespace oakpier::serving
