#include "coordination/serving/reachability_estimator.h"

#include <catch2/catch.hpp>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

const Endpoint kSelf(1, 9);

std::vector<Endpoint> fleetOf(std::uint32_t daemons) {
  std::vector<Endpoint> fleet;
  for (std::uint32_t number = 1; number <= daemons; ++number) {
    fleet.emplace_back(number, 9);
  }
  return fleet;
}

}  // namespace

TEST_CASE("the reachable part of a small fleet is counted exactly", "[serving]") {
  ReachabilityEstimator estimator(kSelf);
  estimator.setDaemons(fleetOf(12));
  REQUIRE_FALSE(estimator.estimate(at(0)));
  const std::vector<Endpoint> probed = estimator.beginRound(at(0));
  REQUIRE(probed.size() == 11);
  REQUIRE(estimator.estimate(at(1))->daemons == 1);
  estimator.onReceived(Endpoint(2, 9));
  estimator.onReceived(Endpoint(3, 9));
  estimator.onReceived(Endpoint(3, 9));
  REQUIRE(estimator.estimate(at(30))->daemons == 3);
  // A late answer counts too.
  estimator.onReceived(Endpoint(4, 9));
  REQUIRE(estimator.estimate(at(150))->daemons == 4);
  REQUIRE_FALSE(estimator.estimate(at(2100)));
}

TEST_CASE("rounds of probes are limited, and the previous one counts until answers can have arrived",
          "[serving]") {
  ReachabilityEstimator estimator(kSelf);
  estimator.setDaemons(fleetOf(12));
  for (const Endpoint& daemon : estimator.beginRound(at(0))) {
    estimator.onReceived(daemon);
  }
  REQUIRE(estimator.beginRound(at(100)).empty());
  REQUIRE(estimator.beginRound(at(200)).size() == 11);
  REQUIRE(estimator.estimate(at(210))->daemons == 12);
  REQUIRE(estimator.estimate(at(210))->probedAt == at(0));
  // A frame that was received before the round does not count.
  REQUIRE(estimator.estimate(at(230))->daemons == 1);
}

TEST_CASE("the estimate of a large fleet comes from a sample", "[serving]") {
  constexpr std::uint32_t kDaemons = 7100;
  double sum = 0;
  constexpr int kObservers = 200;
  for (std::uint32_t observer = 1; observer <= kObservers; ++observer) {
    ReachabilityEstimator estimator(Endpoint(observer, 9));
    estimator.setDaemons(fleetOf(kDaemons));
    const std::vector<Endpoint> probed = estimator.beginRound(at(0));
    REQUIRE(probed.size() == kReachabilitySample);
    // The same daemons again, so that no further connections are opened.
    REQUIRE(estimator.beginRound(at(1000)) == probed);
    for (const Endpoint& daemon : probed) {
      // A quarter of the fleet can be reached.
      if (daemon.packed() % (std::uint64_t{4} << 16U) == 9) {
        estimator.onReceived(daemon);
      }
    }
    sum += estimator.estimate(at(1030))->daemons;
  }
  REQUIRE(sum / kObservers > kDaemons * 0.23);
  REQUIRE(sum / kObservers < kDaemons * 0.27);
}

TEST_CASE("a daemon that reaches nobody counts itself", "[serving]") {
  ReachabilityEstimator estimator(kSelf);
  estimator.setDaemons({kSelf});
  REQUIRE(estimator.beginRound(at(0)).empty());
  REQUIRE(estimator.estimate(at(30))->daemons == 1);
}

}  // namespace oakpier::serving
