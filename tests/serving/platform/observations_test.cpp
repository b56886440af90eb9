#include "platform_model/observations.h"

#include <catch2/catch.hpp>

namespace oakpier::serving::model {

namespace {

Moment at(int milliseconds) { return Moment(std::chrono::milliseconds(milliseconds)); }

const std::string kHigh(16, 'z');
const std::string kLow(16, 'a');

Observations withTwoParts() {
  Observations seen;
  seen.onSigned("one", {"request", "shard-0", kLow + kHigh});
  seen.onSigned("two", {"request", "shard-1", kHigh + "rest"});
  seen.onSigned("other", {"another", "shard-1", kHigh});
  return seen;
}

const std::set<std::string> kShards{"shard-0", "shard-1", "shard-2"};

}  // namespace

TEST_CASE("a correct merged answer passes, incorrect ones are violations", "[platform]") {
  Observations seen = withTwoParts();
  seen.checkMerged("request", kShards, 2, "one, two", 1, kHigh + kHigh);
  REQUIRE(seen.violations().empty());
  const auto refuses = [](const std::string& signatures, std::size_t missing, const std::string& body) {
    Observations fresh = withTwoParts();
    fresh.checkMerged("request", kShards, 2, signatures, missing, body);
    return !fresh.violations().empty();
  };
  REQUIRE(refuses("one, two", 0, kHigh + kHigh));
  REQUIRE(refuses("one, two", 1, kHigh + kLow));
  REQUIRE(refuses("one, other", 1, kHigh + kHigh));
  REQUIRE(refuses("one, one", 1, kHigh + kHigh));
  REQUIRE(refuses("one, unknown", 1, kHigh + kHigh));
}

TEST_CASE("a forwarded answer must be the one that a leaf gave to the request", "[platform]") {
  Observations seen = withTwoParts();
  seen.checkForwarded("request", "two", kHigh + "rest");
  REQUIRE(seen.violations().empty());
  seen.checkForwarded("request", "two", kHigh);
  seen.checkForwarded("request", "other", kHigh);
  REQUIRE(seen.violations().size() == 2);
}

TEST_CASE("repeated runs, runs of refused requests and late arrivals at draining leafs are violations",
          "[platform]") {
  Observations seen;
  seen.onArrival("once", "leaf", false, at(0));
  seen.checkOnce({"once"});
  REQUIRE(seen.violations().empty());
  seen.onArrival("once", "leaf", false, at(1));
  seen.checkOnce({"once"});
  REQUIRE(seen.violations().size() == 1);
  seen.checkRefusedOnce("once");
  REQUIRE(seen.violations().size() == 2);
  seen.onDraining("leaf", at(0));
  seen.onArrival("late", "leaf", true, at(2900));
  REQUIRE(seen.violations().size() == 2);
  seen.onArrival("later", "leaf", true, at(3100));
  REQUIRE(seen.violations().size() == 3);
}

TEST_CASE("a crashing request that all gateways must know may reach leafs only a few more times",
          "[platform]") {
  Observations seen;
  const auto later = GENERATE(3, 4);
  for (int ended = 0; ended < 3; ++ended) {
    seen.onEndingSend("/x", "first", at(0));
    seen.onEndedUnder("/x", at(10));
  }
  for (int send = 0; send < 9; ++send) {
    seen.onEndingSend("/x", "soon", at(900));
  }
  seen.onAskedOutOfTouch("lost");
  seen.onEndingSend("/x", "lost", at(5000));
  for (int send = 0; send < later; ++send) {
    seen.onEndingSend("/x", "again", at(5000));
  }
  seen.checkEndingRequests();
  REQUIRE(seen.violations().empty() == (later == 3));
}

TEST_CASE("a request that ran must not be closed without an answer", "[platform]") {
  Observations seen;
  seen.checkBrokenOff("one");
  REQUIRE(seen.violations().empty());
  seen.onArrival("one", "leaf", false, at(0));
  seen.checkBrokenOff("one");
  REQUIRE(seen.violations().size() == 1);
}

}  // namespace oakpier::serving::model
