#include "programs/gateway/latency_histogram.h"

#include <limits>

namespace oakpier::serving {

namespace {

constexpr double kFirstBoundSeconds = 0.001;

}  // namespace

double LatencyHistogram::upperBoundSeconds(std::size_t bucket) {
  return bucket + 1 == kBuckets ? std::numeric_limits<double>::infinity()
                                : kFirstBoundSeconds * static_cast<double>(1U << bucket);
}

void LatencyHistogram::record(Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  std::size_t bucket = 0;
  while (seconds > upperBoundSeconds(bucket)) {
    ++bucket;
  }
  ++buckets_.at(bucket);
  sumSeconds_ += seconds;
  ++count_;
}

}  // namespace oakpier::serving
