/// Leafs that start again under their id, and entries that something else than a leaf has written.

#include <catch2/catch.hpp>

#include "coordination/serving/leaf_selection.h"
#include "coordination/serving/request_quarantine.h"
#include "coordination/serving/serving_knowledge.h"
#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

constexpr Duration kUsual = std::chrono::milliseconds(20);
constexpr std::uint64_t kFirstBirth = 1760000000000;
constexpr std::uint64_t kSecondBirth = 1760000060000;

LeafEntry bornAt(std::uint64_t birth, std::uint16_t port = 1) {
  LeafEntry entry = leafEntry("one", "s", port);
  entry.bornAt = birth;
  return entry;
}

/// The only leaf of the view, which must have changed.
LeafEntry believed(ServingKnowledge& knowledge) {
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

TEST_CASE("lives of a leaf differ by birth and by address, and have a name that all daemons know",
          "[lives]") {
  const LeafLife first = bornAt(kFirstBirth).life();
  REQUIRE(first == bornAt(kFirstBirth).life());
  REQUIRE(first != bornAt(kSecondBirth).life());
  REQUIRE(first != bornAt(kFirstBirth, 2).life());
  REQUIRE(stableHash(first) != stableHash(bornAt(kSecondBirth).life()));
  REQUIRE(stableHash(bornAt(0).life()) == hashText("one"));
  REQUIRE(bornAt(kFirstBirth).isOf(first));
  REQUIRE_FALSE(bornAt(kSecondBirth).isOf(first));
  REQUIRE_FALSE(bornAt(kFirstBirth, 2).isOf(first));
}

TEST_CASE("of two lives of a leaf the one that the source told last is believed", "[lives]") {
  ServingKnowledge knowledge{KnowledgeSettings{}};
  REQUIRE(knowledge.onLeaf(bornAt(kFirstBirth), inFirstEpoch(5)));
  REQUIRE(knowledge.onLeaf(bornAt(kSecondBirth), inFirstEpoch(8)));
  REQUIRE(knowledge.leafsBornAgain() == 1);
  REQUIRE(believed(knowledge).bornAt == kSecondBirth);
  SECTION("a late entry of the earlier life changes nothing") {
    REQUIRE_FALSE(knowledge.onLeaf(bornAt(kFirstBirth), inFirstEpoch(6)));
    REQUIRE_FALSE(knowledge.onLeafRemoved("one", inFirstEpoch(7), at(0)));
    REQUIRE_FALSE(knowledge.onLeafUnusable("one", inFirstEpoch(7)));
    REQUIRE(knowledge.takeChangedView() == nullptr);
  }
  SECTION("the same entry once more changes nothing") {
    REQUIRE_FALSE(knowledge.onLeaf(bornAt(kSecondBirth), inFirstEpoch(8)));
    REQUIRE(knowledge.takeChangedView() == nullptr);
  }
  SECTION("a later entry holds though its clock says an earlier birth") {
    REQUIRE(knowledge.onLeaf(bornAt(kFirstBirth), inFirstEpoch(9)));
    REQUIRE(believed(knowledge).bornAt == kFirstBirth);
    REQUIRE(knowledge.leafsBornAgain() == 2);
  }
  SECTION("the same life that says more is no other life") {
    LeafEntry draining = bornAt(kSecondBirth);
    draining.draining = true;
    REQUIRE(knowledge.onLeaf(draining, inFirstEpoch(9)));
    REQUIRE(knowledge.leafsBornAgain() == 1);
  }
}

TEST_CASE("a leaf that starts again while its entry is gone or drains is used", "[lives]") {
  ServingKnowledge knowledge{KnowledgeSettings{std::chrono::milliseconds(1000)}};
  LeafEntry first = bornAt(kFirstBirth);
  SECTION("gone") {
    knowledge.onLeaf(first, inFirstEpoch(1));
    knowledge.onLeafRemoved("one", inFirstEpoch(2), at(0));
  }
  SECTION("draining") {
    first.draining = true;
    knowledge.onLeaf(first, inFirstEpoch(2));
  }
  REQUIRE(knowledge.onLeaf(bornAt(kSecondBirth), inFirstEpoch(3)));
  knowledge.onTime(at(5000));
  REQUIRE(believed(knowledge).acceptsRequests());
}

TEST_CASE(
    "an entry that something else has written ends the use of its leaf at once, until the leaf writes again",
    "[lives]") {
  ServingKnowledge knowledge{KnowledgeSettings{std::chrono::milliseconds(1000)}};
  knowledge.onLeaf(bornAt(kFirstBirth), inFirstEpoch(1));
  knowledge.onLeaf(leafEntry("other", "t", 9), inFirstEpoch(2));
  REQUIRE(knowledge.onLeafUnusable("one", inFirstEpoch(3)));
  const auto view = knowledge.takeChangedView();
  REQUIRE(view->leafs->count("s") == 0);
  REQUIRE(view->leafs->at("t").size() == 1);
  REQUIRE(knowledge.onLeaf(bornAt(kFirstBirth), inFirstEpoch(4)));
  REQUIRE(knowledge.takeChangedView()->leafs->at("s").size() == 1);
  // What was never known is not kept, however often it comes.
  for (std::uint64_t number = 0; number < 1000; ++number) {
    REQUIRE_FALSE(knowledge.onLeafUnusable("forged" + std::to_string(number), inFirstEpoch(5 + number)));
  }
  REQUIRE(knowledge.leafCount() == 2);
  REQUIRE(knowledge.takeChangedView() == nullptr);
}

TEST_CASE("a listing's unusable entry does not keep the leaf listed", "[lives]") {
  ServingKnowledge knowledge{KnowledgeSettings{Duration(0)}};
  knowledge.onLeaf(bornAt(kFirstBirth), inFirstEpoch(1));
  knowledge.onListing({}, inFirstEpoch(5), at(0));
  REQUIRE(knowledge.leafCount() == 0);
}

TEST_CASE("a leaf that starts again is a new one: cold, unloaded, not avoided for what its earlier life did",
          "[lives]") {
  LeafRegistry registry;
  registry.reconcile(directoryOf(bornAt(kFirstBirth)), at(0));
  const auto earlier = only(registry);
  RandomEngine random(1);
  const std::string zone = "a";
  SECTION("it was replaced, and at work") {
    earlier->onStarted(1, kUsual, at(0));
    earlier->onStarted(2, kUsual, at(0));
    earlier->onFinished(2, LeafOutcome::Kind::kWrongInstance, at(1));
  }
  SECTION("it was slow, loaded and not to be reached") {
    earlier->onStarted(1, kUsual, at(0));
    earlier->onFinished(1, LeafOutcome::Kind::kAnswered, at(1000));
    earlier->onLoad(ReportedLoad{2, 9, 2}, at(1000));
    registry.onReachability(earlier->entry(), false, at(1000));
    registry.onReachability(earlier->entry(), false, at(1001));
  }
  const bool elsewhere = GENERATE(false, true);
  LeafEntry again = bornAt(kSecondBirth, elsewhere ? 2 : 1);
  again.warmupLeft = std::chrono::seconds(3);
  again.position.revision = 9;
  registry.reconcile(directoryOf(again), at(1002));
  const auto later = only(registry);
  REQUIRE(later != earlier);
  REQUIRE_FALSE(earlier->usable());
  REQUIRE(later->warmingUp(at(1003)));
  REQUIRE(later->inProgress() == 0);
  REQUIRE(later->slowness() == 1.0);
  REQUIRE(later->queueLength(at(1003)) == 0.0);
  REQUIRE(selectLeaf(registry.leafsOf("s"), {{}, kUsual, zone}, random, at(1003)) == later);
  // What still comes of the earlier life says nothing of the later one.
  registry.onReachability(earlier->entry(), false, at(1004));
  registry.onReachability(earlier->entry(), false, at(1005));
  earlier->onFinished(1, LeafOutcome::Kind::kNotSent, at(1006));
  REQUIRE_FALSE(later->ejected(at(1007)));
  REQUIRE_FALSE(later->unreachable(at(1007)));
}

TEST_CASE("a leaf that moves without a birth being told is a new one, too", "[lives]") {
  LeafRegistry registry;
  registry.reconcile(directoryOf(bornAt(0, 1)), at(0));
  const auto earlier = only(registry);
  registry.reconcile(directoryOf(bornAt(0, 2)), at(1));
  REQUIRE(only(registry) != earlier);
  REQUIRE_FALSE(earlier->usable());
}

TEST_CASE("a request that an earlier life of a leaf was tried for may go to the later one", "[lives]") {
  LeafRegistry registry;
  registry.reconcile(directoryOf(bornAt(kFirstBirth)), at(0));
  const std::vector<LeafLife> tried{only(registry)->entry().life()};
  RandomEngine random(1);
  const std::string zone = "a";
  REQUIRE(selectLeaf(registry.leafsOf("s"), {tried, kUsual, zone}, random, at(1)) == nullptr);
  registry.reconcile(directoryOf(bornAt(kSecondBirth)), at(2));
  REQUIRE(selectLeaf(registry.leafsOf("s"), {tried, kUsual, zone}, random, at(3)) == only(registry));
}

TEST_CASE("a request that ends one leaf in life after life is condemned", "[lives]") {
  RequestQuarantine quarantine;
  const RequestFingerprint request{1, 2};
  const auto endIn = [&](std::uint64_t birth, int milliseconds) {
    quarantine.onLeafEnded(request, stableHash(bornAt(birth).life()), at(milliseconds));
  };
  endIn(kFirstBirth, 1000);
  endIn(kFirstBirth, 1001);
  REQUIRE(quarantine.judge(request, at(5000)).verdict == RequestQuarantine::Verdict::kOrdinary);
  endIn(kFirstBirth + 1, 2000);
  REQUIRE(quarantine.judge(request, at(5000)).verdict == RequestQuarantine::Verdict::kTrial);
  quarantine.onTrial(request, at(5000));
  endIn(kFirstBirth + 2, 5001);
  REQUIRE(quarantine.judge(request, at(5002)).verdict == RequestQuarantine::Verdict::kCondemned);
}

}  // namespace oakpier::serving
