#include "coordination/serving/quota_server_selector.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "serving/support/serving_fixtures.h"
#include "state/random.h"

namespace oakpier::serving {

TEST_CASE("cached rankings agree with newly computed ones", "[serving]") {
  RandomEngine random(3);
  constexpr std::size_t kAddresses = 30;
  const Endpoint self(1, 9);
  QuotaServerSelector selector(self);
  std::map<Endpoint, unsigned> members{{self, 25}};
  std::size_t compared = 0;
  for (int change = 0; change < 500; ++change) {
    // One to four daemons join, leave or change their capacity.
    for (std::size_t number = drawBelow(4, random) + 1; number > 0; --number) {
      const Endpoint other(static_cast<std::uint32_t>(2 + drawBelow(kAddresses, random)), 9);
      if (members.erase(other) == 0 || drawBelow(3, random) == 0) {
        members[other] = static_cast<unsigned>(12 + drawBelow(40, random));
      }
    }
    std::vector<ServingDaemon> daemons;
    daemons.reserve(members.size());
    for (const auto& [address, capacity] : members) {
      daemons.emplace_back(address, capacity);
    }
    selector.setDaemons(daemons);
    for (int tenant = 0; tenant < 20; ++tenant) {
      const std::string name = "tenant" + std::to_string(tenant);
      const std::vector<Endpoint> fresh = rankQuotaServers(name, daemons);
      const std::vector<Endpoint> cached = selector.candidates(name, at(0));
      // A cached ranking may be a prefix.
      REQUIRE(cached.size() >= std::min<std::size_t>(3, daemons.size()));
      REQUIRE(cached.size() <= fresh.size());
      REQUIRE(std::equal(cached.begin(), cached.end(), fresh.begin()));
      ++compared;
    }
  }
  REQUIRE(compared == 10'000);
}

TEST_CASE("suspected daemons are tried last, until a frame of them is received", "[serving]") {
  QuotaServerSelector selector(Endpoint(1, 9));
  std::vector<ServingDaemon> daemons;
  for (std::uint32_t number = 1; number <= 30; ++number) {
    daemons.emplace_back(Endpoint(number, 9));
  }
  selector.setDaemons(daemons);
  const std::vector<Endpoint> ranking = selector.candidates("t", at(0));
  selector.onReceived(ranking[1], at(500));
  selector.setSuspected({ranking[0], ranking[1]}, at(1000));
  const std::vector<Endpoint> suspected = selector.candidates("t", at(1000));
  REQUIRE(suspected.front() == ranking[2]);
  REQUIRE(suspected[suspected.size() - 2] == ranking[0]);
  REQUIRE(suspected.back() == ranking[1]);
  // A received frame overrides an earlier suspicion, also when others become suspected.
  selector.onReceived(ranking[0], at(1100));
  selector.setSuspected({ranking[0], ranking[1], ranking[3]}, at(1200));
  REQUIRE(selector.candidates("t", at(1200)).front() == ranking[0]);
  REQUIRE(selector.candidates("t", at(1200)).back() == ranking[3]);
  selector.setSuspected({}, at(1300));
  REQUIRE(selector.candidates("t", at(1300)) == ranking);
}

TEST_CASE("the rank of a daemon includes since when all its predecessors are suspected", "[serving]") {
  std::vector<ServingDaemon> daemons;
  for (std::uint32_t number = 1; number <= 8; ++number) {
    daemons.emplace_back(Endpoint(number, 9));
  }
  const std::vector<Endpoint> order = rankQuotaServers("t", daemons);
  QuotaServerSelector selector(order[2]);
  selector.setDaemons(daemons);
  REQUIRE(selector.rankOfSelf("t").rank == 2);
  selector.setSuspected({order[0]}, at(1000));
  REQUIRE(selector.rankOfSelf("t").predecessorsSuspectedSince == kNever);
  selector.setSuspected({order[0], order[1]}, at(1500));
  REQUIRE(selector.rankOfSelf("t").predecessorsSuspectedSince == at(1500));
}

// Guards against requests on a small side of a network partition that use up their attempts on unreachable
// candidates, one after the other.
TEST_CASE("after a server gave no answer, the candidates that answer a probe are tried first", "[serving]") {
  QuotaServerSelector selector(Endpoint(1, 9));
  std::vector<ServingDaemon> daemons;
  for (std::uint32_t number = 1; number <= 12; ++number) {
    daemons.emplace_back(Endpoint(number, 9));
  }
  selector.setDaemons(daemons);
  const std::vector<Endpoint> ranking = selector.candidates("t", at(0));
  selector.scheduleCandidateProbes("t", at(0));
  REQUIRE(selector.takeDueProbes(at(0)).size() == 10);
  // Not again at once, for any tenant: one of the eleven was not probed.
  selector.scheduleCandidateProbes("other", at(10));
  REQUIRE(selector.takeDueProbes(at(10)).size() <= 1);
  std::vector<Endpoint> answering;
  for (const std::size_t rank : {4, 7}) {
    if (ranking[rank] != Endpoint(1, 9)) {
      selector.onReceived(ranking[rank], at(5));
    }
    answering.push_back(ranking[rank]);
  }
  // Until the others can have answered, the order is that of the ranking.
  REQUIRE(selector.candidates("t", at(20)) == ranking);
  std::vector<Endpoint> expected = answering;
  if (std::find(answering.begin(), answering.end(), Endpoint(1, 9)) == answering.end()) {
    const auto before = [&](const Endpoint& daemon) {
      return std::find(ranking.begin(), ranking.end(), daemon);
    };
    expected.emplace_back(1, 9);
    std::sort(expected.begin(), expected.end(),
              [&](const Endpoint& left, const Endpoint& right) { return before(left) < before(right); });
  }
  const std::vector<Endpoint> informed = selector.candidates("t", at(30));
  REQUIRE(std::vector<Endpoint>(informed.begin(),
                                informed.begin() + static_cast<std::ptrdiff_t>(expected.size())) == expected);
}

TEST_CASE("a server samples the fleet only while a network partition may be undetected", "[serving]") {
  std::vector<ServingDaemon> daemons;
  for (std::uint32_t number = 1; number <= 12; ++number) {
    daemons.emplace_back(Endpoint(number, 9));
  }
  const std::vector<Endpoint> order = rankQuotaServers("t", daemons);
  QuotaServerSelector primary(order[0]);
  primary.setDaemons(daemons);
  REQUIRE(primary.takeServerProbes("t", at(0)).empty());
  QuotaServerSelector successor(order[1]);
  successor.setDaemons(daemons);
  successor.onReceived(order[0], at(0));
  // The predecessor responds: only this one is probed.
  REQUIRE(successor.takeServerProbes("t", at(100)) == std::vector<Endpoint>{order[0]});
  REQUIRE(successor.takeServerProbes("t", at(300)).size() == 12);
  REQUIRE(successor.reachability(at(330))->daemons == 1);
  // Suspected for so long that the membership has detected a partition.
  successor.setSuspected({order[0]}, at(400));
  REQUIRE(successor.takeServerProbes("t", at(2500)).size() == 1);
  // A suspected daemon is heard: the partition may have healed.
  successor.onReceived(order[0], at(3000));
  REQUIRE(successor.takeServerProbes("t", at(3100)).size() == 12);
}

TEST_CASE("daemons of greater capacity are the primary of more tenants", "[serving]") {
  std::vector<ServingDaemon> daemons;
  for (std::uint32_t number = 1; number <= 20; ++number) {
    daemons.emplace_back(Endpoint(number, 9), number == 1 ? 120 : 12);
  }
  std::size_t strongest = 0;
  constexpr std::size_t kTenants = 3000;
  for (std::size_t tenant = 0; tenant < kTenants; ++tenant) {
    strongest +=
        rankQuotaServers("tenant" + std::to_string(tenant), daemons).front() == daemons[0].address ? 1 : 0;
  }
  // Its capacity is 10 of 29 parts of the fleet's.
  REQUIRE(strongest > kTenants * 30 / 100);
  REQUIRE(strongest < kTenants * 39 / 100);
}

}  // namespace oakpier::serving
