#include "coordination/serving/weighted_rendezvous.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <random>

#include "state/hashing.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

using Fleet = std::vector<ServingDaemon>;

Fleet fleetOf(const std::vector<std::pair<std::uint32_t, unsigned>>& sizes) {
  Fleet fleet;
  for (const auto& [count, capacity] : sizes) {
    for (std::uint32_t number = 0; number < count; ++number) {
      fleet.push_back(
          ServingDaemon{Endpoint(0x0a000001U + static_cast<std::uint32_t>(fleet.size()), 7100), capacity});
    }
  }
  return fleet;
}

Fleet randomFleet() {
  Fleet fleet;
  const int count = *rc::gen::inRange(2, 40);
  for (int number = 0; number < count; ++number) {
    fleet.push_back(
        ServingDaemon{Endpoint(static_cast<std::uint32_t>(number) + 1, 7100), *rc::gen::inRange(0U, 400U)});
  }
  return fleet;
}

std::uint64_t keyHash(int number) { return hashText("key-" + std::to_string(number)); }

std::map<Endpoint, int> firstRankCounts(const Fleet& fleet, int keys) {
  std::map<Endpoint, int> counts;
  for (int key = 0; key < keys; ++key) {
    ++counts[*highestRankedDaemon(keyHash(key), fleet)];
  }
  return counts;
}

double totalWeight(const Fleet& fleet) {
  double total = 0;
  for (const ServingDaemon& daemon : fleet) {
    total += placementWeight(daemon.capacity);
  }
  return total;
}

std::vector<Endpoint> without(std::vector<Endpoint> ranked, const Endpoint& left) {
  ranked.erase(std::remove(ranked.begin(), ranked.end(), left), ranked.end());
  return ranked;
}

}  // namespace

TEST_CASE("each daemon ranks first for a share of the keys in proportion to its capacity", "[serving]") {
  const std::vector<Fleet> fleets = {fleetOf({{8, 50}, {7, 30}, {13, 28}}), fleetOf({{8, 50}, {66, 12}}),
                                     fleetOf({{1, 400}, {5, 100}, {6, 25}, {4, 0}})};
  for (const Fleet& fleet : fleets) {
    constexpr int kKeys = 250'000;
    const auto counts = firstRankCounts(fleet, kKeys);
    for (const ServingDaemon& daemon : fleet) {
      const double expected = kKeys * placementWeight(daemon.capacity) / totalWeight(fleet);
      REQUIRE(std::abs(counts.at(daemon.address) - expected) < 0.1 * expected);
    }
  }
}

TEST_CASE("the second rank is in proportion to capacity too", "[serving]") {
  // Where the daemon of capacity 50 does not rank first, it ranks second with a probability of 50/540: its
  // share of the capacity without that of the first.
  const Fleet fleet = fleetOf({{1, 50}, {50, 10}});
  constexpr int kKeys = 50'000;
  int first = 0;
  int second = 0;
  for (int key = 0; key < kKeys; ++key) {
    const auto ranked = rankDaemons(keyHash(key), fleet, 2);
    first += ranked[0] == fleet.front().address ? 1 : 0;
    second += ranked[1] == fleet.front().address ? 1 : 0;
  }
  const double expected = (kKeys - first) * 50.0 / 540.0;
  REQUIRE(std::abs(second - expected) < 0.1 * expected);
}

TEST_CASE("a daemon that joins, leaves or changes its capacity keeps the relative order of the others",
          "[serving][property]") {
  OAKPIER_PROPERTY("the others keep their order", [] {
    const Fleet fleet = randomFleet();
    Fleet changed = fleet;
    ServingDaemon& one = changed[*rc::gen::inRange<std::size_t>(0, fleet.size())];
    const Endpoint address = one.address;
    one.capacity = *rc::gen::inRange(0U, 400U);
    Fleet left = fleet;
    left.erase(std::find_if(left.begin(), left.end(),
                            [&](const ServingDaemon& daemon) { return daemon.address == address; }));
    for (int key = 0; key < 50; ++key) {
      const auto before = without(rankDaemons(keyHash(key), fleet, fleet.size()), address);
      RC_ASSERT(without(rankDaemons(keyHash(key), changed, changed.size()), address) == before);
      RC_ASSERT(rankDaemons(keyHash(key), left, left.size()) == before);
    }
  });
}

