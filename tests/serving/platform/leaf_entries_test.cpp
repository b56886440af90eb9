/// Invalid store entries, written by something other than a leaf, must not become leafs or affect valid
/// entries.

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "coordination/serving/source_follower.h"
#include "platform/store_dialect.h"
#include "serving/support/serving_fixtures.h"
#include "support/property.h"

namespace oakpier::serving::platform {

namespace {

using nlohmann::json;

const json kEntry = {
    {"service", "s"},   {"address", "10.9.0.1:80"}, {"zone", "a"},   {"version", "v1"},      {"capacity", 2},
    {"state", "ready"}, {"warmup_left_ms", 15.5},   {"sequence", 4}, {"born", 1760000000000}};
const std::vector<std::string> kFields{"service",  "address", "zone",     "version",
                                       "capacity", "state",   "sequence", "warmup_left_ms"};
const std::vector<std::string> kOthers{"other-1", "other-2", "other-3"};
const std::string kAffectedLeaf = "affected";

std::string base64Of(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

json itemOf(const std::string& id, const std::string& value, std::uint64_t revision) {
  return {{"tls_key", "servers/" + id}, {"value", base64Of(value)}, {"revision", revision}};
}

SourceStatement statementOf(const std::string& value, const std::string& id = "i-1") {
  return StoreDialect().interpret({"servers/" + id, value, 1, false});
}

bool isInvalidLeaf(const std::string& value, const std::string& id = "i-1") {
  const SourceStatement statement = statementOf(value, id);
  const auto* unusable = std::get_if<UnusableLeaf>(&statement);
  return unusable != nullptr && unusable->id == id;
}

json with(const char* field, const json& value) {
  json entry = kEntry;
  entry[field] = value;
  return entry;
}

HttpReply okReply(const json& body) {
  HttpReply reply;
  reply.status = 200;
  reply.body = body.dump();
  return reply;
}

const SourceCall kList{SourceCall::Kind::kList, "", 0, {}};
const SourceCall kChanges{SourceCall::Kind::kChanges, "", 4, {}};

/// A follower that receives entries through the platform's dialect.
class FollowerFixture {
 public:
  FollowerFixture()
      : follower_(
            Endpoint(1, 1), settings(),
            [this](const SourceRecord& record) { return dialect_.interpret(record); }, RandomEngine(1)) {}

  void list(const json& items, std::uint64_t revision) {
    const auto call = *follower_.takeCall(now_);
    REQUIRE(call.kind == SourceCall::Kind::kList);
    answer(call, {{"items", items}, {"more", false}, {"at", revision}});
  }
  void watch(const json& events, std::uint64_t revision) {
    now_ = follower_.nextDueAt();
    const auto call = *follower_.takeCall(now_);
    answer(call, {{"events", events}, {"at", revision}});
  }
  void receiveUpdate(const std::vector<SourceRecord>& records, std::uint64_t revision, bool complete) {
    SourceNews update;
    update.set_revision(revision);
    update.set_whole(complete);
    update.set_after_revision(complete ? 0 : follower_.known().revision);
    update.set_reader(Endpoint(2, 1).text());
    for (const SourceRecord& record : records) {
      SourceRecordNews* added = update.add_records();
      added->set_key(record.key);
      added->set_value(record.value);
      added->set_revision(record.revision);
      added->set_gone(record.deleted);
    }
    SourceNews received;
    RC_ASSERT(received.ParseFromString(update.SerializeAsString()));
    follower_.onUpdate(Endpoint(2, 1), received, now_);
  }
  /// Ids of all usable leafs.
  std::set<std::string> leafs() {
    if (auto view = follower_.takeChangedView()) {
      view_ = std::move(view);
    }
    std::set<std::string> ids;
    for (const auto& [service, entries] : *view_->leafs) {
      for (const LeafEntry& entry : entries) {
        ids.insert(entry.id);
      }
    }
    return ids;
  }
  FollowerCounters counters() const { return follower_.counters(); }
  const FollowerActions& lastActions() const { return actions_; }

 private:
  static FollowerSettings settings() {
    FollowerSettings settings;
    settings.state.removalDelay = Duration(0);
    return settings;
  }
  void answer(const SourceCall& call, const json& body) {
    const SourceAnswer answer = dialect_.decode(call, okReply(body));
    RC_ASSERT(std::holds_alternative<SourcePage>(answer.content));
    actions_ = follower_.onAnswer(call, answer, now_);
  }

  StoreDialect dialect_;
  SourceFollower follower_;
  std::shared_ptr<const ServingView> view_;
  FollowerActions actions_;
  Moment now_ = at(1);
};

json goodItems() {
  json items = json::array();
  std::uint64_t revision = 1;
  for (const std::string& id : kOthers) {
    items.push_back(itemOf(id, kEntry.dump(), revision++));
  }
  return items;
}

/// Invalid for every field of an entry except those that accept any string (version, zone, service).
json wrongValue() {
  return *rc::gen::element(json(nullptr), json(true), json::array(), json::array({1}), json::object(),
                           json(-1), json("\x7f"), json(-0.5), json(1e300));
}

/// A value under a leaf's key that is not a valid leaf entry.
std::string invalidEntry() {
  json entry = kEntry;
  const std::string field = *rc::gen::elementOf(kFields);
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      entry.erase(field);
      return entry.dump();
    case 1:
      entry[field == "version" || field == "zone" || field == "service" ? "state" : field] = wrongValue();
      return entry.dump();
    case 2:
      entry[*rc::gen::element<std::string>("born", "sequence", "capacity")] =
          *rc::gen::element(json(-4), json(1.5), json("17"), json(nullptr), json(1e20));
      return entry.dump();
    case 3: {
      const std::string complete = entry.dump();
      return complete.substr(0, *rc::gen::inRange<std::size_t>(0, complete.size()));
    }
    case 4:
      return wrongValue().dump();
    default: {
      // Contains no byte that can begin an object.
      auto bytes = *rc::gen::container<std::string>(rc::gen::suchThat<char>([](char c) { return c != '{'; }));
      return bytes;
    }
  }
}

/// The value with random bytes changed, removed or inserted; it may still be valid.
std::string damaged(std::string value) {
  const auto changes = *rc::gen::inRange(1, 6);
  for (int change = 0; change < changes && !value.empty(); ++change) {
    const auto position = *rc::gen::inRange<std::size_t>(0, value.size());
    const char byte = *rc::gen::arbitrary<char>();
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        value[position] = byte;
        break;
      case 1:
        value.erase(position, 1);
        break;
      default:
        value.insert(position, 1, byte);
        break;
    }
  }
  return value;
}

void requireOtherLeafs(FollowerFixture& follower, bool affectedMayBeUsed) {
  std::set<std::string> leafs = follower.leafs();
  if (affectedMayBeUsed) {
    leafs.erase(kAffectedLeaf);
  }
  RC_ASSERT(leafs == std::set<std::string>(kOthers.begin(), kOthers.end()));
}

/// Delivers the value by listing, watch and peer update, with and without a valid earlier entry of the leaf.
void deliverEveryWay(const std::string& value, bool mayBeUsed) {
  const SourceRecord record{"servers/" + kAffectedLeaf, value, 9, false};
  json page = goodItems();
  page.insert(page.begin() + *rc::gen::inRange(0, 4), itemOf(kAffectedLeaf, value, 9));
  FollowerFixture listing;
  listing.list(page, 10);
  requireOtherLeafs(listing, mayBeUsed);

  json usable = goodItems();
  usable.push_back(itemOf(kAffectedLeaf, kEntry.dump(), 4));
  FollowerFixture watch;
  watch.list(usable, 5);
  watch.watch(json::array({itemOf(kAffectedLeaf, value, 9), itemOf(kOthers[0], kEntry.dump(), 10)}), 10);
  requireOtherLeafs(watch, mayBeUsed);

  FollowerFixture update;
  update.list(usable, 5);
  update.receiveUpdate({record, {"servers/" + kOthers[0], kEntry.dump(), 10, false}}, 10, false);
  requireOtherLeafs(update, mayBeUsed);
  update.receiveUpdate({{"servers/" + kAffectedLeaf, kEntry.dump(), 11, false}}, 11, false);
  RC_ASSERT(update.leafs().count(kAffectedLeaf) == 1);
}

}  // namespace

