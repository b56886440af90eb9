#include "platform_model/observations.h"

#include <catch2/catch.hpp>

namespace oakpier::serving::model {

namespace {

Moment at(int milliseconds) { return Moment(std::chrono::milliseconds(milliseconds)); }

const std::string kHigh(16, 'z');
const std::string kLow(16, 'a');

Observations withTwoParts() {
  Observations observations;
  observations.onSigned("one", {"request", "shard-0", kLow + kHigh});
  observations.onSigned("two", {"request", "shard-1", kHigh + "rest"});
  observations.onSigned("other", {"another", "shard-1", kHigh});
  return observations;
}

const std::set<std::string> kShards{"shard-0", "shard-1", "shard-2"};

}  // namespace

TEST_CASE("a correct merged answer passes, incorrect ones are violations", "[platform]") {
  Observations observations = withTwoParts();
  observations.checkMerged("request", kShards, 2, "one, two", 1, kHigh + kHigh);
  REQUIRE(observations.violations().empty());
  const auto isViolation = [](const std::string& signatures, std::size_t missing, const std::string& body) {
    Observations fresh = withTwoParts();
    fresh.checkMerged("request", kShards, 2, signatures, missing, body);
    return !fresh.violations().empty();
  };
  REQUIRE(isViolation("one, two", 0, kHigh + kHigh));
  REQUIRE(isViolation("one, two", 1, kHigh + kLow));
  REQUIRE(isViolation("one, other", 1, kHigh + kHigh));
  REQUIRE(isViolation("one, one", 1, kHigh + kHigh));
  REQUIRE(isViolation("one, unknown", 1, kHigh + kHigh));
}

TEST_CASE("a forwarded answer must be the one that a leaf gave to the request", "[platform]") {
  Observations observations = withTwoParts();
  observations.checkForwarded("request", "two", kHigh + "rest");
  REQUIRE(observations.violations().empty());
  observations.checkForwarded("request", "two", kHigh);
  observations.checkForwarded("request", "other", kHigh);
  REQUIRE(observations.violations().size() == 2);
}

TEST_CASE("repeated runs, runs of refused requests and late arrivals at draining leafs are violations",
          "[platform]") {
  Observations observations;
  observations.onArrival("once", "leaf", false, at(0));
  observations.checkExecutedAtMostOnce({"once"});
  REQUIRE(observations.violations().empty());
  observations.onArrival("once", "leaf", false, at(1));
  observations.checkExecutedAtMostOnce({"once"});
  REQUIRE(observations.violations().size() == 1);
  observations.checkRefusedNotExecuted("once");
  REQUIRE(observations.violations().size() == 2);
  observations.onDraining("leaf", at(0));
  observations.onArrival("late", "leaf", true, at(2900));
  REQUIRE(observations.violations().size() == 2);
  observations.onArrival("later", "leaf", true, at(3100));
  REQUIRE(observations.violations().size() == 3);
}

TEST_CASE("a crashing request that all gateways must know may reach leafs only a few more times",
          "[platform]") {
  Observations observations;
  const auto lateSends = GENERATE(3, 4);
  for (int crashes = 0; crashes < 3; ++crashes) {
    observations.onCrashingSend("/x", "first", at(0));
    observations.onLeafCrash("/x", at(10));
  }
  for (int send = 0; send < 9; ++send) {
    observations.onCrashingSend("/x", "soon", at(900));
  }
  observations.onSentToRecoveringGateway("lost");
  observations.onCrashingSend("/x", "lost", at(5000));
  for (int send = 0; send < lateSends; ++send) {
    observations.onCrashingSend("/x", "again", at(5000));
  }
  observations.checkCrashingRequests();
  REQUIRE(observations.violations().empty() == (lateSends == 3));
}

TEST_CASE("the connection of a request that ran must not close without an answer", "[platform]") {
  Observations observations;
  observations.checkAborted("one");
  REQUIRE(observations.violations().empty());
  observations.onArrival("one", "leaf", false, at(0));
  observations.checkAborted("one");
  REQUIRE(observations.violations().size() == 1);
}

}  // namespace oakpier::serving::model
