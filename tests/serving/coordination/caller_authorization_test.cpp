/// Who may use a route, by single cases and by generated histories of a configuration.

#include "coordination/serving/caller_authorization.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "coordination/serving/serving_state.h"
#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

using Problem = AuthorizationProblem;

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

/// One question to `authorize`; changed field by field.
struct Question {
  std::shared_ptr<const ServingView> view = viewWith({{"amber", {"key-1", "key-2"}, {}, {}}});
  bool isPublic = false;
  std::optional<std::string_view> key;
  ConfigurationProof proof;
  AuthorizationSettings settings{std::chrono::milliseconds(4000), std::chrono::milliseconds(2500)};
  Moment now = at(10000);

  Authorization answer() const { return authorize(routeThatIs(isPublic), key, *view, proof, settings, now); }
  /// The tenant's name, empty for none, or the problem's number.
  std::string text() const {
    const Authorization answered = answer();
    if (const auto* problem = std::get_if<Problem>(&answered)) {
      return textOf(*problem);
    }
    const Tenant* tenant = std::get<AuthorizedCaller>(answered).tenant;
    return tenant == nullptr ? "nobody" : tenant->name;
  }
  static std::string textOf(Problem problem) {
    return "problem " + std::to_string(static_cast<int>(problem));
  }
};

}  // namespace

TEST_CASE("without tenants everyone may use every route", "[serving]") {
  Question question;
  question.view = GENERATE(true, false) ? viewWith({}) : std::make_shared<const ServingView>();
  question.key = GENERATE(std::optional<std::string_view>(), std::optional<std::string_view>("key-1"));
  REQUIRE(question.text() == "nobody");
}

TEST_CASE("a view knows tenants by name and digest, and holds no key in clear", "[serving]") {
  const auto view = viewWith({{"amber", {"key-1", "key-2"}, {}, {}}});
  REQUIRE(view->tenants->holderOf("key-2")->name == "amber");
  REQUIRE(view->configuration->tenants.size() == 1);
  REQUIRE(view->configuration->tenants.front().name == "amber");
  REQUIRE(view->configuration->tenants.front().keys.empty());
}

TEST_CASE("a known key is used while the configuration is proved fresh", "[serving]") {
  Question question;
  question.key = GENERATE("key-1", "key-2");
  REQUIRE(question.text() == Question::textOf(Problem::kProofTooOld));
  question.proof = {kVersion, at(6000)};
  REQUIRE(question.text() == "amber");
  question.proof = {kVersion - 1, at(6000)};
  REQUIRE(question.text() == "amber");
  question.proof.provenAt = at(5999);
  REQUIRE(question.text() == Question::textOf(Problem::kProofTooOld));
  question.proof = {kVersion + 1, at(10000)};
  REQUIRE(question.text() == Question::textOf(Problem::kProofTooOld));
  question.settings.proofBound.reset();
  REQUIRE(question.text() == "amber");
}

TEST_CASE("an unknown key is finally refused only under a fresh proof", "[serving]") {
  Question question;
  question.key = "key-3";
  REQUIRE(question.text() == Question::textOf(Problem::kKeyMaybeNew));
  question.proof = {kVersion, at(7500)};
  REQUIRE(question.text() == Question::textOf(Problem::kKeyUnknown));
  question.proof.provenAt = at(7499);
  REQUIRE(question.text() == Question::textOf(Problem::kKeyMaybeNew));
  question.proof = {kVersion + 1, at(10000)};
  REQUIRE(question.text() == Question::textOf(Problem::kKeyMaybeNew));
  question.settings.proofBound.reset();
  REQUIRE(question.text() == Question::textOf(Problem::kKeyMaybeNew));
}

TEST_CASE("a caller without a key is refused at once, with or without a proof", "[serving]") {
  Question question;
  REQUIRE(question.text() == Question::textOf(Problem::kKeyMissing));
  question.proof = {kVersion, at(10000)};
  REQUIRE(question.text() == Question::textOf(Problem::kKeyMissing));
}

TEST_CASE("a public route serves everyone, and tenants as themselves where that is proved", "[serving]") {
  Question question;
  question.isPublic = true;
  REQUIRE(question.text() == "nobody");
  question.key = "key-3";
  REQUIRE(question.text() == "nobody");
  question.key = "key-1";
  REQUIRE(question.text() == "nobody");
  question.proof = {kVersion, at(9000)};
  REQUIRE(question.text() == "amber");
}

