/// How a daemon handles answers of a source with epochs, and updates from peers about them.

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
  return record.deleted ? SourceStatement{LeafRemoval{record.key}}
                        : SourceStatement{leafEntry(record.key, "s", 1)};
}

SourceRecord version(std::uint64_t number, std::uint64_t revision) {
  return SourceRecord{kConfiguration, std::to_string(number), revision, false};
}

SourceAnswer withEpoch(SourceAnswer::Content content, std::uint64_t epoch) {
  return SourceAnswer(std::move(content), ReportedEpoch::of(epoch));
}

SourceAnswer page(std::vector<SourceRecord> records, std::uint64_t revision, std::uint64_t epoch,
                  bool more = false) {
  return withEpoch(SourcePage{std::move(records), more, revision}, epoch);
}

/// The reader and one other daemon. The reader knows version 28 at revision 78.
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
      follower.onTimer(now);
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

TEST_CASE("any answer of a newer epoch causes a new listing", "[serving][epoch]") {
  Reader reader;
  SECTION("history is unavailable") {
    reader.answer(withEpoch(SourceFailure::kHistoryUnavailable, kEpoch + 1));
  }
  SECTION("throttled") { reader.answer(withEpoch(SourceFailure::kThrottled, kEpoch + 1)); }
  SECTION("unavailable") { reader.answer(withEpoch(SourceFailure::kUnavailable, kEpoch + 1)); }
  SECTION("changes, because the revision was assigned again") {
    reader.answer(page({version(31, 79)}, 79, kEpoch + 1));
    // These changes do not continue the known position.
    REQUIRE(reader.follower.configurationVersion() == 28);
  }
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch, 78});
  const FollowerActions actions = reader.answer(page({version(24, 60)}, 70, kEpoch + 1));
  REQUIRE(reader.lastCall.kind == SourceCall::Kind::kList);
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch + 1, 70});
  REQUIRE(reader.follower.counters().epochs.restorations == 1);
  // The configuration stays in effect, and the peer is sent the complete state.
  REQUIRE(reader.follower.configurationVersion() == 28);
  REQUIRE(actions.updates.size() == 1);
  REQUIRE(actions.updates[0].update.whole());
  REQUIRE(recordsOf(actions.updates[0].update).front().value == "28");
  reader.answer(page({version(28, 71)}, 71, kEpoch + 1));
  REQUIRE(reader.lastCall.kind == SourceCall::Kind::kChanges);
  REQUIRE(reader.lastCall.afterRevision == 70);
}

TEST_CASE("answers of an older epoch or without a usable one count as failures", "[serving][epoch]") {
  Reader reader;
  const SourcePage changes{{version(31, 90)}, false, 90};
  const auto refused = GENERATE_COPY(
      SourceAnswer(changes, ReportedEpoch::of(kEpoch - 1)), SourceAnswer(changes, ReportedEpoch{}),
      SourceAnswer(changes, ReportedEpoch{ReportedEpoch::Kind::kMalformed, 0}));
  const FollowerActions actions = reader.answer(refused);
  REQUIRE(reader.follower.configurationVersion() == 28);
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch, 78});
  REQUIRE(reader.follower.sourceLost());
  REQUIRE(actions.reconnect);
  REQUIRE(actions.notices.size() == 1);
  const EpochCounters counters = reader.follower.counters().epochs;
  REQUIRE(counters.older + counters.missing + counters.malformed == 1);
  // The next answer of the known epoch is accepted.
  reader.answer(page({version(31, 79)}, 79, kEpoch));
  REQUIRE(reader.lastCall.kind == SourceCall::Kind::kChanges);
  REQUIRE(reader.follower.configurationVersion() == 31);
}

TEST_CASE("skipped epochs are counted and have no other effect", "[serving][epoch]") {
  Reader reader;
  reader.answer(withEpoch(SourceFailure::kHistoryUnavailable, kEpoch + 3));
  reader.answer(page({version(28, 20)}, 20, kEpoch + 3));
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch + 3, 20});
  REQUIRE(reader.follower.counters().epochs.restorations == 1);
  REQUIRE(reader.follower.counters().epochs.skipped == 2);
}

