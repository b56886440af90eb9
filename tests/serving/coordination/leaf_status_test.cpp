#include <catch2/catch.hpp>

#include "coordination/serving/leaf_selection.h"
#include "serving/support/serving_fixtures.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

constexpr Duration kTypicalLatency = std::chrono::milliseconds(20);

}  // namespace

TEST_CASE("a leaf with an overdue answer is avoided until it answers", "[serving]") {
  LeafRegistry registry;
  registry.reconcile(leafsOf({"s"}, 2), at(0));
  const auto& leafs = registry.leafsOf("s");
  RandomEngine random(1);
  const std::vector<LeafIncarnation> tried;
  const std::string zone = "a";
  const SelectionRequest request{tried, kTypicalLatency, zone};
  leafs[0]->onStarted(1, kTypicalLatency, at(0));
  REQUIRE(leafs[0]->overdueFor(at(10)).count() <= 0);
  REQUIRE(leafs[0]->overdueFor(at(50)) == std::chrono::milliseconds(30));
  for (int repeat = 0; repeat < 20; ++repeat) {
    REQUIRE(selectLeaf(leafs, request, random, at(50)) == leafs[1]);
  }
  leafs[0]->onFinished(1, LeafOutcome::Kind::kAnswered, at(60));
  REQUIRE(leafs[0]->overdueFor(at(60)).count() == 0);
}

TEST_CASE("a slow leaf is selected only after a faster one", "[serving]") {
  LeafRegistry registry;
  registry.reconcile(leafsOf({"s"}, 2), at(0));
  const auto& leafs = registry.leafsOf("s");
  RandomEngine random(1);
  const std::string zone = "a";
  for (int number = 0; number < 20; ++number) {
    const int start = number * 200;
    const auto exchange = static_cast<std::uint64_t>(number);
    leafs[0]->onStarted(exchange, kTypicalLatency, at(start));
    leafs[0]->onFinished(exchange, LeafOutcome::Kind::kAnswered, at(start + 100));
    leafs[1]->onStarted(exchange, kTypicalLatency, at(start));
    leafs[1]->onFinished(exchange, LeafOutcome::Kind::kAnswered, at(start + 20));
  }
  REQUIRE(leafs[0]->latencyRatio() > leafs[1]->latencyRatio() * 2);
  for (int draw = 0; draw < 20; ++draw) {
    REQUIRE(selectLeaf(leafs, {{}, kTypicalLatency, zone}, random, at(5000)) == leafs[1]);
  }
}

TEST_CASE("an ejected leaf is selected if no other one is left", "[serving]") {
  LeafRegistry registry;
  registry.reconcile(leafsOf({"s"}, 2), at(0));
  const auto& leafs = registry.leafsOf("s");
  RandomEngine random(1);
  const std::string zone = "a";
  leafs[0]->onStarted(1, kTypicalLatency, at(0));
  leafs[0]->onFinished(1, LeafOutcome::Kind::kNotSent, at(1));
  REQUIRE(leafs[0]->ejected(at(2)));
  REQUIRE(selectLeaf(leafs, {{}, kTypicalLatency, zone}, random, at(2)) == leafs[1]);
  const std::vector<LeafIncarnation> tried{leafs[1]->entry().incarnation()};
  REQUIRE(selectLeaf(leafs, {tried, kTypicalLatency, zone}, random, at(2)) == leafs[0]);
  REQUIRE_FALSE(leafs[0]->ejected(at(5000)));
}

TEST_CASE("a draining, removed or replaced leaf is not selected", "[serving]") {
  LeafRegistry registry;
  LeafsByService directory = leafsOf({"s"}, 3);
  registry.reconcile(directory, at(0));
  const auto before = registry.leafsOf("s");
  before[2]->onStarted(1, kTypicalLatency, at(0));
  before[2]->onFinished(1, LeafOutcome::Kind::kWrongInstance, at(1));
  directory["s"][0].draining = true;
  directory["s"].erase(directory["s"].begin() + 1);
  registry.reconcile(directory, at(2));
  RandomEngine random(1);
  const std::string zone = "a";
  REQUIRE(selectLeaf(registry.leafsOf("s"), {{}, kTypicalLatency, zone}, random, at(3)) == nullptr);
  REQUIRE_FALSE(before[1]->usable());
}

TEST_CASE("the status of a leaf is kept when the directory changes", "[serving]") {
  LeafRegistry registry;
  registry.reconcile(leafsOf({"s"}, 1), at(0));
  const auto leaf = registry.leafsOf("s").front();
  leaf->onStarted(1, kTypicalLatency, at(0));
  registry.reconcile(leafsOf({"s", "t"}, 1), at(1));
  REQUIRE(registry.leafsOf("s").front() == leaf);
  REQUIRE(leaf->inProgress() == 1);
}

