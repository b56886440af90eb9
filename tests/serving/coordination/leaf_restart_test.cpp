/// Leafs that restart under the same id, and directory entries that were not written by a leaf.

#include <catch2/catch.hpp>

#include "coordination/serving/leaf_selection.h"
#include "coordination/serving/request_quarantine.h"
#include "coordination/serving/serving_state.h"
#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

constexpr Duration kTypicalLatency = std::chrono::milliseconds(20);
constexpr std::uint64_t kFirstStart = 1760000000000;
constexpr std::uint64_t kSecondStart = 1760000060000;

LeafEntry leafStartedAt(std::uint64_t startedAt, std::uint16_t port = 1) {
  LeafEntry entry = leafEntry("one", "s", port);
  entry.processStartedAt = startedAt;
  return entry;
}

/// The only leaf of the view, which must have changed.
LeafEntry knownLeaf(ServingState& knowledge) {
  const auto view = knowledge.takeChangedView();
  REQUIRE(view);
  REQUIRE(view->leafs->at("s").size() == 1);
  return view->leafs->at("s").front();
}

LeafsByService directoryOf(const LeafEntry& entry) { return LeafsByService{{entry.service, {entry}}}; }

std::shared_ptr<LeafStatus> only(const LeafRegistry& registry) {
  REQUIRE(registry.leafsOf("s").size() == 1);
  return registry.leafsOf("s").front();
}

}  // namespace

TEST_CASE("incarnations of a leaf differ by start time and address, and have a stable hash", "[lives]") {
  const LeafIncarnation first = leafStartedAt(kFirstStart).incarnation();
  REQUIRE(first == leafStartedAt(kFirstStart).incarnation());
  REQUIRE(first != leafStartedAt(kSecondStart).incarnation());
  REQUIRE(first != leafStartedAt(kFirstStart, 2).incarnation());
  REQUIRE(stableHash(first) != stableHash(leafStartedAt(kSecondStart).incarnation()));
  REQUIRE(stableHash(leafStartedAt(0).incarnation()) == hashText("one"));
  REQUIRE(leafStartedAt(kFirstStart).isOf(first));
  REQUIRE_FALSE(leafStartedAt(kSecondStart).isOf(first));
  REQUIRE_FALSE(leafStartedAt(kFirstStart, 2).isOf(first));
}

TEST_CASE("of two incarnations of a leaf, the one with the latest source revision is in effect", "[lives]") {
  ServingState knowledge{ServingStateSettings{}};
  REQUIRE(knowledge.onLeaf(leafStartedAt(kFirstStart), inFirstEpoch(5)));
  REQUIRE(knowledge.onLeaf(leafStartedAt(kSecondStart), inFirstEpoch(8)));
  REQUIRE(knowledge.leafsRestarted() == 1);
  REQUIRE(knownLeaf(knowledge).processStartedAt == kSecondStart);
  SECTION("a delayed entry of the earlier incarnation has no effect") {
    REQUIRE_FALSE(knowledge.onLeaf(leafStartedAt(kFirstStart), inFirstEpoch(6)));
    REQUIRE_FALSE(knowledge.onLeafRemoved("one", inFirstEpoch(7), at(0)));
    REQUIRE_FALSE(knowledge.onLeafUnusable("one", inFirstEpoch(7)));
    REQUIRE(knowledge.takeChangedView() == nullptr);
  }
  SECTION("a repeated entry has no effect") {
    REQUIRE_FALSE(knowledge.onLeaf(leafStartedAt(kSecondStart), inFirstEpoch(8)));
    REQUIRE(knowledge.takeChangedView() == nullptr);
  }
  SECTION("a later revision takes effect despite an earlier start time") {
    REQUIRE(knowledge.onLeaf(leafStartedAt(kFirstStart), inFirstEpoch(9)));
    REQUIRE(knownLeaf(knowledge).processStartedAt == kFirstStart);
    REQUIRE(knowledge.leafsRestarted() == 2);
  }
  SECTION("a changed entry of the same incarnation is not a restart") {
    LeafEntry draining = leafStartedAt(kSecondStart);
    draining.draining = true;
    REQUIRE(knowledge.onLeaf(draining, inFirstEpoch(9)));
    REQUIRE(knowledge.leafsRestarted() == 1);
  }
}

TEST_CASE("a leaf that restarts while its entry is removed or draining is used", "[lives]") {
  ServingState knowledge{ServingStateSettings{std::chrono::milliseconds(1000)}};
  LeafEntry first = leafStartedAt(kFirstStart);
  SECTION("removed") {
    knowledge.onLeaf(first, inFirstEpoch(1));
    knowledge.onLeafRemoved("one", inFirstEpoch(2), at(0));
  }
  SECTION("draining") {
    first.draining = true;
    knowledge.onLeaf(first, inFirstEpoch(2));
  }
  REQUIRE(knowledge.onLeaf(leafStartedAt(kSecondStart), inFirstEpoch(3)));
  knowledge.onTimer(at(5000));
  REQUIRE(knownLeaf(knowledge).acceptsRequests());
}

