#include "state/time.h"

#include <catch2/catch.hpp>
#include <limits>

namespace oakpier {

TEST_CASE("a duration that somebody else sends can be added to a moment", "[state]") {
  const Moment now{std::chrono::hours(1)};
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();
  for (const std::uint64_t milliseconds : {kMax, kMax / 2, kMax / 1000, kMaxMilliseconds}) {
    REQUIRE(now + fromMilliseconds(milliseconds) > now);
    REQUIRE(now + fromMilliseconds(milliseconds) + fromMilliseconds(milliseconds) < kNever);
  }
  REQUIRE(fromMilliseconds(1500) == std::chrono::milliseconds(1500));
}

}  // namespace oakpier
