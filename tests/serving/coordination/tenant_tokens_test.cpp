/// Rate limits over simulated fleets: requests admitted in any window, and requests refused below the limit.

#include <algorithm>
#include <catch2/catch.hpp>

#include "serving/support/serving_fixtures.h"
#include "serving/support/token_fleet.h"

namespace oakpier::serving {

namespace {

const TenantLimit kSmall{1, 1};
const TenantLimit kLarge{8, 8};
/// Tenants usually send 1/1.6 of their limit.
constexpr double kUsualShare = 1 / 1.6;

Moment second(double seconds) { return Moment(Duration(static_cast<std::int64_t>((100 + seconds) * 1e6))); }

void requireWindowHolds(TokenFleet& fleet, const std::string& tenant, const TenantLimit& limit,
                        const QuotaTolerance& tolerance) {
  CAPTURE(tenant, limit.perSecond, fleet.size());
  REQUIRE(static_cast<double>(fleet.mostInWindow(tenant)) <= allowedInWindow(limit, tolerance));
}

}  // namespace

TEST_CASE("a tenant below its limit is never refused in a fleet without faults", "[serving]") {
  for (const std::size_t daemons : {3, 12, 74, 100}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      TokenFleetSettings settings;
      settings.daemons = daemons;
      settings.seed = seed;
      TokenFleet fleet(settings);
      fleet.setLimit("small", kSmall);
      fleet.setLimit("large", kLarge);
      fleet.load("small", kSmall.perSecond * kUsualShare, second(0), second(60));
      fleet.load("large", kLarge.perSecond * kUsualShare, second(0), second(60));
      fleet.run(second(61));
      CAPTURE(daemons, seed);
      REQUIRE(fleet.refusedInError("small", kSmall) == 0);
      REQUIRE(fleet.refusedInError("large", kLarge) == 0);
    }
  }
}

TEST_CASE("a tenant below its limit is rarely refused when its primary quota server crashes", "[serving]") {
  // The successor begins with less than a full bucket, and grants three quarters of the rate until a network
  // partition is ruled out. Only bursts of large tenants exceed that.
  constexpr std::size_t kOneIn = 1000;
  for (const std::size_t daemons : {12, 74, 100}) {
    for (const TenantLimit& limit : {kSmall, kLarge}) {
      std::size_t errors = 0;
      std::size_t requests = 0;
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TokenFleetSettings settings;
        settings.daemons = daemons;
        settings.seed = seed;
        TokenFleet fleet(settings);
        fleet.setLimit("tenant", limit);
        fleet.load("tenant", limit.perSecond * kUsualShare, second(0), second(40));
        fleet.at(second(10), [&fleet] { fleet.kill(fleet.homeOf("tenant")); });
        fleet.run(second(41));
        errors += fleet.refusedInError("tenant", limit);
        requests += fleet.requestsOf("tenant").size();
      }
      CAPTURE(daemons, limit.perSecond, requests);
      REQUIRE(errors <= (limit.perSecond > 1 ? requests / kOneIn : 0));
    }
  }
}

TEST_CASE("a tenant beyond its limit is held to it and does not affect other tenants", "[serving]") {
  for (const double factor : {3.0, 9.0}) {
    for (const std::size_t daemons : {3, 74}) {
      TokenFleetSettings settings;
      settings.daemons = daemons;
      TokenFleet fleet(settings);
      fleet.setLimit("hot", kLarge);
      fleet.setLimit("other", kSmall);
      fleet.load("hot", kLarge.perSecond * kUsualShare * factor, second(5), second(30));
      fleet.load("other", kSmall.perSecond * kUsualShare, second(0), second(40));
      fleet.run(second(41));
      requireWindowHolds(fleet, "hot", kLarge, settings.tolerance);
      REQUIRE(fleet.refusedInError("other", kSmall) == 0);
      // It still gets its full rate.
      const auto& requests = fleet.requestsOf("hot");
      const auto granted = std::count_if(requests.begin(), requests.end(),
                                         [](const TokenFleet::Request& request) { return request.granted; });
      REQUIRE(static_cast<double>(granted) >= kLarge.perSecond * 25 * 0.95);
    }
  }
}

