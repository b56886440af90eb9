/// What a daemon makes of each answer of a source that tells epochs, and of other daemons' news of them.

#include <catch2/catch.hpp>

#include "coordination/serving/source_follower.h"
#include "protocol/serving/source_update_codec.h"
#include "serving/support/serving_fixtures.h"
#include "serving/support/source_fleet.h"

namespace oakpier::serving {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kEpoch = 4;
const char* const kConfiguration = "configuration";

SourceStatement interpret(const SourceRecord& record) {
  if (record.key == kConfiguration) {
    ServingConfiguration configuration;
    configuration.version = std::stoull(record.value);
    configuration.tenants.push_back(Tenant{"tenant", {"key"}, {}, {}});
    return configuration;
  }
  return record.gone ? SourceStatement{LeafRemoval{record.key}}
                     : SourceStatement{leafEntry(record.key, "s", 1)};
}

SourceRecord version(std::uint64_t number, std::uint64_t revision) {
  return SourceRecord{kConfiguration, std::to_string(number), revision, false};
}

SourceAnswer told(SourceAnswer::Content content, std::uint64_t epoch) {
  return SourceAnswer(std::move(content), ToldEpoch::of(epoch));
}

SourceAnswer page(std::vector<SourceRecord> records, std::uint64_t revision, std::uint64_t epoch,
                  bool more = false) {
  return told(SourcePage{std::move(records), more, revision}, epoch);
}

/// The daemon that reads for all, with one other; it knows version 28 at revision 78.
class Reader {
 public:
  Reader() : follower(kSelf, FollowerSettings{}, interpret, RandomEngine(1)) {
    follower.setMembers(std::vector<Endpoint>{kSelf, kOther});
    answer(page({version(28, 78)}, 78, kEpoch));
  }
  /// Makes the next call and answers it.
  FollowerActions answer(const SourceAnswer& answer) {
    now = std::max(now, follower.nextDueAt());
    while (true) {
      follower.onTime(now);
      if (auto call = follower.takeCall(now)) {
        lastCall = *call;
        return follower.onAnswer(*call, answer, now);
      }
      now += milliseconds(10);
    }
  }
  SourceCall::Kind nextKind() {
    answer(SourceFailure::kNoAnswer);
    return lastCall.kind;
  }

  const Endpoint kSelf = Endpoint(1, 1);
  const Endpoint kOther = Endpoint(2, 1);
  SourceFollower follower;
  Moment now = at(1000);
  SourceCall lastCall;
};

}  // namespace

TEST_CASE("whatever answer tells a newer epoch, the source is listed anew", "[serving][epoch]") {
  Reader reader;
  SECTION("history is gone") { reader.answer(told(SourceFailure::kHistoryGone, kEpoch + 1)); }
  SECTION("throttled") { reader.answer(told(SourceFailure::kThrottled, kEpoch + 1)); }
  SECTION("unavailable") { reader.answer(told(SourceFailure::kUnavailable, kEpoch + 1)); }
  SECTION("changes, as the revision was given out again") {
    reader.answer(page({version(31, 79)}, 79, kEpoch + 1));
    // They are the changes after another place.
    REQUIRE(reader.follower.configurationVersion() == 28);
  }
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch, 78});
  const FollowerActions actions = reader.answer(page({version(24, 60)}, 70, kEpoch + 1));
  REQUIRE(reader.lastCall.kind == SourceCall::Kind::kList);
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch + 1, 70});
  REQUIRE(reader.follower.counters().epochs.restorations == 1);
  // What was in force stays, and the other daemon is told all of it.
  REQUIRE(reader.follower.configurationVersion() == 28);
  REQUIRE(actions.news.size() == 1);
  REQUIRE(actions.news[0].news.whole());
  REQUIRE(recordsOf(actions.news[0].news).front().value == "28");
  reader.answer(page({version(28, 71)}, 71, kEpoch + 1));
  REQUIRE(reader.lastCall.kind == SourceCall::Kind::kChanges);
  REQUIRE(reader.lastCall.afterRevision == 70);
}

TEST_CASE("answers of an older epoch, or of none that can be used, are no answers", "[serving][epoch]") {
  Reader reader;
  const SourcePage changes{{version(31, 90)}, false, 90};
  const auto refused =
      GENERATE_COPY(SourceAnswer(changes, ToldEpoch::of(kEpoch - 1)), SourceAnswer(changes, ToldEpoch{}),
                    SourceAnswer(changes, ToldEpoch{ToldEpoch::Kind::kMalformed, 0}));
  const FollowerActions actions = reader.answer(refused);
  REQUIRE(reader.follower.configurationVersion() == 28);
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch, 78});
  REQUIRE(reader.follower.sourceLost());
  REQUIRE(actions.reconnect);
  REQUIRE(actions.notices.size() == 1);
  const EpochCounters counters = reader.follower.counters().epochs;
  REQUIRE(counters.older + counters.missing + counters.malformed == 1);
  // The next answer of the known epoch is one.
  reader.answer(page({version(31, 79)}, 79, kEpoch));
  REQUIRE(reader.lastCall.kind == SourceCall::Kind::kChanges);
  REQUIRE(reader.follower.configurationVersion() == 31);
}