TEST_CASE("the start time of a leaf's process is read from its entry, and is optional", "[platform][lives]") {
  REQUIRE(std::get<LeafEntry>(statementOf(kEntry.dump())).processStartedAt == 1760000000000);
  json without = kEntry;
  without.erase("born");
  REQUIRE(std::get<LeafEntry>(statementOf(without.dump())).processStartedAt == 0);
}

TEST_CASE("an entry with a missing or invalid field is no leaf", "[platform][lives]") {
  for (const std::string& field : kFields) {
    json entry = kEntry;
    entry.erase(field);
    REQUIRE(isInvalidLeaf(entry.dump()));
    for (const json& wrong : {json(nullptr), json(true), json::array(), json::object()}) {
      entry[field] = wrong;
      REQUIRE(isInvalidLeaf(entry.dump()));
    }
  }
  REQUIRE(isInvalidLeaf(with("service", 7).dump()));
  REQUIRE(isInvalidLeaf(with("version", 7).dump()));
  REQUIRE(isInvalidLeaf(with("zone", 7).dump()));
  for (const char* address :
       {"", "leaf.example:80", "10.9.0.1", "10.9.0.1:0", "10.9.0.1:80 ", "10.9.0.1:70000"}) {
    REQUIRE(isInvalidLeaf(with("address", address).dump()));
  }
  for (const char* state : {"", "Ready", "starting", "gone"}) {
    REQUIRE(isInvalidLeaf(with("state", state).dump()));
  }
  for (const json& capacity : {json(0), json(-1), json(2.0), json("2"), json(1e30), json(5000000000)}) {
    REQUIRE(isInvalidLeaf(with("capacity", capacity).dump()));
  }
  for (const json& left : {json(-1), json(-0.1), json("0"), json(1e300), json(1e9)}) {
    REQUIRE(isInvalidLeaf(with("warmup_left_ms", left).dump()));
  }
  for (const json& born : {json(-1), json(1.76e12), json("1760000000000"), json(nullptr), json(1e30)}) {
    REQUIRE(isInvalidLeaf(with("born", born).dump()));
  }
}

