#include "programs/gateway/decision_timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <memory>

#include "serving/support/loopback.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

// Guards against a handler that is queued already when the timer is disarmed or armed anew: it waited again
// and again, and kept the request that it belongs to.
TEST_CASE("a disarmed decision timer releases its handler although that is queued", "[serving]") {
  boost::asio::io_context context;
  DecisionTimer timer(context);
  const Moment past = steadyNow() - std::chrono::milliseconds(10);
  // Both timers have expired, so that their handlers are queued together, in this order.
  boost::asio::steady_timer earlier(context);
  earlier.expires_at(std::chrono::steady_clock::now() - std::chrono::milliseconds(20));
  bool disarmed = false;
  earlier.async_wait([&](const boost::system::error_code&) {
    timer.arm(kNever, {});
    disarmed = true;
  });
  auto request = std::make_shared<int>(0);
  const std::weak_ptr<int> observed = request;
  bool due = false;
  timer.arm(past, [&due, request = std::move(request)] { due = true; });
  // The system reports an expired timer only after a moment, so a single poll may find none.
  runUntil(context, [&] { return disarmed; });
  context.restart();
  context.poll();
  REQUIRE_FALSE(due);
  REQUIRE(observed.expired());
}

TEST_CASE("a decision timer that is armed anew calls only the new handler", "[serving]") {
  boost::asio::io_context context;
  DecisionTimer timer(context);
  const Moment past = steadyNow() - std::chrono::milliseconds(10);
  boost::asio::steady_timer earlier(context);
  earlier.expires_at(std::chrono::steady_clock::now() - std::chrono::milliseconds(20));
  int calls = 0;
  earlier.async_wait([&](const boost::system::error_code&) {
    timer.arm(past - std::chrono::milliseconds(1), [&calls] { calls += 10; });
  });
  timer.arm(past, [&calls] { calls += 1; });
  runUntil(context, [&] { return calls != 0; });
  context.restart();
  context.poll();
  REQUIRE(calls == 10);
}

}  // namespace oakpier::serving
