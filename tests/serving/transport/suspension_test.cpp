/// Suspended machines.

#include "serving/support/suspension.h"

#include <catch2/catch.hpp>

#include "programs/gateway/decision_timer.h"
#include "serving/support/loopback.h"
#include "serving/support/serving_fixtures.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

TEST_CASE("the steady clock includes the time of a suspension", "[serving]") {
  const Moment before = steadyNow();
  const Suspension suspension;
  REQUIRE(steadyNow() - before >= kSuspensionTime);
}

TEST_CASE("a timer that became due during a suspension fires soon after it", "[serving]") {
  boost::asio::io_context context;
  DecisionTimer timer(context);
  bool due = false;
  timer.arm(steadyNow() + kSuspensionTime, [&] { due = true; });
  context.run_one_for(std::chrono::milliseconds(1));
  REQUIRE_FALSE(due);
  const Suspension suspension;
  runUntil(context, [&] { return due; });
}

TEST_CASE("a query whose deadline passed during a suspension times out without further sends", "[serving]") {
  const std::vector<std::string> shards = {"s0", "s1"};
  const auto view = viewOf({gatherRoute(shards, 1.0)}, shards, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(1000));
  for (const SendAction& send : query.start(at(0)).sends) {
    query.onWriteStarted(send.exchange);
  }
  const QueryActions late = query.onTimer(at(60'000));
  REQUIRE(late.sends.empty());
  REQUIRE(late.answer);
  REQUIRE(std::get<Failure>(*late.answer).timedOut);
}

}  // namespace oakpier::serving
