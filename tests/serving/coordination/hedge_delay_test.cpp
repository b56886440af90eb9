#include <catch2/catch.hpp>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

TEST_CASE("some paused leafs distort neither the latency estimate nor the hedge delay", "[serving]") {
  const auto view = viewOf({gatherRoute({"s0"}, 1.0)}, {"s0"}, 2);
  QueryWorld world(view);
  const Route& route = view->configuration->routes[0];
  RouteLatency& latency = world.context->latencyOf(route);
  for (int number = 0; number < 1000; ++number) {
    const bool paused = number % 10 == 0;
    latency.record(std::chrono::milliseconds(paused ? 180 : 20), at(number));
  }
  REQUIRE(latency.median() == std::chrono::milliseconds(20));
  REQUIRE(latency.high() <= std::chrono::milliseconds(50));
  Query query(view, route, *world.context, at(2000), at(9000));
  query.start(at(2000));
  REQUIRE(query.nextDecisionAt() >= at(2000) + latency.median() * 2);
}

}  // namespace oakpier::serving
