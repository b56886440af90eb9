/// Rate limits over simulated fleets: requests admitted in any window, and requests refused below the limit.

#include "serving/support/quota_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

const TenantLimit kSmall{1, 1};
const TenantLimit kLarge{8, 8};
/// Tenants usually send 1/1.6 of their limit.
constexpr double kTypicalShare = 1 / 1.6;

Moment second(double seconds) { return Moment(Duration(static_cast<std::int64_t>((100 + seconds) * 1e6))); }

void requireWindowHolds(QuotaFleet& fleet, const std::string& tenant, const TenantLimit& limit,
                        const QuotaTolerance& tolerance) {
  CAPTURE(tenant, limit.perSecond, fleet.size());
  REQUIRE(static_cast<double>(fleet.maxInWindow(tenant)) <= allowedInWindow(limit, tolerance));
}

}  // namespace

TEST_CASE("a tenant below its limit is never refused in a fleet without faults", "[serving]") {
  for (const std::size_t daemons : {3, 12, 74, 100}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      QuotaFleetSettings settings;
      settings.daemons = daemons;
      settings.seed = seed;
      QuotaFleet fleet(settings);
      fleet.setLimit("small", kSmall);
      fleet.setLimit("large", kLarge);
      fleet.addLoad("small", kSmall.perSecond * kTypicalShare, second(0), second(60));
      fleet.addLoad("large", kLarge.perSecond * kTypicalShare, second(0), second(60));
      fleet.run(second(61));
      CAPTURE(daemons, seed);
      REQUIRE(fleet.wronglyRefused("small", kSmall) == 0);
      REQUIRE(fleet.wronglyRefused("large", kLarge) == 0);
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
        QuotaFleetSettings settings;
        settings.daemons = daemons;
        settings.seed = seed;
        QuotaFleet fleet(settings);
        fleet.setLimit("tenant", limit);
        fleet.addLoad("tenant", limit.perSecond * kTypicalShare, second(0), second(40));
        fleet.at(second(10), [&fleet] { fleet.kill(fleet.primaryOf("tenant")); });
        fleet.run(second(41));
        errors += fleet.wronglyRefused("tenant", limit);
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
      QuotaFleetSettings settings;
      settings.daemons = daemons;
      QuotaFleet fleet(settings);
      fleet.setLimit("hot", kLarge);
      fleet.setLimit("other", kSmall);
      fleet.addLoad("hot", kLarge.perSecond * kTypicalShare * factor, second(5), second(30));
      fleet.addLoad("other", kSmall.perSecond * kTypicalShare, second(0), second(40));
      fleet.run(second(41));
      requireWindowHolds(fleet, "hot", kLarge, settings.tolerance);
      REQUIRE(fleet.wronglyRefused("other", kSmall) == 0);
      // The tenant beyond its limit still gets its full rate.
      const auto& requests = fleet.requestsOf("hot");
      const auto granted = std::count_if(requests.begin(), requests.end(),
                                         [](const QuotaFleet::Request& request) { return request.granted; });
      REQUIRE(static_cast<double>(granted) >= kLarge.perSecond * 25 * 0.95);
    }
  }
}

TEST_CASE("cached refusals limit the token requests for a tenant beyond its limit", "[serving]") {
  QuotaFleetSettings settings;
  settings.daemons = 20;
  QuotaFleet fleet(settings);
  fleet.setLimit("hot", kSmall);
  constexpr double kSeconds = 10;
  const std::size_t client = fleet.primaryOf("hot") == 4 ? 5 : 4;
  fleet.addLoad("hot", 500, second(0), second(kSeconds), {client});
  fleet.run(second(11));
  const QuotaClientCounters counters = fleet.clientCounters();
  REQUIRE(counters.refused > 4500);
  // 20 refused ones per second, plus those that were granted.
  REQUIRE(counters.requests <= 20 * kSeconds + 40);
  REQUIRE(counters.refusedImmediately > counters.refused * 9 / 10);
  // Retry times are spread according to the number of refused requests.
  const auto& requests = fleet.requestsOf("hot");
  const auto longest =
      std::max_element(requests.begin(), requests.end(),
                       [](const QuotaFleet::Request& left, const QuotaFleet::Request& right) {
                         return left.retryAfter < right.retryAfter;
                       });
  REQUIRE(longest->retryAfter > std::chrono::seconds(2));
}