TEST_CASE("a listing is restarted if the source is restored meanwhile", "[serving][epoch]") {
  Reader reader;
  reader.answer(withEpoch(SourceFailure::kHistoryUnavailable, kEpoch));
  reader.answer(page({{"a", "", 5, false}}, 80, kEpoch, true));
  REQUIRE(reader.lastCall.kind == SourceCall::Kind::kList);
  reader.answer(page({version(31, 70)}, 70, kEpoch + 1));
  REQUIRE(reader.lastCall.afterKey == "a");
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch, 78});
  reader.answer(page({version(29, 60)}, 70, kEpoch + 1));
  REQUIRE(reader.lastCall.afterKey.empty());
  REQUIRE(reader.follower.configurationVersion() == 29);
  // "a" was in the listing of the previous epoch.
  REQUIRE(reader.follower.leafCount() == 0);
}

TEST_CASE("an answer to a call made before an update of a newer epoch is ignored", "[serving][epoch]") {
  Reader reader;
  const Moment due = reader.follower.nextDueAt();
  const auto call = *reader.follower.takeCall(due);
  SourceNews update;
  update.set_epoch(kEpoch + 1);
  update.set_revision(70);
  update.set_whole(true);
  update.set_reader(reader.kOther.text());
  reader.follower.onUpdate(reader.kOther, update, due);
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch + 1, 70});
  // The answer holds the changes after revision 78, so it lacks revisions 71 to 78 of the new epoch.
  reader.follower.onAnswer(call, page({version(31, 79)}, 79, kEpoch + 1), due);
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch + 1, 70});
  REQUIRE(reader.follower.configurationVersion() == 28);
}

TEST_CASE("updates of an older epoch are neither applied nor forwarded", "[serving][epoch]") {
  Reader reader;
  reader.answer(withEpoch(SourceFailure::kHistoryUnavailable, kEpoch + 1));
  reader.answer(page({version(28, 60)}, 70, kEpoch + 1));
  SourceNews update;
  update.set_epoch(kEpoch);
  update.set_after_revision(78);
  update.set_revision(90);
  update.set_reader(reader.kOther.text());
  update.set_whole(GENERATE(true, false));
  SourceRecordNews* record = update.add_records();
  record->set_key("lost");
  record->set_revision(90);
  const FollowerActions actions = reader.follower.onUpdate(reader.kOther, update, reader.now);
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch + 1, 70});
  REQUIRE(reader.follower.leafCount() == 0);
  REQUIRE(actions.updates.empty());
  REQUIRE_FALSE(actions.requestFrom);
}

TEST_CASE("an update of a newer epoch causes a request for the complete state", "[serving][epoch]") {
  Reader reader;
  SourceNews update;
  update.set_epoch(kEpoch + 1);
  update.set_after_revision(70);
  update.set_revision(71);
  update.set_reader(reader.kOther.text());
  const FollowerActions actions = reader.follower.onUpdate(reader.kOther, update, reader.now);
  REQUIRE(actions.requestFrom == reader.kOther);
  REQUIRE(reader.follower.known() == SourcePosition{kEpoch, 78});
  SourceNewsRequest request;
  request.set_known_epoch(kEpoch);
  request.set_known_revision(78);
  SECTION("a daemon of the newer epoch sends all records, even if its revision is lower") {
    Reader other;
    other.answer(withEpoch(SourceFailure::kHistoryUnavailable, kEpoch + 1));
    other.answer(page({version(24, 60)}, 70, kEpoch + 1));
    const auto all = other.follower.onUpdateRequest(reader.kSelf, request, other.now);
    REQUIRE(all->update.whole());
    reader.follower.onUpdate(reader.kOther, all->update, reader.now);
    REQUIRE(reader.follower.known() == SourcePosition{kEpoch + 1, 70});
    REQUIRE(reader.follower.configurationVersion() == 28);
  }
  SECTION("a daemon of the older epoch sends no reply to one of the newer") {
    request.set_known_epoch(kEpoch + 1);
    request.set_known_revision(3);
    REQUIRE_FALSE(reader.follower.onUpdateRequest(reader.kOther, request, reader.now));
  }
}

