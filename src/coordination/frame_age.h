#pragma once

/// Estimates the age of a received frame without synchronised clocks: the smallest clock offset seen from a
/// sender's incarnation is the baseline, and the excess over it is the age. Detects frames that were queued
/// while either process was paused or during a network partition.

#include <algorithm>
#include <cstdint>
#include <unordered_map>

#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier {

/// Not thread-safe; used by the receiving thread only.
class FrameAge {
 public:
  /// `sentAtUs` is on the sender's steady clock.
  Duration ageOf(const Endpoint& sender, std::uint64_t incarnation, std::uint64_t sentAtUs,
                 Moment receivedAt) {
    const std::int64_t offset = receivedAt.time_since_epoch().count() - static_cast<std::int64_t>(sentAtUs);
    Baseline& baseline = baselines_[sender];
    if (baseline.incarnation != incarnation) {
      baseline = Baseline{incarnation, offset};
    }
    baseline.minOffset = std::min(baseline.minOffset, offset);
    return Duration(offset - baseline.minOffset);
  }

 private:
  struct Baseline {
    std::uint64_t incarnation = 0;
    std::int64_t minOffset = 0;
  };
  std::unordered_map<Endpoint, Baseline> baselines_;
};

}  // namespace oakpier
