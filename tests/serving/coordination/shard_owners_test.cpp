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
  std::string foreign;
  for (const std::string service : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    foreign = owners.isOwner(service) ? foreign : service;
  }
  REQUIRE_FALSE(foreign.empty());
  REQUIRE(owners.serveForOther(foreign, at(0)));
  REQUIRE_FALSE(owners.serveForOther(foreign, at(1)));
  REQUIRE(owners.isOwner(foreign));
  REQUIRE_FALSE(owners.isFirstOwner(foreign));
  owners.dropUnasked(at(5000));
  REQUIRE(owners.isOwner(foreign));
  owners.dropUnasked(at(20000));
  REQUIRE_FALSE(owners.isOwner(foreign));
  REQUIRE_FALSE(owners.serveForOther("not left to owners", at(0)));
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
  REQUIRE(capacityOf(zone) == 292);
  for (const ServingDaemon& daemon : zone) {
    const double due = kShards * daemon.capacity / 292.0;
    REQUIRE(std::abs(owned[daemon.address] - due) < 0.1 * due);
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
  int gained = 0;
  for (int number = 0; number < 1000; ++number) {
    const Endpoint now = owners.ownersOf(shard(number), at(0)).front();
    gained += now == before[number] ? 0 : 1;
    REQUIRE((now == before[number] || now == zone[3].address));
  }
  REQUIRE(gained > 0);
}

TEST_CASE("the removal of a daemon moves only its shards, to their second owners", "[serving]") {
  OAKPIER_PROPERTY("moves", [] {
    auto group = daemons(*rc::gen::inRange<std::uint32_t>(2, 40));
    auto before = ownersSeenBy(group[0], group);
    const auto gone = static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, group.size()));
    const Endpoint lost = group[static_cast<std::size_t>(gone)];
    group.erase(group.begin() + gone);
    auto after = ownersSeenBy(group[0], group);
    for (int number = 0; number < 50; ++number) {
      const auto was = before.ownersOf(shard(number), at(0));
      const auto is = after.ownersOf(shard(number), at(0));
      RC_ASSERT(is[0] == (was[0] == lost ? was[1] : was[0]));
    }
  });
}

TEST_CASE("an unresponsive owner is not used until a frame is received from it", "[serving]") {
  const auto group = daemons(5);
  auto owners = ownersSeenBy(group[0], group);
  const auto usual = owners.ownersOf("s", at(0));
  owners.onSent(usual[0], at(0));
  owners.onSent(usual[0], at(100));
  REQUIRE(owners.ownersOf("s", at(100)) == usual);
  REQUIRE(owners.takeProbes(at(100)).empty());
  const auto turned = owners.ownersOf("s", at(300));
  REQUIRE(turned.size() == kOwnersPerShard);
  REQUIRE(turned[0] == usual[1]);
  REQUIRE(turned[1] != usual[0]);
  // It is probed periodically but gets no work.
  REQUIRE(owners.takeProbes(at(300)) == std::vector<Endpoint>{usual[0]});
  REQUIRE(owners.takeProbes(at(310)).empty());
  REQUIRE(owners.takeProbes(at(600)).size() == 1);
  owners.onHeard(usual[0], at(600));
  REQUIRE(owners.ownersOf("s", at(601)) == usual);
}

TEST_CASE("of two daemons the unresponsive one is the second owner", "[serving]") {
  const auto group = daemons(2);
  auto owners = ownersSeenBy(group[0], group);
  const auto usual = owners.ownersOf("s", at(0));
  owners.onSent(usual[0], at(0));
  const std::vector<Endpoint> turned{usual[1], usual[0]};
  REQUIRE(owners.ownersOf("s", at(300)) == turned);
}

TEST_CASE("while both owners are unresponsive all daemons choose the same successors", "[serving]") {
  const auto group = daemons(19);
  auto owners = ownersSeenBy(group[0], group);
  auto others = ownersSeenBy(group[7], group);
  const auto usual = owners.ownersOf("s", at(0));
  for (const Endpoint& owner : usual) {
    owners.onSent(owner, at(0));
    others.onSent(owner, at(20));
  }
  const auto stepIn = owners.ownersOf("s", at(300));
  REQUIRE(stepIn == others.ownersOf("s", at(300)));
  REQUIRE(std::find_first_of(stepIn.begin(), stepIn.end(), usual.begin(), usual.end()) == stepIn.end());
}

TEST_CASE("an unresponsive daemon is reported once, and reports about a responsive one are ignored",
          "[serving]") {
  const auto group = daemons(5);
  auto teller = ownersSeenBy(group[0], group);
  auto told = ownersSeenBy(group[1], group);
  const auto usual = teller.ownersOf("s", at(0));
  teller.onSent(usual[0], at(0));
  REQUIRE(teller.takeNewlySilent(at(100)).empty());
  REQUIRE(teller.takeNewlySilent(at(150)) == std::vector<Endpoint>{usual[0]});
  REQUIRE(teller.takeNewlySilent(at(200)).empty());
  SECTION("the report is accepted and not propagated") {
    told.onToldSilent(usual[0], at(150));
    REQUIRE(told.ownersOf("s", at(151)).front() == usual[1]);
    REQUIRE(told.takeNewlySilent(at(151)).empty());
    // It is probed like a daemon that was found unresponsive locally.
    REQUIRE(told.takeProbes(at(150)).empty());
    REQUIRE(told.takeProbes(at(450)) == std::vector<Endpoint>{usual[0]});
    told.onHeard(usual[0], at(460));
    REQUIRE(told.ownersOf("s", at(461)) == usual);
  }
  SECTION("a frame was received from the daemon within the timeout") {
    told.onHeard(usual[0], at(100));
    told.onToldSilent(usual[0], at(150));
    REQUIRE(told.ownersOf("s", at(151)) == usual);
  }
}

TEST_CASE("with all owners unresponsive the order of the owners stays", "[serving]") {
  const auto group = daemons(2);
  auto owners = ownersSeenBy(group[0], group);
  const auto usual = owners.ownersOf("s", at(0));
  owners.onSent(usual[0], at(0));
  owners.onSent(usual[1], at(0));
  REQUIRE(owners.ownersOf("s", at(500)) == usual);
}

TEST_CASE("services that no route references are accessed through owners too", "[serving]") {
  ServingConfiguration configuration;
  configuration.routes = {gatherRoute({"now"}, 0.5), singleRoute("whole", true, 2)};
  configuration.services = {{"now", 26}, {"next", 26}, {"whole", 26}, {"wide", 500}};
  REQUIRE(servicesForOwners(configuration, 100) == std::unordered_set<std::string>{"now", "next"});
  REQUIRE(servicesForOwners(configuration, 12).empty());
}

TEST_CASE("the owners of all zones together stay within a leaf's maximum of connections", "[serving]") {
  OAKPIER_PROPERTY("connections", [] {
    const auto zones = *rc::gen::inRange<std::size_t>(1, 8);
    const auto maximum = *rc::gen::inRange<std::size_t>(2 * zones, 200);
    const std::size_t each = ownerConnections(maximum, zones);
    RC_ASSERT(each >= 1U);
    RC_ASSERT(each * zones * kOwnersPerShard <= maximum);
  });
  REQUIRE(needsOwners(54, 64));
  REQUIRE_FALSE(needsOwners(26, 12));
}

}  // namespace oakpier::serving
