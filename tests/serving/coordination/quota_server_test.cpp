#include "coordination/serving/quota_server.h"

#include <catch2/catch.hpp>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

constexpr TenantLimit kLimit{8, 8};
constexpr std::uint32_t kMany = 100;

/// The rank of a later successor whose predecessors are not suspected and were last heard at `receivedAt`.
QuotaServerRank laterSuccessor(Moment receivedAt, Moment silentSince) {
  QuotaServerRank serverRank;
  serverRank.rank = 2;
  serverRank.predecessorReceivedAt = receivedAt;
  serverRank.predecessorsSuspectedSince = kNever;
  serverRank.predecessorsSilentSince = silentSince;
  return serverRank;
}

std::uint32_t granted(QuotaServer& server, const QuotaServerRank& serverRank, Moment now) {
  return server.onRequest(TenantTokenRequest{"t", kMany, 0}, kLimit, serverRank, now)->granted;
}

}  // namespace

// Guards against a window limit that is exceeded because successors that are asked now and then take the time
// in which they sent no probes for silence of their predecessors, begin with new levels and refill for it.
TEST_CASE("a successor takes over only for a silence that a probe has shown", "[serving]") {
  QuotaServer server;
  server.setTolerance(QuotaTolerance{std::chrono::seconds(5), 0.25, 20});
  server.setReachableFraction(1);
  granted(server, laterSuccessor(at(5), kNever), at(10));
  REQUIRE(granted(server, laterSuccessor(at(5), at(1000)), at(1000)) == 0);
  SECTION("a predecessor answers the probe") {
    REQUIRE(granted(server, laterSuccessor(at(1004), kNever), at(1500)) == 0);
  }
  SECTION("no predecessor answers") {
    REQUIRE(granted(server, laterSuccessor(at(5), at(1000)), at(1500)) > 0);
  }
}

}  // namespace oakpier::serving