TEST_CASE("epochs that were skipped are counted and change nothing else", "[serving][epoch]") {
  Reader reader;
  reader.answer(told(SourceFailure::kHistoryGone, kEpoch + 3));
  reader.answer(page({version(28, 20)}, 20, kEpoch + 3));
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch + 3, 20});
  REQUIRE(reader.follower.counters().epochs.restorations == 1);
  REQUIRE(reader.follower.counters().epochs.skipped == 2);
}

TEST_CASE("a listing over which the source comes back is begun anew", "[serving][epoch]") {
  Reader reader;
  reader.answer(told(SourceFailure::kHistoryGone, kEpoch));
  reader.answer(page({{"a", "", 5, false}}, 80, kEpoch, true));
  REQUIRE(reader.lastCall.kind == SourceCall::Kind::kList);
  reader.answer(page({version(31, 70)}, 70, kEpoch + 1));
  REQUIRE(reader.lastCall.afterKey == "a");
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch, 78});
  reader.answer(page({version(29, 60)}, 70, kEpoch + 1));
  REQUIRE(reader.lastCall.afterKey.empty());
  REQUIRE(reader.follower.configurationVersion() == 29);
  // "a" was of the earlier epoch's listing.
  REQUIRE(reader.follower.leafCount() == 0);
}

TEST_CASE("an answer to a call of before the epoch's news is dropped", "[serving][epoch]") {
  Reader reader;
  const Moment due = reader.follower.nextDueAt();
  const auto call = *reader.follower.takeCall(due);
  SourceNews news;
  news.set_epoch(kEpoch + 1);
  news.set_revision(70);
  news.set_whole(true);
  news.set_reader(reader.kOther.text());
  reader.follower.onNews(reader.kOther, news, due);
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch + 1, 70});
  // "After 78" of the epoch before holds neither 71 nor what else came between.
  reader.follower.onAnswer(call, page({version(31, 79)}, 79, kEpoch + 1), due);
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch + 1, 70});
  REQUIRE(reader.follower.configurationVersion() == 28);
}

TEST_CASE("news of an older epoch is neither believed nor passed on", "[serving][epoch]") {
  Reader reader;
  reader.answer(told(SourceFailure::kHistoryGone, kEpoch + 1));
  reader.answer(page({version(28, 60)}, 70, kEpoch + 1));
  SourceNews news;
  news.set_epoch(kEpoch);
  news.set_after_revision(78);
  news.set_revision(90);
  news.set_reader(reader.kOther.text());
  news.set_whole(GENERATE(true, false));
  SourceRecordNews* record = news.add_records();
  record->set_key("lost");
  record->set_revision(90);
  const FollowerActions actions = reader.follower.onNews(reader.kOther, news, reader.now);
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch + 1, 70});
  REQUIRE(reader.follower.leafCount() == 0);
  REQUIRE(actions.news.empty());
  REQUIRE_FALSE(actions.ask);
}

TEST_CASE("whoever hears of a newer epoch asks for the whole state, and gets it", "[serving][epoch]") {
  Reader reader;
  SourceNews news;
  news.set_epoch(kEpoch + 1);
  news.set_after_revision(70);
  news.set_revision(71);
  news.set_reader(reader.kOther.text());
  const FollowerActions actions = reader.follower.onNews(reader.kOther, news, reader.now);
  REQUIRE(actions.ask == reader.kOther);
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch, 78});
  SourceNewsRequest request;
  request.set_known_epoch(kEpoch);
  request.set_known_revision(78);
  SECTION("a daemon of the newer epoch tells everything, though its revision is lower") {
    Reader other;
    other.answer(told(SourceFailure::kHistoryGone, kEpoch + 1));
    other.answer(page({version(24, 60)}, 70, kEpoch + 1));
    const auto all = other.follower.onNewsRequest(reader.kSelf, request, other.now);
    REQUIRE(all->news.whole());
    reader.follower.onNews(reader.kOther, all->news, reader.now);
    REQUIRE(reader.follower.known() == SourcePosition{kEpoch + 1, 70});
    REQUIRE(reader.follower.configurationVersion() == 28);
  }
  SECTION("a daemon of the older epoch has nothing to tell one of the newer") {
    request.set_known_epoch(kEpoch + 1);
    request.set_known_revision(3);
    REQUIRE_FALSE(reader.follower.onNewsRequest(reader.kOther, request, reader.now));
  }
}

