#include "coordination/serving/shard_owners.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>

#include "serving/support/serving_fixtures.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

std::vector<Endpoint> daemons(std::uint32_t count) {
  std::vector<Endpoint> addresses;
  for (std::uint32_t number = 1; number <= count; ++number) {
    addresses.emplace_back(number, 9);
  }
  return addresses;
}

ShardOwners ownersSeenBy(const Endpoint& self, const std::vector<Endpoint>& group) {
  ShardOwners owners(self);
  owners.setDaemons({group.begin(), group.end()});
  return owners;
}

std::string shard(int number) { return "shard-" + std::to_string(number); }

}  // namespace

TEST_CASE("a daemon that receives work for a shard it does not own serves it temporarily", "[serving]") {
  std::vector<Endpoint> daemons;
  for (std::uint32_t number = 1; number <= 40; ++number) {
    daemons.emplace_back(number, 1);
  }
  ShardOwners owners(daemons.front());
  owners.setDaemons({daemons.begin(), daemons.end()});
  owners.setServices({"a", "b", "c", "d", "e", "f", "g", "h"});
  std::string notOwned;
  for (const std::string service : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    notOwned = owners.isOwner(service) ? notOwned : service;
  }
  REQUIRE_FALSE(notOwned.empty());
  REQUIRE(owners.serveTemporarily(notOwned, at(0)));
  REQUIRE_FALSE(owners.serveTemporarily(notOwned, at(1)));
  REQUIRE(owners.isOwner(notOwned));
  REQUIRE_FALSE(owners.isFirstOwner(notOwned));
  owners.expireTemporaryShards(at(5000));
  REQUIRE(owners.isOwner(notOwned));
  owners.expireTemporaryShards(at(20000));
  REQUIRE_FALSE(owners.isOwner(notOwned));
  REQUIRE_FALSE(owners.serveTemporarily("not owned", at(0)));
}

TEST_CASE("daemons with equal member tables choose the same owners", "[serving]") {
  const auto group = daemons(17);
  auto first = ownersSeenBy(group[0], group);
  auto last = ownersSeenBy(group[16], group);
  std::map<Endpoint, int> shards;
  for (int number = 0; number < 500; ++number) {
    const auto owners = first.ownersOf(shard(number), at(0));
    REQUIRE(owners == last.ownersOf(shard(number), at(0)));
    REQUIRE(owners.size() == kOwnersPerShard);
    REQUIRE(first.isFirstOwner(shard(number)) == (owners[0] == group[0]));
    ++shards[owners[0]];
  }
  for (const Endpoint& daemon : group) {
    REQUIRE(shards[daemon] > 10);
  }
}

TEST_CASE("daemons own shards in proportion to their capacity", "[serving]") {
  std::vector<ServingDaemon> zone;
  for (std::uint32_t number = 1; number <= 18; ++number) {
    zone.emplace_back(Endpoint(number, 9), number <= 2 ? 50 : 12);
  }
  constexpr int kShards = 40'000;
  std::map<Endpoint, int> owned;
  ShardOwners owners(zone.front().address);
  owners.setDaemons(zone);
  for (int number = 0; number < kShards; ++number) {
    ++owned[owners.ownersOf(shard(number), at(0)).front()];
  }
  REQUIRE(totalPlacementWeight(zone) == 292);
  for (const ServingDaemon& daemon : zone) {
    const double expected = kShards * daemon.capacity / 292.0;
    REQUIRE(std::abs(owned[daemon.address] - expected) < 0.1 * expected);
  }
}

TEST_CASE("a daemon's capacity change moves shards only to or from that daemon", "[serving]") {
  std::vector<ServingDaemon> zone;
  for (std::uint32_t number = 1; number <= 7; ++number) {
    zone.emplace_back(Endpoint(number, 9), 29);
  }
  ShardOwners owners(zone.front().address);
  std::map<int, Endpoint> before;
  owners.setDaemons(zone);
  for (int number = 0; number < 1000; ++number) {
    before[number] = owners.ownersOf(shard(number), at(0)).front();
  }
  zone[3].capacity = 50;
  owners.setDaemons(zone);
  int moved = 0;
  for (int number = 0; number < 1000; ++number) {
    const Endpoint now = owners.ownersOf(shard(number), at(0)).front();
    moved += now == before[number] ? 0 : 1;
    REQUIRE((now == before[number] || now == zone[3].address));
  }
  REQUIRE(moved > 0);
}

TEST_CASE("the removal of a daemon moves only its shards, to their second owners", "[serving]") {
  OAKPIER_PROPERTY("moves", [] {
    auto group = daemons(*rc::gen::inRange<std::uint32_t>(2, 40));
    auto before = ownersSeenBy(group[0], group);
    const auto removedIndex = static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, group.size()));
    const Endpoint removed = group[static_cast<std::size_t>(removedIndex)];
    group.erase(group.begin() + removedIndex);
    auto after = ownersSeenBy(group[0], group);
    for (int number = 0; number < 50; ++number) {
      const auto was = before.ownersOf(shard(number), at(0));
      const auto is = after.ownersOf(shard(number), at(0));
      RC_ASSERT(is[0] == (was[0] == removed ? was[1] : was[0]));
    }
  });
}

