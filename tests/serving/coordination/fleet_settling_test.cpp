#include "coordination/serving/fleet_settling.h"

#include <catch2/catch.hpp>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

TEST_CASE("a member table is complete after a period without growth", "[serving]") {
  const FleetSettlingSettings settings;
  FleetSettling settling(settings, at(0));
  REQUIRE(settling.settledAt() == at(0) + settings.shortest);
  settling.onMembers(50, at(1000));
  REQUIRE(settling.settledAt() == at(1000) + settings.quiet);
  settling.onMembers(52, at(1500));
  REQUIRE(settling.settledAt() == at(1000) + settings.quiet);
  settling.onMembers(290, at(1700));
  REQUIRE(settling.settledAt() == at(1700) + settings.quiet);
}

TEST_CASE("a member table that keeps growing counts as complete after the maximum wait", "[serving]") {
  const FleetSettlingSettings settings;
  FleetSettling settling(settings, at(0));
  for (int count = 1; count < 500; count += 20) {
    settling.onMembers(static_cast<std::size_t>(count), at(count * 10));
  }
  REQUIRE(settling.settledAt() == at(0) + settings.longest);
}

}  // namespace oakpier::serving
