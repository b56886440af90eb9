#include "coordination/serving/membership_stabilization.h"

#include <catch2/catch.hpp>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

TEST_CASE("a member table counts as complete after a period without growth", "[serving]") {
  const MembershipStabilizationSettings settings;
  MembershipStabilization stabilization(settings, at(0));
  REQUIRE(stabilization.stableAt() == at(0) + settings.minWait);
  stabilization.onMembers(50, at(1000));
  REQUIRE(stabilization.stableAt() == at(1000) + settings.quietPeriod);
  stabilization.onMembers(52, at(1500));
  REQUIRE(stabilization.stableAt() == at(1000) + settings.quietPeriod);
  stabilization.onMembers(290, at(1700));
  REQUIRE(stabilization.stableAt() == at(1700) + settings.quietPeriod);
}

TEST_CASE("a member table that keeps growing counts as complete after the maximum wait", "[serving]") {
  const MembershipStabilizationSettings settings;
  MembershipStabilization stabilization(settings, at(0));
  for (int count = 1; count < 500; count += 20) {
    stabilization.onMembers(static_cast<std::size_t>(count), at(count * 10));
  }
  REQUIRE(stabilization.stableAt() == at(0) + settings.maxWait);
}

}  // namespace oakpier::serving
