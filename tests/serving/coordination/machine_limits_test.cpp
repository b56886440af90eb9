#include "coordination/serving/machine_limits.h"

#include <catch2/catch.hpp>

#include "coordination/serving/weighted_rendezvous.h"

namespace oakpier::serving {

namespace {

MachineLimits machine(double cores, double megabits) {
  MachineLimits limits;
  limits.processorCores = cores;
  limits.linkMegabits = megabits;
  return limits;
}

}  // namespace

TEST_CASE("a machine's capacity is the lower of its processor's and its link's", "[serving]") {
  REQUIRE(capacityOf(machine(0.5, 200)) == 50);
  REQUIRE(capacityOf(machine(0.28, 84)) == 28);
  REQUIRE(capacityOf(machine(0.12, 24)) == 12);
  REQUIRE(capacityOf(machine(4, 100)) == 100);
  REQUIRE(capacityOf(machine(0.5, 0)) == 50);
  REQUIRE(capacityOf(machine(0, 10)) == 10);
  REQUIRE(capacityOf(machine(0, 0)) == 0);
  // Not 0, which means unknown.
  REQUIRE(capacityOf(machine(0.001, 1000)) == 1);
  REQUIRE(capacityOf(machine(256, 1e7)) == kMaxCapacity);
}

TEST_CASE("negative and implausibly high machine limits are rejected", "[serving]") {
  REQUIRE(validationErrors(machine(0.5, 200)).empty());
  REQUIRE(validationErrors(MachineLimits{}).empty());
  REQUIRE(validationErrors(machine(-1, -1)).size() == 2);
  REQUIRE(validationErrors(machine(300, 1)).size() == 1);
}

}  // namespace oakpier::serving