TEST_CASE("the window limit holds while quota servers restart and frames are lost, delayed or duplicated",
          "[serving]") {
  for (const std::size_t daemons : {3, 7, 20, 74, 100}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      QuotaFleetSettings settings;
      settings.daemons = daemons;
      settings.seed = seed;
      settings.lost = 0.02;
      settings.duplicated = 0.02;
      settings.delayed = 0.05;
      settings.ranOnNoLeaf = 0.1;
      QuotaFleet fleet(settings);
      for (const auto& [tenant, limit] :
           std::vector<std::pair<std::string, TenantLimit>>{{"small", kSmall}, {"large", kLarge}}) {
        fleet.setLimit(tenant, limit);
        fleet.addLoad(tenant, limit.perSecond * kTypicalShare * 9, second(0), second(30));
        const std::size_t primary = fleet.primaryOf(tenant);
        fleet.at(second(10), [&fleet, primary] { fleet.kill(primary); });
        fleet.at(second(13), [&fleet, primary] { fleet.start(primary); });
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
    QuotaFleetSettings settings;
    settings.daemons = 7;
    settings.seed = seed;
    settings.lost = 0.02;
    settings.duplicated = 0.02;
    settings.delayed = 0.3;
    settings.ranOnNoLeaf = 0.1;
    QuotaFleet fleet(settings);
    fleet.setLimit("busy", busy);
    fleet.addLoad("busy", busy.perSecond * 0.2, second(0), second(10));
    fleet.addLoad("busy", busy.perSecond * kTypicalShare * 9, second(9.8), second(30));
    fleet.run(second(31));
    CAPTURE(seed);
    requireWindowHolds(fleet, "busy", busy, settings.tolerance);
  }
}

TEST_CASE("the window limit holds with clients on all sides of a network partition", "[serving]") {
  for (const std::size_t sideCount : {2, 3, 4}) {
    for (const std::size_t daemons : {12, 40, 74}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        QuotaFleetSettings settings;
        settings.daemons = daemons;
        settings.seed = seed;
        QuotaFleet fleet(settings);
        for (const auto& [tenant, limit] :
             std::vector<std::pair<std::string, TenantLimit>>{{"small", kSmall}, {"large", kLarge}}) {
          fleet.setLimit(tenant, limit);
          // A low rate first, so that the bucket is full when the network is partitioned.
          fleet.addLoad(tenant, limit.perSecond * 0.2, second(0), second(9.9));
          fleet.addLoad(tenant, limit.perSecond * kTypicalShare * 9, second(9.9), second(40));
        }
        std::vector<std::size_t> sides(daemons);
        for (std::size_t number = 0; number < daemons; ++number) {
          sides[number] = number % sideCount;
        }
        fleet.at(second(10), [&fleet, sides] { fleet.partitionNetwork(sides); });
        fleet.at(second(25), [&fleet] { fleet.healNetwork(); });
        fleet.run(second(41));
        CAPTURE(sideCount, seed);
        requireWindowHolds(fleet, "small", kSmall, settings.tolerance);
        requireWindowHolds(fleet, "large", kLarge, settings.tolerance);
      }
    }
  }
}

TEST_CASE("the window limit holds with twelve of 74 daemons isolated", "[serving]") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    QuotaFleetSettings settings;
    settings.daemons = 74;
    settings.seed = seed;
    QuotaFleet fleet(settings);
    fleet.setLimit("hot", kLarge);
    fleet.addLoad("hot", kLarge.perSecond * 0.2, second(0), second(7.9));
    fleet.addLoad("hot", kLarge.perSecond * kTypicalShare * 9, second(7.9), second(30));
    std::vector<std::size_t> sides(settings.daemons, 0);
    for (std::size_t number = 0; number < 12; ++number) {
      sides[(fleet.primaryOf("hot") + number) % settings.daemons] = number + 1;
    }
    fleet.at(second(8), [&fleet, sides] { fleet.partitionNetwork(sides); });
    fleet.at(second(20), [&fleet] { fleet.healNetwork(); });
    fleet.run(second(31));
    CAPTURE(seed);
    requireWindowHolds(fleet, "hot", kLarge, settings.tolerance);
  }
}

