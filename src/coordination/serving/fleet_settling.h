#pragma once

/// Tells when a daemon that has started may rely on its member table: once the table has stopped growing for
/// a while, or after the longest time that a table takes to become whole.

#include <algorithm>
#include <cstddef>

#include "state/time.h"

namespace oakpier::serving {

struct FleetSettlingSettings {
  /// Not before: the first answers of other daemons have to come.
  Duration shortest = std::chrono::milliseconds(1500);
  /// Growth that ends for this long is over: some rounds of comparing tables, a quarter of a second each.
  Duration quiet = std::chrono::milliseconds(900);
  /// At the latest.
  Duration longest = std::chrono::seconds(4);
  /// Growth by less than this share of the members is none.
  double growth = 0.1;
};

class FleetSettling {
 public:
  FleetSettling(const FleetSettlingSettings& settings, Moment startedAt)
      : settings_(settings), startedAt_(startedAt), grownAt_(startedAt) {}

  /// The number of known daemons, this one included.
  void onMembers(std::size_t count, Moment now) {
    const double grown = static_cast<double>(count_) * (1.0 + settings_.growth);
    if (static_cast<double>(count) > grown) {
      count_ = count;
      grownAt_ = now;
    }
  }

  /// When the table may be relied on, unless it grows before.
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