TEST_CASE("an unusable entry removes its leaf immediately, until the leaf writes its entry again",
          "[lives]") {
  ServingState knowledge{ServingStateSettings{std::chrono::milliseconds(1000)}};
  knowledge.onLeaf(leafStartedAt(kFirstStart), inFirstEpoch(1));
  knowledge.onLeaf(leafEntry("other", "t", 9), inFirstEpoch(2));
  REQUIRE(knowledge.onLeafUnusable("one", inFirstEpoch(3)));
  const auto view = knowledge.takeChangedView();
  REQUIRE(view->leafs->count("s") == 0);
  REQUIRE(view->leafs->at("t").size() == 1);
  REQUIRE(knowledge.onLeaf(leafStartedAt(kFirstStart), inFirstEpoch(4)));
  REQUIRE(knowledge.takeChangedView()->leafs->at("s").size() == 1);
  // Unusable entries of unknown leafs are not stored.
  for (std::uint64_t number = 0; number < 1000; ++number) {
    REQUIRE_FALSE(knowledge.onLeafUnusable("forged" + std::to_string(number), inFirstEpoch(5 + number)));
  }
  REQUIRE(knowledge.leafCount() == 2);
  REQUIRE(knowledge.takeChangedView() == nullptr);
}

TEST_CASE("an unusable entry in a listing does not keep its leaf", "[lives]") {
  ServingState knowledge{ServingStateSettings{Duration(0)}};
  knowledge.onLeaf(leafStartedAt(kFirstStart), inFirstEpoch(1));
  knowledge.onListing({}, inFirstEpoch(5), at(0));
  REQUIRE(knowledge.leafCount() == 0);
}

TEST_CASE("a restarted leaf has a new status: warming up, without load, failures or latencies", "[lives]") {
  LeafRegistry registry;
  registry.reconcile(directoryOf(leafStartedAt(kFirstStart)), at(0));
  const auto earlier = only(registry);
  RandomEngine random(1);
  const std::string zone = "a";
  SECTION("the earlier incarnation was replaced and had requests in progress") {
    earlier->onStarted(1, kTypicalLatency, at(0));
    earlier->onStarted(2, kTypicalLatency, at(0));
    earlier->onFinished(2, LeafOutcome::Kind::kWrongInstance, at(1));
  }
  SECTION("the earlier incarnation was slow, loaded and unreachable") {
    earlier->onStarted(1, kTypicalLatency, at(0));
    earlier->onFinished(1, LeafOutcome::Kind::kAnswered, at(1000));
    earlier->onLoadReport(ReportedLoad{2, 9, 2}, at(1000));
    registry.onReachability(earlier->entry(), false, at(1000));
    registry.onReachability(earlier->entry(), false, at(1001));
  }
  const bool elsewhere = GENERATE(false, true);
  LeafEntry again = leafStartedAt(kSecondStart, elsewhere ? 2 : 1);
  again.warmupLeft = std::chrono::seconds(3);
  again.position.revision = 9;
  registry.reconcile(directoryOf(again), at(1002));
  const auto later = only(registry);
  REQUIRE(later != earlier);
  REQUIRE_FALSE(earlier->usable());
  REQUIRE(later->warmingUp(at(1003)));
  REQUIRE(later->inProgress() == 0);
  REQUIRE(later->latencyRatio() == 1.0);
  REQUIRE(later->queueLength(at(1003)) == 0.0);
  REQUIRE(selectLeaf(registry.leafsOf("s"), {{}, kTypicalLatency, zone}, random, at(1003)) == later);
  // Late outcomes of the earlier incarnation do not affect the later one.
  registry.onReachability(earlier->entry(), false, at(1004));
  registry.onReachability(earlier->entry(), false, at(1005));
  earlier->onFinished(1, LeafOutcome::Kind::kNotSent, at(1006));
  REQUIRE_FALSE(later->ejected(at(1007)));
  REQUIRE_FALSE(later->unreachable(at(1007)));
}

TEST_CASE("a leaf that changes its address without a reported start time counts as restarted", "[lives]") {
  LeafRegistry registry;
  registry.reconcile(directoryOf(leafStartedAt(0, 1)), at(0));
  const auto earlier = only(registry);
  registry.reconcile(directoryOf(leafStartedAt(0, 2)), at(1));
  REQUIRE(only(registry) != earlier);
  REQUIRE_FALSE(earlier->usable());
}

TEST_CASE("a request that was sent to an earlier incarnation may be sent to the later one", "[lives]") {
  LeafRegistry registry;
  registry.reconcile(directoryOf(leafStartedAt(kFirstStart)), at(0));
  const std::vector<LeafIncarnation> tried{only(registry)->entry().incarnation()};
  RandomEngine random(1);
  const std::string zone = "a";
  REQUIRE(selectLeaf(registry.leafsOf("s"), {tried, kTypicalLatency, zone}, random, at(1)) == nullptr);
  registry.reconcile(directoryOf(leafStartedAt(kSecondStart)), at(2));
  REQUIRE(selectLeaf(registry.leafsOf("s"), {tried, kTypicalLatency, zone}, random, at(3)) == only(registry));
}

TEST_CASE("a request that crashes several incarnations of one leaf is quarantined", "[lives]") {
  RequestQuarantine quarantine;
  const RequestFingerprint request{1, 2};
  const auto crashIn = [&](std::uint64_t startedAt, int milliseconds) {
    quarantine.onLeafCrashed(request, stableHash(leafStartedAt(startedAt).incarnation()), at(milliseconds));
  };
  crashIn(kFirstStart, 1000);
  crashIn(kFirstStart, 1001);
  REQUIRE(quarantine.assess(request, at(5000)).verdict == RequestQuarantine::Verdict::kUnsuspected);
  crashIn(kFirstStart + 1, 2000);
  REQUIRE(quarantine.assess(request, at(5000)).verdict == RequestQuarantine::Verdict::kTrial);
  quarantine.onTrial(request, at(5000));
  crashIn(kFirstStart + 2, 5001);
  REQUIRE(quarantine.assess(request, at(5002)).verdict == RequestQuarantine::Verdict::kQuarantined);
}

}  // namespace oakpier::serving