TEST_CASE("a starting daemon is told the configuration that the source has lost", "[serving][epoch]") {
  Reader reader;
  reader.answer(told(SourceFailure::kHistoryGone, kEpoch + 1));
  reader.answer(page({version(24, 60)}, 70, kEpoch + 1));
  SourceNewsRequest request;
  SECTION("it knows nothing") {}
  SECTION("it has listed the source itself") {
    request.set_known_epoch(kEpoch + 1);
    request.set_known_revision(70);
  }
  const auto all = reader.follower.onNewsRequest(reader.kOther, request, reader.now);
  REQUIRE(recordsOf(all->news).size() == 1);
  REQUIRE(recordsOf(all->news)[0].value == "28");
  REQUIRE(recordsOf(all->news)[0].position() == SourcePosition{kEpoch, 78});
}

TEST_CASE("a read proves nothing until the operator had time to write again what the source lost",
          "[serving][epoch]") {
  Reader reader;
  // To a daemon that has just started the epoch may have begun just now.
  REQUIRE(reader.follower.proof().version == 0);
  reader.now += kWrittenAgainWithin;
  reader.answer(page({}, 78, kEpoch));
  const Moment provenAt = reader.follower.proof().provenAt;
  REQUIRE(reader.follower.proof().version == 28);
  reader.answer(told(SourceFailure::kHistoryGone, kEpoch + 1));
  reader.answer(page({version(28, 60)}, 70, kEpoch + 1));
  reader.answer(page({}, 70, kEpoch + 1));
  REQUIRE(reader.follower.proof().provenAt == provenAt);
  SECTION("the operator writes again") {
    reader.answer(page({version(31, 71)}, 71, kEpoch + 1));
    REQUIRE(reader.follower.proof().version == 31);
    REQUIRE(reader.follower.proof().provenAt > provenAt);
  }
  SECTION("it had the time") {
    reader.now += kWrittenAgainWithin;
    reader.answer(page({}, 70, kEpoch + 1));
    REQUIRE(reader.follower.proof().provenAt > provenAt);
  }
}

TEST_CASE("what the source tells of its epoch is noticed once, and not by a daemon that has just started",
          "[serving][epoch]") {
  Reader reader;
  const auto refused = told(SourceFailure::kThrottled, kEpoch + 1);
  REQUIRE(reader.answer(refused).notices.size() == 1);
  REQUIRE(reader.answer(refused).notices.empty());
  const auto restored = reader.answer(page({version(28, 60)}, 70, kEpoch + 1)).notices;
  REQUIRE(restored.size() == 1);
  REQUIRE(std::get<SourceRestored>(restored[0]).now == SourcePosition{kEpoch + 1, 70});
  SourceFollower fresh(reader.kSelf, FollowerSettings{}, interpret, RandomEngine(1));
  const auto call = *fresh.takeCall(at(1000));
  const auto notices = fresh.onAnswer(call, page({}, 78, kEpoch), at(1001)).notices;
  REQUIRE(notices.size() == 1);
  REQUIRE(std::get<EpochsTold>(notices[0]).first == kEpoch);
}

TEST_CASE("in its first epoch of all a source can have lost nothing", "[serving][epoch]") {
  SourceFollower follower(Endpoint(1, 1), FollowerSettings{}, interpret, RandomEngine(1));
  const auto call = *follower.takeCall(at(1000));
  follower.onAnswer(call, page({version(28, 78)}, 78, 0), at(1001));
  REQUIRE(follower.proof().version == 28);
}

TEST_CASE("news of one revision in two epochs is packed twice", "[serving][epoch]") {
  UpdateEncoder encoder;
  SourceNews news;
  news.set_epoch(kEpoch);
  news.set_revision(78);
  news.set_whole(true);
  const std::size_t largeEnough = 5000;
  news.add_records()->set_value(std::string(largeEnough, 'a'));
  PeerEnvelope first;
  encoder.encode(news, first);
  news.set_epoch(kEpoch + 1);
  news.mutable_records(0)->set_value(std::string(largeEnough, 'b'));
  PeerEnvelope second;
  encoder.encode(news, second);
  REQUIRE(decodeUpdate(second)->records(0).value().front() == 'b');
  REQUIRE(decodeUpdate(second)->epoch() == kEpoch + 1);
}

TEST_CASE("one listing serves many daemons when the source comes back", "[serving][epoch]") {
  SourceFleetSettings settings;
  settings.daemons = GENERATE(8U, 74U, 295U, 1000U);
  settings.firstEpoch = 3;
  settings.leafs = 1300;
  CAPTURE(settings.daemons);
  SourceFleet fleet(settings);
  fleet.runFor(seconds(12));
  const std::size_t before = fleet.listings();
  fleet.setSourceDown(true);
  fleet.runFor(seconds(3));
  fleet.restoreSource(seconds(8), seconds(2));
  fleet.setSourceDown(false);
  const std::uint64_t version = fleet.changeConfiguration();
  fleet.runFor(seconds(3));
  for (std::size_t number = 0; number < fleet.size(); ++number) {
    REQUIRE(fleet.versionOf(number) >= version);
    REQUIRE(fleet.followerOf(number).known().epoch == 4);
  }
  CAPTURE(fleet.listings() - before);
  REQUIRE(fleet.listings() - before <= 10);
}

}  // namespace oakpier::serving