TEST_CASE("leafs added for a peer are added only once, and draining ones are not usable", "[serving]") {
  LeafRegistry registry;
  LeafEntry draining = leafEntry("two", "s", 2);
  draining.draining = true;
  registry.add("s", {leafEntry("one", "s", 1), draining}, at(0));
  const LeafRegistry::Leafs before = registry.leafsOf("s");
  REQUIRE(before.size() == 2);
  REQUIRE(before[0]->usable());
  REQUIRE_FALSE(before[1]->usable());
  registry.add("s", {leafEntry("one", "s", 1)}, at(1));
  REQUIRE(registry.leafsOf("s") == before);
}

TEST_CASE(
    "an unreachable leaf is not selected until a connection is established or the retry time has passed",
    "[serving]") {
  LeafRegistry registry;
  registry.reconcile(leafsOf({"s"}, 1), at(0));
  const auto leaf = registry.leafsOf("s").front();
  RandomEngine random(1);
  const std::string zone = "a";
  const auto selected = [&](int moment) {
    return selectLeaf(registry.leafsOf("s"), {{}, kTypicalLatency, zone}, random, at(moment)) != nullptr;
  };
  registry.onReachability(leaf->entry(), false, at(0));
  // After one failure the only leaf is still tried.
  REQUIRE(selected(1));
  SECTION("an answer between two failures") {
    leaf->onStarted(1, kTypicalLatency, at(1));
    leaf->onFinished(1, LeafOutcome::Kind::kAnswered, at(2));
    registry.onReachability(leaf->entry(), false, at(3));
    REQUIRE(selected(4));
  }
  SECTION("two failures in a row") {
    registry.onReachability(leaf->entry(), false, at(400));
    REQUIRE_FALSE(selected(401));
    REQUIRE(leaf->retryAt() > at(401));
    REQUIRE(selected(5000));
    registry.onReachability(leaf->entry(), true, at(500));
    REQUIRE(selected(501));
  }
  SECTION("broken connections and expired requests do not count") {
    for (std::uint64_t exchange = 1; exchange <= 4; ++exchange) {
      leaf->onStarted(exchange, kTypicalLatency, at(1));
      const bool even = exchange % 2 == 0;
      leaf->onFinished(exchange, even ? LeafOutcome::Kind::kNoAnswer : LeafOutcome::Kind::kExpired, at(2));
    }
    REQUIRE(selected(3));
  }
}

TEST_CASE("all daemons together send a cold leaf no more requests per second than its limit", "[serving]") {
  OAKPIER_PROPERTY("cold leafs", [] {
    const auto daemons = *rc::gen::element<std::size_t>(1, 2, 8, 76, 300, 1000);
    const auto rate = *rc::gen::element(2.0, 20.0, 200.0);
    const WarmupTolerance tolerance{1.5, 5};
    const WarmupAllowance allowance = warmupAllowance(rate, tolerance, daemons);
    RandomEngine random(*rc::gen::arbitrary<std::uint64_t>());
    std::vector<LeafRegistry> registries(daemons);
    LeafsByService directory = leafsOf({"s"}, 1);
    directory["s"][0].warmupLeft = std::chrono::seconds(30);
    std::vector<int> sends(6000, 0);
    for (LeafRegistry& registry : registries) {
      registry.reconcile(directory, at(0));
      const std::string zone = "a";
      SelectionRequest request{{}, kTypicalLatency, zone};
      request.warmup = &allowance;
      // Every daemon attempts a send every 50 ms.
      for (std::size_t moment = drawBelow(50, random); moment < sends.size(); moment += 50) {
        const Moment now = at(static_cast<int>(moment));
        if (const auto leaf = selectLeaf(registry.leafsOf("s"), request, random, now)) {
          leaf->onStarted(moment, kTypicalLatency, now);
          ++sends[moment];
        }
      }
    }
    int inSecond = 0;
    for (std::size_t moment = 0; moment < sends.size(); ++moment) {
      inSecond += sends[moment] - (moment >= 1000 ? sends[moment - 1000] : 0);
      RC_ASSERT(inSecond <= rate * tolerance.factor + tolerance.slack);
    }
  });
}

TEST_CASE("a leaf that reports a new warm-up counts as warming up until that has passed", "[serving]") {
  LeafRegistry registry;
  LeafsByService directory = leafsOf({"s"}, 1);
  registry.reconcile(directory, at(0));
  const auto leaf = registry.leafsOf("s").front();
  REQUIRE_FALSE(leaf->warmingUp(at(1)));
  SECTION("in its directory entry") {
    directory["s"][0].warmupLeft = std::chrono::seconds(3);
    directory["s"][0].position.revision = 9;
    registry.reconcile(directory, at(10));
  }
  SECTION("with an answer") { leaf->onWarmup(std::chrono::seconds(3), at(10)); }
  REQUIRE(leaf->warmingUp(at(11)));
  // The same entry does not restart the warm-up.
  registry.reconcile(directory, at(2000));
  REQUIRE_FALSE(leaf->warmingUp(at(3011)));
}

}  // namespace oakpier::serving