TEST_CASE("cached refusals limit the token requests for a tenant beyond its limit", "[serving]") {
  TokenFleetSettings settings;
  settings.daemons = 20;
  TokenFleet fleet(settings);
  fleet.setLimit("hot", kSmall);
  constexpr double kSeconds = 10;
  const std::size_t client = fleet.homeOf("hot") == 4 ? 5 : 4;
  fleet.load("hot", 500, second(0), second(kSeconds), {client});
  fleet.run(second(11));
  const TokenHolderCounters counters = fleet.holderCounters();
  REQUIRE(counters.refused > 4500);
  // 20 a second, plus those that were granted.
  REQUIRE(counters.asks <= 20 * kSeconds + 40);
  REQUIRE(counters.refusedAtOnce > counters.refused * 9 / 10);
  // Retry times are spread according to the number of refused requests.
  const auto& requests = fleet.requestsOf("hot");
  const auto longest =
      std::max_element(requests.begin(), requests.end(),
                       [](const TokenFleet::Request& left, const TokenFleet::Request& right) {
                         return left.retryAfter < right.retryAfter;
                       });
  REQUIRE(longest->retryAfter > std::chrono::seconds(2));
}

TEST_CASE("the window limit holds while quota servers restart and frames are lost, delayed or duplicated",
          "[serving]") {
  for (const std::size_t daemons : {3, 7, 20, 74, 100}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      TokenFleetSettings settings;
      settings.daemons = daemons;
      settings.seed = seed;
      settings.lost = 0.02;
      settings.twice = 0.02;
      settings.late = 0.05;
      settings.ranNowhere = 0.1;
      TokenFleet fleet(settings);
      for (const auto& [tenant, limit] :
           std::vector<std::pair<std::string, TenantLimit>>{{"small", kSmall}, {"large", kLarge}}) {
        fleet.setLimit(tenant, limit);
        fleet.load(tenant, limit.perSecond * kUsualShare * 9, second(0), second(30));
        const std::size_t home = fleet.homeOf(tenant);
        fleet.at(second(10), [&fleet, home] { fleet.kill(home); });
        fleet.at(second(13), [&fleet, home] { fleet.start(home); });
      }
      fleet.run(second(31));
      CAPTURE(seed);
      requireWindowHolds(fleet, "small", kSmall, settings.tolerance);
      requireWindowHolds(fleet, "large", kLarge, settings.tolerance);
    }
  }
}

TEST_CASE("the window limit holds while three in ten frames are delayed", "[serving]") {
  const TenantLimit busy{30, 30};
  for (std::uint64_t seed = 11; seed <= 20; ++seed) {
    TokenFleetSettings settings;
    settings.daemons = 7;
    settings.seed = seed;
    settings.lost = 0.02;
    settings.twice = 0.02;
    settings.late = 0.3;
    settings.ranNowhere = 0.1;
    TokenFleet fleet(settings);
    fleet.setLimit("busy", busy);
    fleet.load("busy", busy.perSecond * 0.2, second(0), second(10));
    fleet.load("busy", busy.perSecond * kUsualShare * 9, second(9.8), second(30));
    fleet.run(second(31));
    CAPTURE(seed);
    requireWindowHolds(fleet, "busy", busy, settings.tolerance);
  }
}

TEST_CASE("the window limit holds with clients on all sides of a network partition", "[serving]") {
  for (const std::size_t pieces : {2, 3, 4}) {
    for (const std::size_t daemons : {12, 40, 74}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        TokenFleetSettings settings;
        settings.daemons = daemons;
        settings.seed = seed;
        TokenFleet fleet(settings);
        for (const auto& [tenant, limit] :
             std::vector<std::pair<std::string, TenantLimit>>{{"small", kSmall}, {"large", kLarge}}) {
          fleet.setLimit(tenant, limit);
          // A low rate first, so that the bucket is full when the network is partitioned.
          fleet.load(tenant, limit.perSecond * 0.2, second(0), second(9.9));
          fleet.load(tenant, limit.perSecond * kUsualShare * 9, second(9.9), second(40));
        }
        std::vector<std::size_t> sides(daemons);
        for (std::size_t number = 0; number < daemons; ++number) {
          sides[number] = number % pieces;
        }
        fleet.at(second(10), [&fleet, sides] { fleet.cut(sides); });
        fleet.at(second(25), [&fleet] { fleet.heal(); });
        fleet.run(second(41));
        CAPTURE(pieces, seed);
        requireWindowHolds(fleet, "small", kSmall, settings.tolerance);
        requireWindowHolds(fleet, "large", kLarge, settings.tolerance);
      }
    }
  }
}

TEST_CASE("the window limit holds with twelve of 74 daemons isolated", "[serving]") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    TokenFleetSettings settings;
    settings.daemons = 74;
    settings.seed = seed;
    TokenFleet fleet(settings);
    fleet.setLimit("hot", kLarge);
    fleet.load("hot", kLarge.perSecond * 0.2, second(0), second(7.9));
    fleet.load("hot", kLarge.perSecond * kUsualShare * 9, second(7.9), second(30));
    std::vector<std::size_t> sides(settings.daemons, 0);
    for (std::size_t number = 0; number < 12; ++number) {
      sides[(fleet.homeOf("hot") + number) % settings.daemons] = number + 1;
    }
    fleet.at(second(8), [&fleet, sides] { fleet.cut(sides); });
    fleet.at(second(20), [&fleet] { fleet.heal(); });
    fleet.run(second(31));
    CAPTURE(seed);
    requireWindowHolds(fleet, "hot", kLarge, settings.tolerance);
  }
}