TEST_CASE("a capacity change moves only as many keys as the daemon's share changes by", "[serving]") {
  const Fleet before = fleetOf({{8, 50}, {66, 12}});
  const double total = totalWeight(before);
  constexpr int kKeys = 100'000;
  const auto movedTo = [&](const Fleet& after) {
    int moved = 0;
    for (int key = 0; key < kKeys; ++key) {
      moved += highestRankedDaemon(keyHash(key), before) != highestRankedDaemon(keyHash(key), after) ? 1 : 0;
    }
    return moved;
  };
  Fleet without = before;
  without.erase(without.begin());
  Fleet shrunk = before;
  shrunk.front().capacity = 25;
  Fleet grown = before;
  grown.back().capacity = 50;
  const double highCapacityShare = kKeys * 50 / total;
  REQUIRE(movedTo(without) == firstRankCounts(before, kKeys).at(before.front().address));
  REQUIRE(std::abs(movedTo(without) - highCapacityShare) < 0.1 * highCapacityShare);
  const double shrunkLoss = highCapacityShare - kKeys * 25 / (total - 25);
  REQUIRE(std::abs(movedTo(shrunk) - shrunkLoss) < 0.1 * shrunkLoss);
  const double grownGain = kKeys * 50 / (total + 38) - kKeys * 12 / total;
  REQUIRE(std::abs(movedTo(grown) - grownGain) < 0.1 * grownGain);
}

TEST_CASE("the ranking does not depend on the order of the input", "[serving][property]") {
  OAKPIER_PROPERTY("equal ranks", [] {
    const Fleet fleet = randomFleet();
    Fleet shuffled = fleet;
    std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
    const std::uint64_t key = *rc::gen::arbitrary<std::uint64_t>();
    const auto ranked = rankDaemons(key, fleet, fleet.size());
    RC_ASSERT(ranked.size() == fleet.size());
    RC_ASSERT(rankDaemons(key, shuffled, fleet.size()) == ranked);
    RC_ASSERT(highestRankedDaemon(key, shuffled) == ranked.front());
    const std::size_t maxCount = *rc::gen::inRange<std::size_t>(0, fleet.size() + 2);
    const auto few = rankDaemons(key, shuffled, maxCount);
    RC_ASSERT(few.size() == std::min(maxCount, fleet.size()));
    RC_ASSERT(std::equal(few.begin(), few.end(), ranked.begin()));
  });
}

TEST_CASE("daemons of unknown capacity have the default capacity", "[serving]") {
  const Fleet unknown = fleetOf({{20, 0}});
  const Fleet defaults = fleetOf({{20, kDefaultCapacity}});
  const Fleet highCapacity = fleetOf({{20, 50}});
  for (int key = 0; key < 200; ++key) {
    REQUIRE(rankDaemons(keyHash(key), unknown, 6) == rankDaemons(keyHash(key), defaults, 6));
    // With equal capacities the ranking does not depend on their value.
    REQUIRE(rankDaemons(keyHash(key), unknown, 6) == rankDaemons(keyHash(key), highCapacity, 6));
  }
}

TEST_CASE("the placement weight is limited to the maximum capacity", "[serving]") {
  REQUIRE(placementWeight(4'000'000'000U) == kMaxCapacity);
  REQUIRE(placementWeight(0) == kDefaultCapacity);
  REQUIRE(placementWeight(1) == 1);
}

TEST_CASE("the ranking of no daemons is empty", "[serving]") {
  REQUIRE(rankDaemons(1, {}, 3).empty());
  REQUIRE_FALSE(highestRankedDaemon(1, {}).has_value());
}

}  // namespace oakpier::serving
