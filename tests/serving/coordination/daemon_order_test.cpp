#include "coordination/serving/daemon_order.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "coordination/serving/forwarding_tree.h"
#include "coordination/serving/reader_election.h"
#include "serving/support/serving_fixtures.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

/// 66 daemons of low capacity, which have the lower addresses, and eight of high capacity.
std::vector<ServingDaemon> mixedFleet() {
  std::vector<ServingDaemon> fleet;
  for (std::uint32_t number = 1; number <= 74; ++number) {
    fleet.emplace_back(Endpoint(number, 9), number <= 66 ? 12 : 50);
  }
  return fleet;
}

std::vector<ServingDaemon> randomFleet() {
  std::vector<ServingDaemon> fleet;
  const auto count = *rc::gen::inRange<std::uint32_t>(1, 200);
  for (std::uint32_t number = 1; number <= count; ++number) {
    fleet.emplace_back(Endpoint(number * 7, 9), *rc::gen::element(0U, 12U, 25U, 50U));
  }
  return fleet;
}

}  // namespace

TEST_CASE("daemons are ordered by descending capacity, then by address", "[serving]") {
  const DaemonOrder order(std::vector<ServingDaemon>{
      {Endpoint(1, 9), 12}, {Endpoint(4, 9), 50}, {Endpoint(2, 9), 0}, {Endpoint(3, 9), 50}});
  const std::vector<Endpoint> expected{Endpoint(3, 9), Endpoint(4, 9), Endpoint(2, 9), Endpoint(1, 9)};
  REQUIRE(addressesOf(order.daemons()) == expected);
  REQUIRE(order.rankOf(Endpoint(4, 9)) == 1);
  REQUIRE(order.before(Endpoint(4, 9), Endpoint(1, 9)));
  REQUIRE_FALSE(order.before(Endpoint(1, 9), Endpoint(4, 9)));
  REQUIRE_FALSE(order.before(Endpoint(1, 9), Endpoint(1, 9)));
  // An unknown daemon is ordered as one of unknown capacity.
  REQUIRE(order.before(Endpoint(9, 9), Endpoint(1, 9)));
  REQUIRE(order.before(Endpoint(4, 9), Endpoint(9, 9)));
  REQUIRE(order.rankOf(Endpoint(9, 9)) == 3);
}

TEST_CASE("equal member tables give the same total order", "[serving][property]") {
  OAKPIER_PROPERTY("order", [] {
    const auto fleet = randomFleet();
    auto shuffled = fleet;
    std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
    const DaemonOrder order(fleet);
    RC_ASSERT(order.daemons() == DaemonOrder(shuffled).daemons());
    for (std::size_t rank = 0; rank < fleet.size(); ++rank) {
      const Endpoint address = order.daemons()[rank].address;
      RC_ASSERT(order.rankOf(address) == rank);
      if (rank > 0) {
        const Endpoint previous = order.daemons()[rank - 1].address;
        RC_ASSERT(order.before(previous, address));
        RC_ASSERT(!order.before(address, previous));
      }
    }
  });
}

TEST_CASE("without capacities the order is by address, whichever daemons are known", "[serving][property]") {
  OAKPIER_PROPERTY("addresses", [] {
    const auto known = *rc::gen::inRange<std::uint32_t>(0, 20);
    std::vector<Endpoint> addresses;
    for (std::uint32_t number = 0; number < known; ++number) {
      addresses.emplace_back(number * 2, 9);
    }
    const DaemonOrder order(addresses);
    const Endpoint left(*rc::gen::inRange<std::uint32_t>(0, 50), 9);
    const Endpoint right(*rc::gen::inRange<std::uint32_t>(0, 50), 9);
    RC_ASSERT(order.before(left, right) == (left < right));
  });
}

TEST_CASE("updates from a reader of high capacity are forwarded by daemons of high capacity", "[serving]") {
  const DaemonOrder order(mixedFleet());
  const Endpoint root = order.daemons().front().address;
  std::size_t lowCapacityForwarders = 0;
  for (const ServingDaemon& daemon : order.daemons()) {
    const bool forwards = !forwardingChildren(order, root, daemon.address).empty();
    lowCapacityForwarders += forwards && daemon.capacity < 50 ? 1 : 0;
  }
  // A forwarding tree of 74 has ten inner nodes, and there are eight daemons of high capacity.
  REQUIRE(lowCapacityForwarders == 2);
}

TEST_CASE("the forwarding tree reaches every daemon once, whatever the capacities", "[serving][property]") {
  OAKPIER_PROPERTY("tree", [] {
    const auto fleet = randomFleet();
    const DaemonOrder order(fleet);
    const Endpoint root = fleet[*rc::gen::inRange<std::size_t>(0, fleet.size())].address;
    std::map<Endpoint, int> received;
    for (const ServingDaemon& daemon : fleet) {
      for (const Endpoint& child : forwardingChildren(order, root, daemon.address)) {
        ++received[child];
      }
    }
    RC_ASSERT(received.size() == fleet.size() - 1);
    for (const auto& [address, times] : received) {
      RC_ASSERT(times == 1);
      RC_ASSERT(address != root);
    }
  });
}

TEST_CASE("the highest-ranked daemon reads, and a reader that took over yields to one of higher rank",
          "[serving]") {
  const auto fleet = mixedFleet();
  const auto electionOf = [&](std::size_t number) {
    ReaderElection election(fleet[number].address, ReaderElectionSettings{});
    election.start(true, at(0));
    election.setMembers(fleet);
    return election;
  };
  REQUIRE(electionOf(66).isReader(at(1)));
  REQUIRE_FALSE(electionOf(0).isReader(at(1)));
  ReaderElection reader = electionOf(70);
  reader.becomeReader(at(0));
  reader.onUpdate(fleet[0].address, at(1));
  REQUIRE(reader.isReader(at(1)));
  reader.onUpdate(fleet[66].address, at(1));
  REQUIRE_FALSE(reader.isReader(at(1)));
  // A call that was in progress then does not make it the reader again, a later one does.
  reader.becomeReader(at(0));
  REQUIRE_FALSE(reader.isReader(at(2)));
  reader.becomeReader(at(2));
  REQUIRE(reader.isReader(at(2)));
}

}  // namespace oakpier::serving