TEST_CASE("the window limit holds when all daemons restart without state", "[serving]") {
  const TenantLimit busy{30, 30};
  for (const std::size_t daemons : {3, 20, 74}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      TokenFleetSettings settings;
      settings.daemons = daemons;
      settings.seed = seed;
      TokenFleet fleet(settings);
      for (const auto& [tenant, limit] :
           std::vector<std::pair<std::string, TenantLimit>>{{"large", kLarge}, {"busy", busy}}) {
        fleet.setLimit(tenant, limit);
        fleet.load(tenant, 1, second(0), second(9));
        fleet.load(tenant, limit.perSecond * kUsualShare * 9, second(9), second(30));
      }
      fleet.at(second(10), [&fleet] {
        for (std::size_t number = 0; number < fleet.size(); ++number) {
          fleet.kill(number);
        }
      });
      fleet.at(second(11), [&fleet] {
        for (std::size_t number = 0; number < fleet.size(); ++number) {
          fleet.start(number);
        }
      });
      fleet.run(second(31));
      CAPTURE(seed);
      requireWindowHolds(fleet, "large", kLarge, settings.tolerance);
      requireWindowHolds(fleet, "busy", busy, settings.tolerance);
    }
  }
}

TEST_CASE("tenants below their limit are served after a restart of all daemons", "[serving]") {
  // Guards against buckets that begin empty until the membership is stable.
  constexpr std::size_t kTenants = 40;
  std::size_t errors = 0;
  std::size_t requests = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    TokenFleetSettings settings;
    settings.daemons = 74;
    settings.seed = seed;
    TokenFleet fleet(settings);
    for (std::size_t number = 0; number < kTenants; ++number) {
      const std::string tenant = "tenant-" + std::to_string(number);
      fleet.setLimit(tenant, kSmall);
      fleet.load(tenant, kSmall.perSecond * kUsualShare, second(11), second(21));
    }
    fleet.at(second(10), [&fleet] {
      for (std::size_t number = 0; number < fleet.size(); ++number) {
        fleet.kill(number);
        fleet.start(number);
      }
    });
    fleet.run(second(22));
    for (std::size_t number = 0; number < kTenants; ++number) {
      const std::string tenant = "tenant-" + std::to_string(number);
      errors += fleet.refusedInError(tenant, kSmall);
      requests += fleet.requestsOf(tenant).size();
    }
  }
  CAPTURE(errors, requests);
  REQUIRE(errors <= requests / 100);
}

// Guards against clients that spend their attempts on unreachable servers already suspected by the
// membership, and against later successors that begin with less than one token and grant a sixteenth of the
// rate although the partition of the network has been noticed.
TEST_CASE("a tenant below its limit is served on both sides of a network partition", "[serving]") {
  // 18 of 74 daemons are separated from the rest.
  constexpr std::size_t kTenants = 40;
  std::size_t errors = 0;
  std::size_t requests = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    TokenFleetSettings settings;
    settings.daemons = 74;
    settings.seed = seed;
    TokenFleet fleet(settings);
    for (std::size_t number = 0; number < kTenants; ++number) {
      const std::string tenant = "tenant-" + std::to_string(number);
      fleet.setLimit(tenant, kSmall);
      fleet.load(tenant, kSmall.perSecond * kUsualShare, second(0), second(15));
    }
    fleet.at(second(10), [&fleet] {
      std::vector<std::size_t> pieces(fleet.size(), 0);
      std::fill(pieces.begin(), pieces.begin() + 18, 1);
      fleet.cut(pieces);
    });
    fleet.run(second(16));
    for (std::size_t number = 0; number < kTenants; ++number) {
      const std::string tenant = "tenant-" + std::to_string(number);
      errors += fleet.refusedInError(tenant, kSmall);
      requests += fleet.requestsOf(tenant).size();
    }
  }
  CAPTURE(errors, requests);
  REQUIRE(errors <= requests / 100);
}

