#include "coordination/serving/token_homes.h"

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
  TokenHomes homes(self);
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
    homes.setDaemons(daemons);
    for (int tenant = 0; tenant < 20; ++tenant) {
      const std::string name = "tenant" + std::to_string(tenant);
      const std::vector<Endpoint> fresh = rankHomes(name, daemons);
      const std::vector<Endpoint> carried = homes.candidates(name, at(0));
      // A cached ranking may be a prefix.
      REQUIRE(carried.size() >= std::min<std::size_t>(3, daemons.size()));
      REQUIRE(carried.size() <= fresh.size());
      REQUIRE(std::equal(carried.begin(), carried.end(), fresh.begin()));
      ++compared;
    }
  }
  REQUIRE(compared == 10'000);
}

TEST_CASE("suspected daemons are tried last, until a frame of them is received", "[serving]") {
  TokenHomes homes(Endpoint(1, 9));
  std::vector<ServingDaemon> daemons;
  for (std::uint32_t number = 1; number <= 30; ++number) {
    daemons.emplace_back(Endpoint(number, 9));
  }
  homes.setDaemons(daemons);
  const std::vector<Endpoint> usual = homes.candidates("t", at(0));
  homes.onHeard(usual[1], at(500));
  homes.setSuspected({usual[0], usual[1]}, at(1000));
  const std::vector<Endpoint> suspected = homes.candidates("t", at(1000));
  REQUIRE(suspected.front() == usual[2]);
  REQUIRE(suspected[suspected.size() - 2] == usual[0]);
  REQUIRE(suspected.back() == usual[1]);
  // A received frame overrides an earlier suspicion, also when others become suspected.
  homes.onHeard(usual[0], at(1100));
  homes.setSuspected({usual[0], usual[1], usual[3]}, at(1200));
  REQUIRE(homes.candidates("t", at(1200)).front() == usual[0]);
  REQUIRE(homes.candidates("t", at(1200)).back() == usual[3]);
  homes.setSuspected({}, at(1300));
  REQUIRE(homes.candidates("t", at(1300)) == usual);
}

TEST_CASE("the rank of a daemon includes since when all its predecessors are suspected", "[serving]") {
  std::vector<ServingDaemon> daemons;
  for (std::uint32_t number = 1; number <= 8; ++number) {
    daemons.emplace_back(Endpoint(number, 9));
  }
  const std::vector<Endpoint> order = rankHomes("t", daemons);
  TokenHomes homes(order[2]);
  homes.setDaemons(daemons);
  REQUIRE(homes.placeOfSelf("t").rank == 2);
  homes.setSuspected({order[0]}, at(1000));
  REQUIRE(homes.placeOfSelf("t").aheadSuspectedAt == kNever);
  homes.setSuspected({order[0], order[1]}, at(1500));
  REQUIRE(homes.placeOfSelf("t").aheadSuspectedAt == at(1500));
}

TEST_CASE("daemons of greater capacity are the primary of more tenants", "[serving]") {
  std::vector<ServingDaemon> daemons;
  for (std::uint32_t number = 1; number <= 20; ++number) {
    daemons.emplace_back(Endpoint(number, 9), number == 1 ? 120 : 12);
  }
  std::size_t strongest = 0;
  constexpr std::size_t kTenants = 3000;
  for (std::size_t tenant = 0; tenant < kTenants; ++tenant) {
    strongest += rankHomes("tenant" + std::to_string(tenant), daemons).front() == daemons[0].address ? 1 : 0;
  }
  // Its capacity is 10 of 29 parts of the fleet's.
  REQUIRE(strongest > kTenants * 30 / 100);
  REQUIRE(strongest < kTenants * 39 / 100);
}

}  // namespace oakpier::serving
