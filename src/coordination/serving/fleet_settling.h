#pragma once

/// Determines when the member table of a newly started daemon is complete: when it has not grown for a quiet
/// period, or when the maximum wait has elapsed.

#include <algorithm>
#include <cstddef>

#include "state/time.h"

namespace oakpier::serving {

struct FleetSettlingSettings {
  /// Minimum wait after the start, for the first answers from other daemons.
  Duration shortest = std::chrono::milliseconds(1500);
  /// The table is complete when it has not grown for this long: several anti-entropy rounds of 250 ms each.
  Duration quiet = std::chrono::milliseconds(900);
  /// Maximum wait after the start.
  Duration longest = std::chrono::seconds(4);
  /// Growth by at most this fraction of the members does not restart the quiet period.
  double growth = 0.1;
};

class FleetSettling {
 public:
  FleetSettling(const FleetSettlingSettings& settings, Moment startedAt)
      : settings_(settings), startedAt_(startedAt), grownAt_(startedAt) {}

  /// `count`: known daemons, including this one.
  void onMembers(std::size_t count, Moment now) {
    const double grown = static_cast<double>(count_) * (1.0 + settings_.growth);
    if (static_cast<double>(count) > grown) {
      count_ = count;
      grownAt_ = now;
    }
  }

  /// When the table counts as complete, provided it does not grow before then.
  Moment settledAt() const {
    const Moment quiet = std::max(startedAt_ + settings_.shortest, grownAt_ + settings_.quiet);
    return std::min(quiet, startedAt_ + settings_.longest);
  }

 private:
  FleetSettlingSettings settings_;
  Moment startedAt_;
  Moment grownAt_;
  std::size_t count_ = 1;
};

}  // namespace oakpier::serving
