/// Bucket parameters, the visible fraction of the fleet, and the buckets of quota servers.

#include "coordination/serving/quota_plan.h"

#include <catch2/catch.hpp>

#include "coordination/serving/fleet_visibility.h"
#include "coordination/serving/quota_server.h"
#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

const QuotaTolerance kTolerance{std::chrono::seconds(5), 0.25, 20};

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

TEST_CASE("successive quota servers within a window stay within the window limit", "[serving]") {
  for (const QuotaTolerance& tolerance : {kTolerance, QuotaTolerance{std::chrono::seconds(5), 0, 0},
                                          QuotaTolerance{std::chrono::seconds(1), 0.1, 3}}) {
    for (const double rate : {0.1, 1.0, 8.0, 100.0, 5000.0}) {
      for (const double burst : {0.0, 1.0, 8.0, 100.0, 5000.0}) {
        const TenantLimit limit{rate, burst};
        const QuotaPlan plan = planQuota(limit, tolerance);
        const double granted = plan.refillRate * seconds(tolerance.window + kTokenLifetime) + plan.capacity +
                               2 * plan.initialLevel + 2 * plan.laterInitialLevel;
        CAPTURE(rate, burst, plan.capacity, plan.initialLevel, plan.refillRate);
        REQUIRE(granted <= std::max(1.0, allowedInWindow(limit, tolerance)) + 1e-6);
        REQUIRE(plan.capacity >= 1);
        REQUIRE(plan.initialLevel >= 0);
        REQUIRE(plan.laterInitialLevel >= 0);
        REQUIRE(plan.headroom >= 1);
      }
    }
  }
}

TEST_CASE("a tenant's full rate and burst are granted if the tolerance allows it", "[serving]") {
  for (const TenantLimit& limit : {TenantLimit{1, 1}, TenantLimit{8, 8}, TenantLimit{30, 30}}) {
    const QuotaPlan plan = planQuota(limit, kTolerance);
    REQUIRE(plan.refillRate == limit.perSecond);
    REQUIRE(plan.capacity >= limit.burst + 0.5 * limit.perSecond);
    REQUIRE(plan.initialLevel >= 1);
  }
}

TEST_CASE("the sides of a network partition together grant at most the headroom", "[serving]") {
  const QuotaPlan plan = planQuota(TenantLimit{8, 8}, kTolerance);
  REQUIRE(partitionSideScale(plan, 1) == 1);
  REQUIRE(partitionSideScale(plan, 0.75) + partitionSideScale(plan, 0.25) <= plan.headroom + 1e-9);
  // An isolated daemon of 74 grants less than one token.
  REQUIRE(partitionSideScale(plan, 1.0 / 74) * plan.capacity < 1);
}

TEST_CASE("the buckets and refills of all sides of a lasting network partition fit into a window",
          "[serving]") {
  for (const double rate : {0.1, 1.0, 8.0, 30.0, 1000.0}) {
    const TenantLimit limit{rate, rate};
    const QuotaPlan plan = planQuota(limit, kTolerance);
    for (const int sides : {2, 3, 12, 74}) {
      const double fraction = 1.0 / sides;
      const double refill =
          plan.refillRate * seconds(kTolerance.window + kTokenLifetime) * partitionSideScale(plan, fraction);
      const double granted = sides * (refill + partitionSideCapacity(plan, fraction));
      CAPTURE(rate, sides);
      REQUIRE(granted <= allowedInWindow(limit, kTolerance) + 1e-6);
      REQUIRE(partitionOnsetScale(plan, fraction) <= partitionSideScale(plan, fraction));
    }
    REQUIRE(partitionSideCapacity(plan, 1) == plan.capacity);
    REQUIRE(partitionOnsetScale(plan, 0.99) == partitionSideScale(plan, 0.99));
  }
}