TEST_CASE("a starting daemon is sent the configuration that the source has lost", "[serving][epoch]") {
  Reader reader;
  reader.answer(withEpoch(SourceFailure::kHistoryUnavailable, kEpoch + 1));
  reader.answer(page({version(24, 60)}, 70, kEpoch + 1));
  SourceNewsRequest request;
  SECTION("it has no state") {}
  SECTION("it has listed the source itself") {
    request.set_known_epoch(kEpoch + 1);
    request.set_known_revision(70);
  }
  const auto all = reader.follower.onUpdateRequest(reader.kOther, request, reader.now);
  REQUIRE(recordsOf(all->update).size() == 1);
  REQUIRE(recordsOf(all->update)[0].value == "28");
  REQUIRE(recordsOf(all->update)[0].position() == SourcePosition{kEpoch, 78});
}

TEST_CASE("a read proves freshness only after the operator had time to rewrite lost records",
          "[serving][epoch]") {
  Reader reader;
  // After a daemon's start, the epoch may have begun just now.
  REQUIRE(reader.follower.proof().version == 0);
  reader.now += kRewriteWindow;
  reader.answer(page({}, 78, kEpoch));
  const Moment provenAt = reader.follower.proof().provenAt;
  REQUIRE(reader.follower.proof().version == 28);
  reader.answer(withEpoch(SourceFailure::kHistoryUnavailable, kEpoch + 1));
  reader.answer(page({version(28, 60)}, 70, kEpoch + 1));
  reader.answer(page({}, 70, kEpoch + 1));
  REQUIRE(reader.follower.proof().provenAt == provenAt);
  SECTION("the operator rewrites it") {
    reader.answer(page({version(31, 71)}, 71, kEpoch + 1));
    REQUIRE(reader.follower.proof().version == 31);
    REQUIRE(reader.follower.proof().provenAt > provenAt);
  }
  SECTION("the time to rewrite is over") {
    reader.now += kRewriteWindow;
    reader.answer(page({}, 70, kEpoch + 1));
    REQUIRE(reader.follower.proof().provenAt > provenAt);
  }
}

TEST_CASE("a change of the epoch is logged once, and not by a daemon that has just started",
          "[serving][epoch]") {
  Reader reader;
  const auto refused = withEpoch(SourceFailure::kThrottled, kEpoch + 1);
  REQUIRE(reader.answer(refused).notices.size() == 1);
  REQUIRE(reader.answer(refused).notices.empty());
  const auto restored = reader.answer(page({version(28, 60)}, 70, kEpoch + 1)).notices;
  REQUIRE(restored.size() == 1);
  REQUIRE(std::get<SourceRestored>(restored[0]).current == SourcePosition{kEpoch + 1, 70});
  SourceFollower fresh(reader.kSelf, FollowerSettings{}, interpret, RandomEngine(1));
  const auto call = *fresh.takeCall(at(1000));
  const auto notices = fresh.onAnswer(call, page({}, 78, kEpoch), at(1001)).notices;
  REQUIRE(notices.size() == 1);
  REQUIRE(std::get<EpochsSupported>(notices[0]).first == kEpoch);
}

TEST_CASE("a read in epoch 0 proves freshness immediately", "[serving][epoch]") {
  SourceFollower follower(Endpoint(1, 1), FollowerSettings{}, interpret, RandomEngine(1));
  const auto call = *follower.takeCall(at(1000));
  follower.onAnswer(call, page({version(28, 78)}, 78, 0), at(1001));
  REQUIRE(follower.proof().version == 28);
}

TEST_CASE("updates of one revision in two epochs are encoded separately", "[serving][epoch]") {
  UpdateEncoder encoder;
  SourceNews update;
  update.set_epoch(kEpoch);
  update.set_revision(78);
  update.set_whole(true);
  const std::size_t largeEnough = 5000;
  update.add_records()->set_value(std::string(largeEnough, 'a'));
  PeerEnvelope first;
  encoder.encode(update, first);
  update.set_epoch(kEpoch + 1);
  update.mutable_records(0)->set_value(std::string(largeEnough, 'b'));
  PeerEnvelope second;
  encoder.encode(update, second);
  REQUIRE(decodeUpdate(second)->records(0).value().front() == 'b');
  REQUIRE(decodeUpdate(second)->epoch() == kEpoch + 1);
}

TEST_CASE("few daemons list the source when it is restored", "[serving][epoch]") {
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