TEST_CASE("an unresponsive owner is not used until a frame is received from it", "[serving]") {
  const auto group = daemons(5);
  auto owners = ownersSeenBy(group[0], group);
  const auto initial = owners.ownersOf("s", at(0));
  owners.onSent(initial[0], at(0));
  owners.onSent(initial[0], at(100));
  REQUIRE(owners.ownersOf("s", at(100)) == initial);
  REQUIRE(owners.takeDueProbes(at(100)).empty());
  const auto reordered = owners.ownersOf("s", at(300));
  REQUIRE(reordered.size() == kOwnersPerShard);
  REQUIRE(reordered[0] == initial[1]);
  REQUIRE(reordered[1] != initial[0]);
  // It is probed periodically but gets no work.
  REQUIRE(owners.takeDueProbes(at(300)) == std::vector<Endpoint>{initial[0]});
  REQUIRE(owners.takeDueProbes(at(310)).empty());
  REQUIRE(owners.takeDueProbes(at(600)).size() == 1);
  owners.onReceived(initial[0], at(600));
  REQUIRE(owners.ownersOf("s", at(601)) == initial);
}

TEST_CASE("of two daemons the unresponsive one is the second owner", "[serving]") {
  const auto group = daemons(2);
  auto owners = ownersSeenBy(group[0], group);
  const auto initial = owners.ownersOf("s", at(0));
  owners.onSent(initial[0], at(0));
  const std::vector<Endpoint> reordered{initial[1], initial[0]};
  REQUIRE(owners.ownersOf("s", at(300)) == reordered);
}

TEST_CASE("while both owners are unresponsive all daemons choose the same successors", "[serving]") {
  const auto group = daemons(19);
  auto owners = ownersSeenBy(group[0], group);
  auto others = ownersSeenBy(group[7], group);
  const auto initial = owners.ownersOf("s", at(0));
  for (const Endpoint& owner : initial) {
    owners.onSent(owner, at(0));
    others.onSent(owner, at(20));
  }
  const auto successors = owners.ownersOf("s", at(300));
  REQUIRE(successors == others.ownersOf("s", at(300)));
  REQUIRE(std::find_first_of(successors.begin(), successors.end(), initial.begin(), initial.end()) ==
          successors.end());
}

TEST_CASE("an unresponsive daemon is reported once, and reports about a responsive one are ignored",
          "[serving]") {
  const auto group = daemons(5);
  auto reporter = ownersSeenBy(group[0], group);
  auto receiver = ownersSeenBy(group[1], group);
  const auto initial = reporter.ownersOf("s", at(0));
  reporter.onSent(initial[0], at(0));
  REQUIRE(reporter.takeNewlyUnresponsive(at(100)).empty());
  REQUIRE(reporter.takeNewlyUnresponsive(at(150)) == std::vector<Endpoint>{initial[0]});
  REQUIRE(reporter.takeNewlyUnresponsive(at(200)).empty());
  SECTION("the report is accepted and not propagated") {
    receiver.onReportedUnresponsive(initial[0], at(150));
    REQUIRE(receiver.ownersOf("s", at(151)).front() == initial[1]);
    REQUIRE(receiver.takeNewlyUnresponsive(at(151)).empty());
    // It is probed like a daemon that was found unresponsive locally.
    REQUIRE(receiver.takeDueProbes(at(150)).empty());
    REQUIRE(receiver.takeDueProbes(at(450)) == std::vector<Endpoint>{initial[0]});
    receiver.onReceived(initial[0], at(460));
    REQUIRE(receiver.ownersOf("s", at(461)) == initial);
  }
  SECTION("a frame was received from the daemon within the timeout") {
    receiver.onReceived(initial[0], at(100));
    receiver.onReportedUnresponsive(initial[0], at(150));
    REQUIRE(receiver.ownersOf("s", at(151)) == initial);
  }
}

TEST_CASE("with all owners unresponsive the order of the owners stays", "[serving]") {
  const auto group = daemons(2);
  auto owners = ownersSeenBy(group[0], group);
  const auto initial = owners.ownersOf("s", at(0));
  owners.onSent(initial[0], at(0));
  owners.onSent(initial[1], at(0));
  REQUIRE(owners.ownersOf("s", at(500)) == initial);
}

TEST_CASE("services that no route references are accessed through owners too", "[serving]") {
  ServingConfiguration configuration;
  configuration.routes = {gatherRoute({"now"}, 0.5), singleRoute("whole", true, 2)};
  configuration.services = {{"now", 26}, {"next", 26}, {"whole", 26}, {"wide", 500}};
  REQUIRE(ownedServices(configuration, 100) == std::unordered_set<std::string>{"now", "next"});
  REQUIRE(ownedServices(configuration, 12).empty());
}

TEST_CASE("the owners of all zones together stay within a leaf's maximum of connections", "[serving]") {
  OAKPIER_PROPERTY("connections", [] {
    const auto zones = *rc::gen::inRange<std::size_t>(1, 8);
    const auto maximum = *rc::gen::inRange<std::size_t>(2 * zones, 200);
    const std::size_t each = connectionsPerOwner(maximum, zones);
    RC_ASSERT(each >= 1U);
    RC_ASSERT(each * zones * kOwnersPerShard <= maximum);
  });
  REQUIRE(needsOwners(54, 64));
  REQUIRE_FALSE(needsOwners(26, 12));
}

}  // namespace oakpier::serving