TEST_CASE("the window limit holds when all daemons restart without state", "[serving]") {
  const TenantLimit busy{30, 30};
  for (const std::size_t daemons : {3, 20, 74}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      QuotaFleetSettings settings;
      settings.daemons = daemons;
      settings.seed = seed;
      QuotaFleet fleet(settings);
      for (const auto& [tenant, limit] :
           std::vector<std::pair<std::string, TenantLimit>>{{"large", kLarge}, {"busy", busy}}) {
        fleet.setLimit(tenant, limit);
        fleet.addLoad(tenant, 1, second(0), second(9));
        fleet.addLoad(tenant, limit.perSecond * kTypicalShare * 9, second(9), second(30));
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
    QuotaFleetSettings settings;
    settings.daemons = 74;
    settings.seed = seed;
    QuotaFleet fleet(settings);
    for (std::size_t number = 0; number < kTenants; ++number) {
      const std::string tenant = "tenant-" + std::to_string(number);
      fleet.setLimit(tenant, kSmall);
      fleet.addLoad(tenant, kSmall.perSecond * kTypicalShare, second(11), second(21));
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
      errors += fleet.wronglyRefused(tenant, kSmall);
      requests += fleet.requestsOf(tenant).size();
    }
  }
  CAPTURE(errors, requests);
  REQUIRE(errors <= requests / 100);
}

// Guards against clients that spend their attempts on unreachable servers already suspected by the
// membership, and against later successors that begin with less than one token and grant a sixteenth of the
// rate although the network partition has been detected.
TEST_CASE("a tenant below its limit is served on both sides of a network partition", "[serving]") {
  // 18 of 74 daemons are separated from the rest.
  constexpr std::size_t kTenants = 40;
  std::size_t errors = 0;
  std::size_t requests = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    QuotaFleetSettings settings;
    settings.daemons = 74;
    settings.seed = seed;
    QuotaFleet fleet(settings);
    for (std::size_t number = 0; number < kTenants; ++number) {
      const std::string tenant = "tenant-" + std::to_string(number);
      fleet.setLimit(tenant, kSmall);
      fleet.addLoad(tenant, kSmall.perSecond * kTypicalShare, second(0), second(15));
    }
    fleet.at(second(10), [&fleet] {
      std::vector<std::size_t> sides(fleet.size(), 0);
      std::fill(sides.begin(), sides.begin() + 18, 1);
      fleet.partitionNetwork(sides);
    });
    fleet.run(second(16));
    for (std::size_t number = 0; number < kTenants; ++number) {
      const std::string tenant = "tenant-" + std::to_string(number);
      errors += fleet.wronglyRefused(tenant, kSmall);
      requests += fleet.requestsOf(tenant).size();
    }
  }
  CAPTURE(errors, requests);
  REQUIRE(errors <= requests / 100);
}

