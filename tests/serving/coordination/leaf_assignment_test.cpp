#include "coordination/serving/leaf_assignment.h"

#include <catch2/catch.hpp>
#include <map>

#include "serving/support/serving_fixtures.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

/// The assignment of daemon `number` of `count`, all in one zone.
LeafAssignment assignmentOf(std::uint32_t number, std::uint32_t count, const ServingView& view) {
  std::vector<Endpoint> daemons;
  for (std::uint32_t each = 1; each <= count; ++each) {
    daemons.emplace_back(each, 9);
  }
  ShardOwners owners(daemons[number]);
  owners.setDaemons({daemons.begin(), daemons.end()});
  return assignLeafs(view, FleetParameters{count, 1, count, 1, {1.5, 5}}, daemons[number], owners);
}

}  // namespace

TEST_CASE("with few daemons, each uses every leaf that is neither draining nor evacuated", "[serving]") {
  const auto view = viewOf({gatherRoute({"s", "t"}, 0.5)}, {"s", "t"}, 3);
  ServingView changed = *view;
  LeafsByService leafs = *view->leafs;
  leafs["s"][1].draining = true;
  leafs["t"][2].evacuated = true;
  changed.leafs = std::make_shared<const LeafsByService>(leafs);
  const LeafAssignment assignment = assignmentOf(0, 4, changed);
  REQUIRE(assignment.leafs.at("s").size() == 2);
  REQUIRE(assignment.leafs.at("t").size() == 2);
  REQUIRE(assignment.firstOwnedServices.empty());
}

TEST_CASE("the request limit for cold leafs is divided among the daemons that may send to them",
          "[serving]") {
  const auto view = viewOf({gatherRoute({"s", "t"}, 0.5)}, {"s", "t"}, 2);
  auto configuration = std::make_shared<ServingConfiguration>(*view->configuration);
  configuration->services[0].warmupRate = 20;
  ServingView changed = *view;
  changed.configuration = configuration;
  const LeafAssignment assignment = assignmentOf(0, 4, changed);
  REQUIRE(assignment.warmups.count("t") == 0);
  // Half of (20 per second times 1.5, plus 5), divided among four daemons.
  REQUIRE(assignment.warmups.at("s").perSecond == Approx(35.0 / 2 / 4));
}

TEST_CASE("nothing is assigned before a configuration is known", "[serving]") {
  ServingView view;
  view.leafs = std::make_shared<const LeafsByService>(leafsOf({"s"}, 2));
  REQUIRE(assignmentOf(0, 4, view).leafs.empty());
}

TEST_CASE("every shard has exactly one first owner, and no leaf gets too many connections", "[serving]") {
  OAKPIER_PROPERTY("assignment", [] {
    const auto count = *rc::gen::inRange<std::uint32_t>(27, 120);
    const auto replicas = *rc::gen::inRange<std::size_t>(1, 4);
    const std::vector<std::string> shards{"s", "t", "u", "v"};
    // A leaf of these services accepts 26 connections.
    const auto view = viewOf({gatherRoute(shards, 0.5)}, shards, replicas);
    std::map<std::string, std::size_t> firstOwners;
    std::map<std::string, std::size_t> connections;
    for (std::uint32_t number = 0; number < count; ++number) {
      const LeafAssignment assignment = assignmentOf(number, count, *view);
      for (const std::string& service : assignment.firstOwnedServices) {
        RC_ASSERT(assignment.leafs.at(service).size() == replicas);
        ++firstOwners[service];
      }
      for (const auto& [service, leafs] : assignment.leafs) {
        for (const LeafEntry& leaf : leafs) {
          connections[leaf.id] += assignment.shares.at(service).connections;
        }
      }
    }
    for (const std::string& shard : shards) {
      RC_ASSERT(firstOwners[shard] == 1U);
    }
    for (const auto& [leaf, sum] : connections) {
      RC_ASSERT(sum <= 26U);
    }
  });
}

}  // namespace oakpier::serving
