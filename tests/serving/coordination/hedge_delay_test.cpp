#include <catch2/catch.hpp>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

TEST_CASE("leafs that pause do not make hedges go out at the median", "[serving]") {
  const auto view = viewOf({gatherRoute({"s0"}, 1.0)}, {"s0"}, 2);
  QueryWorld world(view);
  const Route& route = view->configuration->routes[0];
  RouteLatency& latency = world.context->latencyOf(route);
  for (int number = 0; number < 1000; ++number) {
    const bool paused = number % 10 == 0;
    latency.record(std::chrono::milliseconds(paused ? 180 : 20), at(number));
  }
  REQUIRE(latency.typical() == std::chrono::milliseconds(20));
  REQUIRE(latency.high() <= std::chrono::milliseconds(50));
  Query query(view, route, *world.context, at(2000), at(9000));
  query.start(at(2000));
  // With the budget full, a hedge goes out when nine in ten ordinary leafs would have answered.
  REQUIRE(query.nextDecisionAt() >= at(2000) + latency.typical() * 3 / 2);
}

TEST_CASE("an eager hedge only goes to a leaf that can begin at once", "[serving]") {
  const auto view = viewOf({gatherRoute({"s0"}, 1.0)}, {"s0"}, 2);
  QueryWorld world(view);
  const Route& route = view->configuration->routes[0];
  RouteLatency& latency = world.context->latencyOf(route);
  for (int number = 0; number < 1000; ++number) {
    latency.record(std::chrono::milliseconds(number % 10 == 0 ? 60 : 20), at(number));
  }
  Query query(view, route, *world.context, at(2000), at(9000));
  const QueryActions started = query.start(at(2000));
  query.onWritten(started.sends[0].exchange);
  const Moment eager = query.nextDecisionAt();
  REQUIRE(eager < at(2000) + latency.high());
  SECTION("the other leaf is free") { REQUIRE(query.onTime(eager).sends.size() == 1); }
  SECTION("the other leaf is busy") {
    for (const auto& leaf : world.registry.leafsOf("s0")) {
      if (leaf != started.sends[0].leaf) {
        leaf->onStarted(1001, std::chrono::milliseconds(500), eager);
        leaf->onStarted(1002, std::chrono::milliseconds(500), eager);
      }
    }
    const double before = world.budgets.fill("s0", eager);
    REQUIRE(query.onTime(eager).sends.empty());
    REQUIRE(world.budgets.fill("s0", eager) == before);
    const Moment usual = at(2000) + latency.high();
    REQUIRE(query.nextDecisionAt() <= usual);
    REQUIRE(query.onTime(usual).sends.size() == 1);
  }
}

}  // namespace oakpier::serving
