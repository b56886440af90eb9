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

TEST_CASE("a process leaves descriptors and memory for all its purposes", "[serving]") {
  MachineLimits limits;
  limits.descriptors = 4100;
  limits.memoryMegabytes = 260;
  const ProcessLimits process = processLimitsOf(limits, 1048576);
  REQUIRE(process.callerConnections == 1950);
  REQUIRE(process.peers == 487);
  REQUIRE(process.replyBytes == std::size_t{65} * 1024 * 1024);
  for (const std::size_t descriptors : {16U, 64U, 1024U, 4100U, 1048576U}) {
    const ProcessLimits some = processLimitsOf(MachineLimits{}, descriptors);
    REQUIRE(some.callerConnections >= 1);
    REQUIRE(some.peers >= 1);
    REQUIRE(some.callerConnections + 3 * some.peers < descriptors);
  }
}

}  // namespace oakpier::serving
