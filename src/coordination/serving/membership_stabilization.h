#pragma once

/// Determines when a newly started daemon treats its member table as complete: when the table has not grown
/// for a quiet period, or when the maximum wait has elapsed.

#include <algorithm>
#include <cstddef>

#include "state/time.h"

namespace oakpier::serving {

struct MembershipStabilizationSettings {
  /// Minimum wait after the start, for the first answers from other daemons.
  Duration minWait = std::chrono::milliseconds(1500);
  /// The table is treated as complete when it has not grown for this long: several anti-entropy rounds of
  /// 250 ms each.
  Duration quietPeriod = std::chrono::milliseconds(900);
  /// Maximum wait after the start.
  Duration maxWait = std::chrono::seconds(4);
  /// Growth by at most this fraction of the members does not restart the quiet period.
  double minGrowth = 0.1;
};

class MembershipStabilization {
 public:
  MembershipStabilization(const MembershipStabilizationSettings& settings, Moment startedAt)
      : settings_(settings), startedAt_(startedAt), lastGrowthAt_(startedAt) {}

  /// `count`: known daemons, including this one.
  void onMembers(std::size_t count, Moment now) {
    const double threshold = static_cast<double>(count_) * (1.0 + settings_.minGrowth);
    if (static_cast<double>(count) > threshold) {
      count_ = count;
      lastGrowthAt_ = now;
    }
  }

  /// When the table counts as complete, provided it does not grow before then.
  Moment stableAt() const {
    const Moment quietUntil = std::max(startedAt_ + settings_.minWait, lastGrowthAt_ + settings_.quietPeriod);
    return std::min(quietUntil, startedAt_ + settings_.maxWait);
  }

 private:
  MembershipStabilizationSettings settings_;
  Moment startedAt_;
  Moment lastGrowthAt_;
  std::size_t count_ = 1;
};

}  // namespace oakpier::serving