namespace {

constexpr int kHistories = 100'000;
constexpr std::array<const char*, 5> kKeys{"key-1", "key-2", "key-3", "key-4", "key-5"};
constexpr std::array<const char*, 3> kTenants{"amber", "birch", "cedar"};
/// Histories lie within this many milliseconds.
constexpr int kHistoryEnd = 10'000;

/// A version as its source acknowledged it.
struct AcknowledgedVersion {
  std::uint64_t number = 0;
  int acknowledgedAt = 0;
  /// The tenant that holds each key.
  std::map<std::string, std::string> holders;
  std::shared_ptr<const ServingConfiguration> configuration;
};

/// A source's versions, and what one daemon has heard of them in an order of its own.
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
    tellDaemon();
    drawProof();
  }

  int drawn(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }

  /// The version that was the newest at a moment; null before the first.
  const AcknowledgedVersion* newestAt(int moment) const {
    const AcknowledgedVersion* newest = nullptr;
    for (const AcknowledgedVersion& version : versions) {
      newest = version.acknowledgedAt <= moment ? &version : newest;
    }
    return newest;
  }

  /// Whether any version that was the newest at some moment of the last `window` milliseconds has the
  /// property.
  template <typename Property>
  bool anyInForce(int window, Property property) const {
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
  /// The newest version that the daemon was told; 0: none.
  std::uint64_t told = 0;
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

  /// With a key at two tenants: no source acknowledges it, and no daemon may take it over.
  std::shared_ptr<const ServingConfiguration> unusable() {
    auto configuration = std::make_shared<ServingConfiguration>();
    configuration->version = static_cast<std::uint64_t>(drawn(1, 30));
    configuration->tenants = {{"amber", {kKeys[0], kKeys[1]}, {}, {}}, {"birch", {kKeys[1]}, {}, {}}};
    return configuration;
  }

  void tellDaemon() {
    const int count = drawn(0, 6);
    for (int index = 0; index < count; ++index) {
      if (drawn(0, 5) == 0) {
        knowledge.onConfiguration(unusable());
        continue;
      }
      const auto place = static_cast<std::size_t>(drawn(0, static_cast<int>(versions.size()) - 1));
      knowledge.onConfiguration(versions[place].configuration);
      told = std::max(told, versions[place].number);
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

/// What one caller asks of the daemon of a history.
struct GeneratedCaller {
  explicit GeneratedCaller(GeneratedHistory& history) {
    const int place = history.drawn(0, static_cast<int>(kKeys.size()) + 1);
    if (place < static_cast<int>(kKeys.size())) {
      key = kKeys[static_cast<std::size_t>(place)];
    } else if (place == static_cast<int>(kKeys.size())) {
      key = "never given";
    }
    isPublic = history.drawn(0, 3) == 0;
    finalBound = history.drawn(0, kHistoryEnd / 2);
    if (history.drawn(0, 3) > 0) {
      proofBound = history.drawn(0, kHistoryEnd / 2);
    }
  }

  AuthorizationSettings settings() const {
    AuthorizationSettings made;
    made.finalRefusalBound = std::chrono::milliseconds(finalBound);
    if (proofBound) {
      made.proofBound = std::chrono::milliseconds(*proofBound);
    }
    return made;
  }

  std::optional<std::string> key;
  bool isPublic = false;
  int finalBound = 0;
  std::optional<int> proofBound;
};

void checkServed(const GeneratedHistory& history, const GeneratedCaller& caller,
                 const AcknowledgedVersion& used, const Tenant* tenant) {
  const bool openToAll = caller.isPublic || used.configuration->tenants.empty();
  if (tenant == nullptr) {
    REQUIRE(openToAll);
    return;
  }
  const auto holds = [&](const AcknowledgedVersion& version) {
    const auto found = version.holders.find(caller.key.value());
    return found != version.holders.end() && found->second == tenant->name;
  };
  REQUIRE(holds(used));
  if (caller.proofBound) {
    REQUIRE(history.anyInForce(*caller.proofBound, holds));
  }
}

void checkRefused(const GeneratedHistory& history, const GeneratedCaller& caller,
                  const AcknowledgedVersion& used, Problem problem) {
  REQUIRE_FALSE(caller.isPublic);
  REQUIRE_FALSE(used.configuration->tenants.empty());
  REQUIRE((problem == Problem::kKeyMissing) == !caller.key.has_value());
  if (!caller.key) {
    return;
  }
  const auto lacks = [&](const AcknowledgedVersion& version) {
    return version.holders.count(*caller.key) == 0;
  };
  REQUIRE((problem == Problem::kProofTooOld) == !lacks(used));
  if (problem == Problem::kKeyUnknown) {
    REQUIRE(history.anyInForce(caller.finalBound, lacks));
  }
  const bool proved = history.proof.version != 0;
  const Duration age = at(history.now) - history.proof.provenAt;
  const Duration bound = std::chrono::milliseconds(caller.proofBound.value_or(0));
  const bool mustServe = !lacks(used) && (!caller.proofBound ||
                                          (proved && age <= bound && used.number >= history.proof.version));
  REQUIRE_FALSE(mustServe);
}

}  // namespace

TEST_CASE("in no history is a caller served whom no version in force allows", "[serving]") {
  int served = 0;
  int refused = 0;
  for (int seed = 0; seed < kHistories; ++seed) {
    GeneratedHistory history(static_cast<std::uint32_t>(seed));
    const GeneratedCaller caller(history);
    const auto view = history.knowledge.takeChangedView();
    if (history.told == 0) {
      continue;
    }
    CAPTURE(seed);
    REQUIRE(view->configuration->version == history.told);
    const auto used =
        std::find_if(history.versions.begin(), history.versions.end(),
                     [&](const AcknowledgedVersion& version) { return version.number == history.told; });
    const std::optional<std::string_view> key =
        caller.key ? std::optional<std::string_view>(*caller.key) : std::nullopt;
    const Authorization answer = authorize(routeThatIs(caller.isPublic), key, *view, history.proof,
                                           caller.settings(), at(history.now));
    if (const auto* allowed = std::get_if<AuthorizedCaller>(&answer)) {
      served += allowed->tenant != nullptr ? 1 : 0;
      checkServed(history, caller, *used, allowed->tenant);
    } else {
      ++refused;
      checkRefused(history, caller, *used, std::get<Problem>(answer));
    }
  }
  // Both sides of the decision were reached often, so that the loop shows something.
  REQUIRE(served > kHistories / 20);
  REQUIRE(refused > kHistories / 20);
}

}  // namespace oakpier::serving