// Known to fail: where the primary and its first successor are both unreachable, later successors grant a
// sixteenth of the rate until the network partition is noticed, which refuses most requests of the tenants
// concerned.
TEST_CASE("tenants of any rate below their limit are served in single and repeated network partitions",
          "[open][limits]") {
  constexpr std::size_t kTenants = 10;
  for (const bool again : {false, true}) {
    for (const std::size_t daemons : {12, 74}) {
      for (const double share : {0.125, 0.25, 0.5}) {
        for (const double rate : {1.0, 8.0, 30.0}) {
          std::size_t errors = 0;
          std::size_t requests = 0;
          for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            TokenFleetSettings settings;
            settings.daemons = daemons;
            settings.seed = seed;
            TokenFleet fleet(settings);
            const TenantLimit limit{rate, rate};
            for (std::size_t number = 0; number < kTenants; ++number) {
              const std::string tenant = "tenant-" + std::to_string(number);
              fleet.setLimit(tenant, limit);
              fleet.load(tenant, rate * kUsualShare, second(0), second(again ? 30 : 15));
            }
            std::vector<std::size_t> pieces(daemons, 0);
            const auto small = static_cast<std::ptrdiff_t>(static_cast<double>(daemons) * share);
            std::fill(pieces.begin(), pieces.begin() + small, 1);
            fleet.at(second(10), [&fleet, pieces] { fleet.cut(pieces); });
            if (again) {
              fleet.at(second(13), [&fleet] { fleet.heal(); });
              fleet.at(second(20), [&fleet, pieces] { fleet.cut(pieces); });
              fleet.at(second(23), [&fleet] { fleet.heal(); });
            }
            fleet.run(second(again ? 31 : 16));
            for (std::size_t number = 0; number < kTenants; ++number) {
              const std::string tenant = "tenant-" + std::to_string(number);
              errors += fleet.refusedInError(tenant, limit);
              requests += fleet.requestsOf(tenant).size();
            }
          }
          CAPTURE(again, daemons, share, rate, errors, requests);
          CHECK(errors <= requests / 100);
        }
      }
    }
  }
}

TEST_CASE("the window limit holds for a busy tenant in network partitions with many sides", "[serving]") {
  // Guards against successors that grant the full rate of their side before every daemon has noticed.
  const TenantLimit busy{30, 30};
  for (const std::size_t pieces : {3, 6, 12}) {
    for (const std::size_t daemons : {12, 40}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        TokenFleetSettings settings;
        settings.daemons = daemons;
        settings.seed = seed;
        TokenFleet fleet(settings);
        fleet.setLimit("busy", busy);
        fleet.load("busy", busy.perSecond * 0.2, second(0), second(9.9));
        fleet.load("busy", busy.perSecond * kUsualShare * 30, second(9.9), second(30));
        std::vector<std::size_t> sides(daemons);
        for (std::size_t number = 0; number < daemons; ++number) {
          sides[number] = number * pieces / daemons;
        }
        fleet.at(second(10), [&fleet, sides] { fleet.cut(sides); });
        fleet.at(second(20), [&fleet] { fleet.heal(); });
        fleet.run(second(31));
        CAPTURE(pieces, daemons, seed);
        requireWindowHolds(fleet, "busy", busy, settings.tolerance);
      }
    }
  }
}

TEST_CASE("a lowered limit holds from the moment at which it is set", "[serving]") {
  TokenFleetSettings settings;
  settings.daemons = 20;
  TokenFleet fleet(settings);
  fleet.setLimit("hot", kLarge);
  fleet.load("hot", 40, second(0), second(10));
  fleet.load("hot", 40, second(10), second(30));
  fleet.run(second(10));
  fleet.setLimit("hot", kSmall);
  fleet.run(second(31));
  std::size_t after = 0;
  for (const TokenFleet::Request& request : fleet.requestsOf("hot")) {
    after += request.ran && request.at >= second(10) && request.at < second(15) ? 1 : 0;
  }
  REQUIRE(static_cast<double>(after) <= allowedInWindow(kSmall, settings.tolerance));
}

TEST_CASE("a request waits for one round trip, and with prefetched tokens mostly not at all", "[serving]") {
  for (const std::size_t advance : {std::size_t{0}, kAdvance}) {
    TokenFleetSettings settings;
    settings.daemons = 74;
    settings.advance = advance;
    TokenFleet fleet(settings);
    const TenantLimit limit{40, 40};
    fleet.setLimit("busy", limit);
    const std::size_t client = fleet.homeOf("busy") == 4 ? 5 : 4;
    fleet.load("busy", 20, second(0), second(60), {client});
    fleet.run(second(61));
    const TokenHolderCounters counters = fleet.holderCounters();
    REQUIRE(counters.refused == 0);
    for (const TokenFleet::Request& request : fleet.requestsOf("busy")) {
      REQUIRE(request.waited <= std::chrono::milliseconds(8));
    }
    if (advance == 0) {
      REQUIRE(counters.grantedAtOnce == 0);
    } else {
      REQUIRE(counters.grantedAtOnce > counters.granted * 8 / 10);
    }
  }
}

}  // namespace oakpier::serving
