#include "coordination/serving/quota_client.h"

#include <catch2/catch.hpp>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

// Guards against a prefetch right after a server has refused tokens: a tenant beyond its limit would cost
// twice as many frames.
TEST_CASE("a server that grants fewer tokens than wanted gets no request while the refusal is cached",
          "[serving]") {
  const Endpoint self(1, 9);
  RandomEngine random(1);
  QuotaServerSelector selector(self);
  QuotaClient client(selector, random);
  client.setTolerance(QuotaTolerance{std::chrono::seconds(5), 0.25, 20});
  const TenantLimit limit{8, 8};
  client.take("t", limit, at(0));
  const auto first = client.takeRequests(at(0));
  REQUIRE(client.onGrants(self, first.at(0).number, {TenantGrant{"t", 1, {}}}, at(1)).size() == 1);
  // The tenant's requests are frequent enough for a prefetch. Two requests wait, one token is granted.
  client.take("t", limit, at(10));
  const auto second = client.takeRequests(at(10));
  client.take("t", limit, at(11));
  const TenantGrant partial{"t", 1, std::chrono::milliseconds(100)};
  REQUIRE(client.onGrants(self, second.at(0).number, {partial}, at(12)).size() == 2);
  REQUIRE(client.takeRequests(at(12)).empty());
  REQUIRE(client.takeRequests(at(40)).empty());
}

}  // namespace oakpier::serving
