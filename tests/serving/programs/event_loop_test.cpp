#include "programs/gateway/event_loop.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

constexpr int kTolerated = 100;

[[noreturn]] void fail() { throw std::runtime_error("broken"); }

}  // namespace

TEST_CASE("a handler that throws does not keep later ones from running", "[serving]") {
  boost::asio::io_context context;
  HandlerFailures failures;
  bool ran = false;
  boost::asio::post(context, fail);
  boost::asio::post(context, [&] { ran = true; });
  REQUIRE(runIsolatingFailures(context, "test", failures));
  REQUIRE(ran);
  REQUIRE(failures.total() == 1);
}

TEST_CASE("a loop whose handlers keep throwing is given up", "[serving]") {
  boost::asio::io_context context;
  HandlerFailures failures;
  for (int number = 0; number < 2 * kTolerated; ++number) {
    boost::asio::post(context, fail);
  }
  REQUIRE_FALSE(runIsolatingFailures(context, "test", failures));
  REQUIRE(failures.total() == kTolerated + 1);
}

TEST_CASE("failures that are spread over a long time are tolerated", "[serving]") {
  HandlerFailures failures;
  for (int number = 0; number < 10 * kTolerated; ++number) {
    REQUIRE(failures.onFailure(at(number * 1000)));
  }
}

}  // namespace oakpier::serving
