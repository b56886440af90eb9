#pragma once

/// Runs a hollow fleet through its day and measures what the control side of a daemon costs and how fast news
/// is.

#include <nlohmann/json.hpp>

#include "state/time.h"

namespace oakpier {

struct HollowOptions {
  std::size_t daemons = 100;
  std::size_t zones = 7;
  std::uint64_t seed = 1;
  Duration steady = std::chrono::seconds(30);
  std::size_t changes = 10;
  std::size_t deaths = 3;
  /// Failures of a day, played in this time; 0 = leave the day out.
  Duration day{0};
  /// How long a region is cut off; 0 = leave it out.
  Duration cut{0};
};

/// Figures of all phases as one JSON object. Times are simulated unless named processor time.
nlohmann::ordered_json runHollowFleet(const HollowOptions& options);

}  // namespace oakpier
