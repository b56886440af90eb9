#pragma once

/// Latency histogram whose bucket bounds start at one millisecond and double; the last bucket is unbounded.

#include <array>
#include <cstddef>
#include <cstdint>

#include "state/time.h"

namespace oakpier::serving {

class LatencyHistogram {
 public:
  static constexpr std::size_t kBuckets = 16;

  void record(Duration latency);
  const std::array<std::uint64_t, kBuckets>& buckets() const { return buckets_; }
  static double upperBoundSeconds(std::size_t bucket);
  double sumSeconds() const { return sumSeconds_; }
  std::uint64_t count() const { return count_; }

 private:
  std::array<std::uint64_t, kBuckets> buckets_{};
  double sumSeconds_ = 0;
  std::uint64_t count_ = 0;
};

}  // namespace oakpier::serving