TEST_CASE("probes newer than what the membership has detected raise the visible fraction", "[serving]") {
  FleetVisibility visibility;
  visibility.onDaemons(FleetCount{20, 20, 20, true}, at(0));
  visibility.onDaemons(FleetCount{5, 5, 20, true}, at(2000));
  REQUIRE_FALSE(visibility.reachableFraction(at(2000)));
  visibility.setReachability(ReachabilityEstimate{15, at(5000)});
  REQUIRE(*visibility.reachableFraction(at(5100)) == 0.75);
  REQUIRE(visibility.visibleFraction(at(5100)) == 0.75);
  // A network partition that began after the probes may have been detected by now.
  REQUIRE(visibility.visibleFraction(at(5300)) == 0.25);
  visibility.setReachability(ReachabilityEstimate{2, at(6000)});
  REQUIRE(visibility.visibleFraction(at(6000)) == 0.25);
}

TEST_CASE("the visible fraction refers to the recent maximum of the number of daemons", "[serving]") {
  FleetVisibility visibility;
  visibility.onDaemons(FleetCount{20, 20, 20, true}, at(0));
  REQUIRE(visibility.visibleFraction(at(0)) == 1);
  visibility.onDaemons(FleetCount{5, 5, 20, true}, at(10'000));
  REQUIRE(visibility.visibleFraction(at(10'000)) == 0.25);
  visibility.onDaemons(FleetCount{4, 4, 20, true}, at(20'000));
  REQUIRE(visibility.visibleFraction(at(39'000)) == 0.2);
  REQUIRE(visibility.visibleFraction(at(41'000)) == 0.8);
  REQUIRE(visibility.visibleFraction(at(51'000)) == 1);
  // All daemons are reachable again.
  visibility.onDaemons(FleetCount{20, 20, 20, true}, at(52'000));
  REQUIRE(visibility.visibleFraction(at(52'000)) == 1);
}

// Guards against a daemon that starts on one side of a network partition and takes that side for the fleet.
TEST_CASE("the visible fraction refers to suspected daemons also after a start", "[serving]") {
  FleetVisibility visibility;
  visibility.onDaemons(FleetCount{1, 1, 12, false}, at(0));
  visibility.onDaemons(FleetCount{5, 20, 20, false}, at(100));
  REQUIRE(visibility.visibleFraction(at(100)) == 0.25);
  visibility.onDaemons(FleetCount{5, 20, 20, true}, at(1500));
  REQUIRE(visibility.visibleFraction(at(1500)) == 0.25);
  // The suspected ones have been removed.
  visibility.onDaemons(FleetCount{5, 5, 5, true}, at(6000));
  REQUIRE(visibility.visibleFraction(at(6000)) == 0.25);
  REQUIRE(visibility.visibleFraction(at(37'000)) == 1);
}

TEST_CASE("until the membership is stable the visible fraction refers to the expected size", "[serving]") {
  FleetVisibility visibility;
  visibility.onDaemons(FleetCount{3, 3, 12, false}, at(0));
  REQUIRE(visibility.visibleFraction(at(0)) == 0.25);
  visibility.onDaemons(FleetCount{3, 3, 3, true}, at(1500));
  REQUIRE(visibility.visibleFraction(at(1500)) == 1);
}

TEST_CASE("retry times of refused requests grow with the number of requests refused", "[serving]") {
  QuotaServer server;
  server.setTolerance(kTolerance);
  const TenantLimit limit{4, 4};
  const auto request = [&](std::uint32_t wanted, Moment now) {
    return *server.onRequest(TenantTokenRequest{"t", wanted, 0}, limit, QuotaServerRank{}, now);
  };
  const auto start = static_cast<std::uint32_t>(planQuota(limit, kTolerance).initialLevel);
  REQUIRE(request(start, at(0)).granted == start);
  const Duration first = request(4, at(1)).retryAfter;
  const Duration second = request(4, at(2)).retryAfter;
  REQUIRE(first > Duration{});
  REQUIRE(second >= first + std::chrono::milliseconds(900));
  // A retry time is one window at most.
  REQUIRE(request(1000, at(3)).retryAfter <= kTolerance.window);
  REQUIRE(request(1000, at(4)).retryAfter <= kTolerance.window);
}

TEST_CASE("duplicate and reordered frames of one process are ignored", "[serving]") {
  QuotaServer server;
  const Endpoint sender(1, 9);
  REQUIRE(server.acceptFrame(sender, 7, 2, at(0)));
  REQUIRE_FALSE(server.acceptFrame(sender, 7, 2, at(1)));
  REQUIRE_FALSE(server.acceptFrame(sender, 7, 1, at(2)));
  // A restarted sender numbers its frames from 1.
  REQUIRE(server.acceptFrame(sender, 8, 1, at(3)));
  REQUIRE(server.acceptFrame(Endpoint(2, 9), 7, 1, at(4)));
}

TEST_CASE("returned tokens do not raise a bucket beyond its capacity", "[serving]") {
  QuotaServer server;
  server.setTolerance(kTolerance);
  const TenantLimit limit{4, 4};
  server.onRequest(TenantTokenRequest{"t", 1, 0}, limit, QuotaServerRank{}, at(0));
  REQUIRE_FALSE(server.onRequest(TenantTokenRequest{"t", 0, 1000}, limit, QuotaServerRank{}, at(1)));
  REQUIRE(*server.levelOf("t") <= planQuota(limit, kTolerance).capacity);
}

TEST_CASE("a successor grants only its initial level while its predecessor responds", "[serving]") {
  QuotaServer server;
  server.setTolerance(kTolerance);
  const TenantLimit limit{4, 4};
  std::uint32_t granted = 0;
  for (int millisecond = 0; millisecond < 20'000; millisecond += 100) {
    const QuotaServerRank serverRank{1, at(millisecond)};
    granted += server.onRequest(TenantTokenRequest{"t", 1, 0}, limit, serverRank, at(millisecond))->granted;
  }
  REQUIRE(granted == static_cast<std::uint32_t>(planQuota(limit, kTolerance).initialLevel));
  // The predecessor no longer responds.
  const QuotaServerRank alone{1, at(20'000)};
  std::uint32_t later = 0;
  for (int millisecond = 21'000; millisecond < 31'000; millisecond += 100) {
    later += server.onRequest(TenantTokenRequest{"t", 1, 0}, limit, alone, at(millisecond))->granted;
  }
  REQUIRE(later >= 35);
}

// Guards against successors that refuse for seconds after a network partition has healed: they do not refill
// any more, and clients ask them until the membership has found the predecessors again.
TEST_CASE("a successor that has no token leaves the request to a predecessor that responds", "[serving]") {
  QuotaServer server;
  server.setTolerance(kTolerance);
  const TenantLimit limit{4, 4};
  const QuotaServerRank responds{1, at(0)};
  const TenantGrant first = *server.onRequest(TenantTokenRequest{"t", 100, 0}, limit, responds, at(50));
  REQUIRE(first.granted == static_cast<std::uint32_t>(planQuota(limit, kTolerance).initialLevel));
  const TenantGrant second = *server.onRequest(TenantTokenRequest{"t", 1, 0}, limit, responds, at(100));
  REQUIRE(second.granted == 0);
  REQUIRE(second.retryAfter == Duration{});
  REQUIRE(server.counters().redirected > 0);
  REQUIRE(server.counters().refused == 0);
  const TenantGrant alone = *server.onRequest(TenantTokenRequest{"t", 100, 0}, limit, responds, at(300));
  REQUIRE(alone.retryAfter > Duration{});
  REQUIRE(server.counters().refused > 0);
}

TEST_CASE("a later successor grants at the rate of the part of the fleet that it reaches", "[serving]") {
  const TenantLimit limit{30, 30};
  const auto grantedInASecond = [&](std::optional<double> reachable) {
    QuotaServer server;
    server.setTolerance(kTolerance);
    server.setReachableFraction(reachable);
    std::uint32_t granted = 0;
    for (int millisecond = 0; millisecond < 1000; millisecond += 10) {
      granted += server.onRequest(TenantTokenRequest{"t", 1, 0}, limit, QuotaServerRank{3}, at(millisecond))
                     ->granted;
    }
    return granted;
  };
  // One token, and a sixteenth of the rate.
  REQUIRE(grantedInASecond(std::nullopt) <= 3);
  REQUIRE(grantedInASecond(0.5) >= 15);
  REQUIRE(grantedInASecond(0.25) < grantedInASecond(0.5));
}

}  // namespace oakpier::serving