// Guards against later successors that grant a sixteenth of the rate until the network partition is detected
// although a round trip tells them how much of the fleet they reach, and against sides, clients and healed
// primaries whose tokens are reduced or unreachable for longer than that.
TEST_CASE("tenants of any rate below their limit are served in single and repeated network partitions",
          "[serving][limits]") {
  constexpr std::size_t kTenants = 10;
  for (const bool again : {false, true}) {
    for (const std::size_t daemons : {12, 74}) {
      for (const double share : {0.125, 0.25, 0.5}) {
        for (const double rate : {1.0, 8.0, 30.0}) {
          std::size_t errors = 0;
          std::size_t requests = 0;
          for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            QuotaFleetSettings settings;
            settings.daemons = daemons;
            settings.seed = seed;
            QuotaFleet fleet(settings);
            const TenantLimit limit{rate, rate};
            for (std::size_t number = 0; number < kTenants; ++number) {
              const std::string tenant = "tenant-" + std::to_string(number);
              fleet.setLimit(tenant, limit);
              fleet.addLoad(tenant, rate * kTypicalShare, second(0), second(again ? 30 : 15));
            }
            std::vector<std::size_t> sides(daemons, 0);
            const auto small = static_cast<std::ptrdiff_t>(static_cast<double>(daemons) * share);
            std::fill(sides.begin(), sides.begin() + small, 1);
            fleet.at(second(10), [&fleet, sides] { fleet.partitionNetwork(sides); });
            if (again) {
              fleet.at(second(13), [&fleet] { fleet.healNetwork(); });
              fleet.at(second(20), [&fleet, sides] { fleet.partitionNetwork(sides); });
              fleet.at(second(23), [&fleet] { fleet.healNetwork(); });
            }
            fleet.run(second(again ? 31 : 16));
            for (std::size_t number = 0; number < kTenants; ++number) {
              const std::string tenant = "tenant-" + std::to_string(number);
              errors += fleet.wronglyRefused(tenant, limit);
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
  // Guards against successors that grant the full rate of their side before every daemon has detected the
  // partition.
  const TenantLimit busy{30, 30};
  for (const std::size_t sideCount : {3, 6, 12}) {
    for (const std::size_t daemons : {12, 40}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        QuotaFleetSettings settings;
        settings.daemons = daemons;
        settings.seed = seed;
        QuotaFleet fleet(settings);
        fleet.setLimit("busy", busy);
        fleet.addLoad("busy", busy.perSecond * 0.2, second(0), second(9.9));
        fleet.addLoad("busy", busy.perSecond * kTypicalShare * 30, second(9.9), second(30));
        std::vector<std::size_t> sides(daemons);
        for (std::size_t number = 0; number < daemons; ++number) {
          sides[number] = number * sideCount / daemons;
        }
        fleet.at(second(10), [&fleet, sides] { fleet.partitionNetwork(sides); });
        fleet.at(second(20), [&fleet] { fleet.healNetwork(); });
        fleet.run(second(31));
        CAPTURE(sideCount, daemons, seed);
        requireWindowHolds(fleet, "busy", busy, settings.tolerance);
      }
    }
  }
}

// Guards against sides that together grant more than one refill while the primary has not detected the
// network partition yet and nearly every client finds a server on its side.
TEST_CASE("the window limit holds for tenants of any rate in network partitions with many sides",
          "[serving]") {
  for (const double rate : {1.0, 8.0, 30.0}) {
    const TenantLimit limit{rate, rate};
    for (const std::size_t sideCount : {2, 4, 8, 12}) {
      for (const std::size_t daemons : {12, 40, 74}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
          QuotaFleetSettings settings;
          settings.daemons = daemons;
          settings.seed = seed;
          QuotaFleet fleet(settings);
          fleet.setLimit("hot", limit);
          fleet.addLoad("hot", rate * 0.2, second(0), second(9.9));
          fleet.addLoad("hot", rate * kTypicalShare * 30, second(9.9), second(24));
          std::vector<std::size_t> sides(daemons);
          for (std::size_t number = 0; number < daemons; ++number) {
            sides[number] = number * sideCount / daemons;
          }
          fleet.at(second(10), [&fleet, sides] { fleet.partitionNetwork(sides); });
          fleet.at(second(20), [&fleet] { fleet.healNetwork(); });
          fleet.run(second(25));
          CAPTURE(sideCount, seed);
          requireWindowHolds(fleet, "hot", limit, settings.tolerance);
        }
      }
    }
  }
}

TEST_CASE("a lowered limit holds from the moment at which it is set", "[serving]") {
  QuotaFleetSettings settings;
  settings.daemons = 20;
  QuotaFleet fleet(settings);
  fleet.setLimit("hot", kLarge);
  fleet.addLoad("hot", 40, second(0), second(10));
  fleet.addLoad("hot", 40, second(10), second(30));
  fleet.run(second(10));
  fleet.setLimit("hot", kSmall);
  fleet.run(second(31));
  std::size_t after = 0;
  for (const QuotaFleet::Request& request : fleet.requestsOf("hot")) {
    after += request.ran && request.at >= second(10) && request.at < second(15) ? 1 : 0;
  }
  REQUIRE(static_cast<double>(after) <= allowedInWindow(kSmall, settings.tolerance));
}

TEST_CASE("a request waits for one round trip, and with prefetched tokens mostly not at all", "[serving]") {
  for (const std::size_t prefetchLimit : {std::size_t{0}, kPrefetchedTokens}) {
    QuotaFleetSettings settings;
    settings.daemons = 74;
    settings.prefetchLimit = prefetchLimit;
    QuotaFleet fleet(settings);
    const TenantLimit limit{40, 40};
    fleet.setLimit("busy", limit);
    const std::size_t client = fleet.primaryOf("busy") == 4 ? 5 : 4;
    fleet.addLoad("busy", 20, second(0), second(60), {client});
    fleet.run(second(61));
    const QuotaClientCounters counters = fleet.clientCounters();
    REQUIRE(counters.refused == 0);
    for (const QuotaFleet::Request& request : fleet.requestsOf("busy")) {
      REQUIRE(request.waited <= std::chrono::milliseconds(8));
    }
    if (prefetchLimit == 0) {
      REQUIRE(counters.grantedImmediately == 0);
    } else {
      REQUIRE(counters.grantedImmediately > counters.granted * 8 / 10);
    }
  }
}

}  // namespace oakpier::serving