TEST_CASE("truncated or malformed JSON is no leaf", "[platform][lives]") {
  const std::string complete = kEntry.dump();
  for (std::size_t length = 0; length < complete.size(); ++length) {
    REQUIRE(isInvalidLeaf(complete.substr(0, length)));
  }
  REQUIRE(isInvalidLeaf(complete + "x"));
  REQUIRE(isInvalidLeaf("[" + complete + "]"));
  REQUIRE(isInvalidLeaf("null"));
  REQUIRE(isInvalidLeaf(std::string(1U << 20U, '[')));
  REQUIRE(isInvalidLeaf(R"({"service":")" + std::string(1, '\xff') + complete.substr(2)));
  std::string huge = complete;
  huge.replace(huge.find("15.5"), 4, "1e999");
  REQUIRE(isInvalidLeaf(huge));
  const auto statement = statementOf(R"({"service":")" + std::string(1U << 20U, 'x'));
  REQUIRE(std::get<UnusableLeaf>(statement).error.size() <= 300);
}

TEST_CASE("an id that is not valid in a header is no leaf", "[platform][lives]") {
  for (const char* id : {"", "i 1", "i\r\nX: 1", "i\x7f", "\xc3\xa9"}) {
    REQUIRE(isInvalidLeaf(kEntry.dump(), id));
  }
}

TEST_CASE("a malformed item does not affect the other items of an answer", "[platform][lives]") {
  const StoreDialect dialect;
  const json good = itemOf("i-1", kEntry.dump(), 4);
  const auto pageOf = [&](const json& item, const char* list, const SourceCall& call) {
    return std::get<SourcePage>(
        dialect.decode(call, okReply({{list, json::array({item, good})}, {"more", true}, {"at", 9}}))
            .content);
  };
  for (const json& item : {json(nullptr), json(7), json::array(), json::object(), json({{"tls_key", "k"}}),
                           json({{"tls_key", 7}, {"revision", 3}, {"value", ""}}),
                           json({{"tls_key", "k"}, {"revision", "3"}, {"value", ""}}),
                           json({{"tls_key", "k"}, {"revision", -3}, {"value", ""}}),
                           json({{"tls_key", "k"}, {"revision", 0}, {"value", ""}})}) {
    for (const auto& page : {pageOf(item, "items", kList), pageOf(item, "events", kChanges)}) {
      REQUIRE(page.records.size() == 1);
      REQUIRE(page.malformed == 1);
      REQUIRE(page.records[0].key == "servers/i-1");
    }
  }
  // A record with key and revision replaces the one before it, even if its value is invalid.
  for (const json& value :
       {json(nullptr), json(7), json("a"), json("ab=c"), json("a==="), json("YWI*"), json("=")}) {
    const auto page =
        pageOf({{"tls_key", "servers/i-2"}, {"revision", 5}, {"value", value}}, "events", kChanges);
    REQUIRE(page.records.size() == 2);
    REQUIRE(page.records[0].value.empty());
    REQUIRE(std::holds_alternative<UnusableLeaf>(dialect.interpret(page.records[0])));
  }
  const auto notGone =
      pageOf({{"tls_key", "servers/i-2"}, {"revision", 5}, {"gone", "yes"}}, "events", kChanges);
  REQUIRE_FALSE(notGone.records[0].deleted);
  REQUIRE(std::holds_alternative<UnusableLeaf>(dialect.interpret(notGone.records[0])));
}

TEST_CASE("a value with bytes after its base64 is invalid", "[platform][lives]") {
  const StoreDialect dialect;
  for (const char* tail : {"!", "!!!!", "====", "\n"}) {
    json item = itemOf("i-1", kEntry.dump(), 4);
    item["value"] = item["value"].get<std::string>() + tail;
    const auto page = std::get<SourcePage>(
        dialect.decode(kChanges, okReply({{"events", json::array({item})}, {"at", 9}})).content);
    REQUIRE(std::holds_alternative<UnusableLeaf>(dialect.interpret(page.records[0])));
  }
  const auto page = std::get<SourcePage>(
      dialect
          .decode(kChanges, okReply({{"events", json::array({itemOf("i-1", kEntry.dump(), 4)})}, {"at", 9}}))
          .content);
  REQUIRE(std::holds_alternative<LeafEntry>(dialect.interpret(page.records[0])));
}

TEST_CASE("an answer without a valid revision or list, or with invalid paging, is a failure",
          "[platform][lives]") {
  const StoreDialect dialect;
  const json good = itemOf("i-1", kEntry.dump(), 4);
  const json items = json::array({good});
  for (const json& body :
       {json({{"items", items}, {"more", false}}), json({{"items", items}, {"more", false}, {"at", "9"}}),
        json({{"items", items}, {"more", 1}, {"at", 9}}), json({{"items", good}, {"more", false}, {"at", 9}}),
        json({{"more", false}, {"at", 9}}), json({{"items", json::array({1})}, {"more", true}, {"at", 9}}),
        json::array()}) {
    REQUIRE(std::get<SourceFailure>(dialect.decode(kList, okReply(body)).content) ==
            SourceFailure::kNoAnswer);
  }
}

TEST_CASE("entries of services outside the configuration are accepted and do not affect other leafs",
          "[platform][lives]") {
  FollowerFixture follower;
  follower.list(goodItems(), 5);
  const auto before = follower.leafs();
  follower.watch(json::array({itemOf("stranger", with("service", "unnamed").dump(), 6)}), 6);
  REQUIRE(follower.leafs().size() == before.size() + 1);
  follower.watch(json::array({{{"tls_key", "servers/stranger"}, {"revision", 7}, {"gone", true}}}), 7);
  REQUIRE(follower.leafs() == before);
}

TEST_CASE("of many unusable records only the first are reported, and all are counted", "[platform][lives]") {
  FollowerFixture follower;
  json items = goodItems();
  for (std::uint64_t number = 0; number < 400; ++number) {
    items.push_back(itemOf("invalid-" + std::to_string(number), "{}", 10 + number));
  }
  items.push_back(7);
  follower.list(items, 500);
  REQUIRE(follower.leafs().size() == kOthers.size());
  REQUIRE(follower.counters().unusableRecords == 401);
  REQUIRE(follower.lastActions().errors.size() == 9);
}

TEST_CASE("an invalid value under a leaf's key is not used and does not affect other leafs",
          "[platform][lives]") {
  OAKPIER_PROPERTY("forged entries", [] {
    const std::string value = invalidEntry();
    RC_ASSERT(isInvalidLeaf(value));
    deliverEveryWay(value, false);
  });
}

TEST_CASE("a randomly damaged answer of the store is parsed or rejected without other errors",
          "[platform][lives]") {
  OAKPIER_PROPERTY("damaged answers", [] {
    json page = goodItems();
    page.push_back({{"tls_key", "servers/gone"}, {"revision", 8}, {"gone", true}});
    const bool listing = *rc::gen::arbitrary<bool>();
    const json body = {{listing ? "items" : "events", page}, {"more", false}, {"at", 9}};
    HttpReply reply = okReply(body);
    reply.body = damaged(reply.body);
    const StoreDialect dialect;
    const SourceCall& call = listing ? kList : kChanges;
    const SourceAnswer answer = dialect.decode(call, reply);
    if (const auto* read = std::get_if<SourcePage>(&answer.content)) {
      for (const SourceRecord& record : read->records) {
        RC_ASSERT(record.revision > 0U);
        dialect.interpret(record);
      }
    }
  });
}

TEST_CASE("a randomly damaged leaf entry does not affect other leafs", "[platform][lives]") {
  OAKPIER_PROPERTY("damaged entries", [] { deliverEveryWay(damaged(kEntry.dump()), true); });
}

}  // namespace oakpier::serving::platform
