#pragma once

/// Estimates a quantile of a service's recent leaf latencies, used as the hedge delay.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <mutex>
#include <optional>

#include "state/time.h"

namespace oakpier {

/// Thread-safe. Reads the last complete window while the next one is filled, so that old latencies expire.
/// A window is complete after `kWindow` and at least `kMinSamples` samples.
class LatencyTracker {
 public:
  explicit LatencyTracker(double quantile)
      : quantile_(quantile), current_(newWindow()), previous_(newWindow()) {}

  void record(Duration latency, Moment now) {
    const std::lock_guard<std::mutex> guard(mutex_);
    rotateIfDue(now);
    current_(static_cast<double>(latency.count()));
  }

  /// Uses the window being filled until one is complete; empty below `kMinSamples` samples.
  std::optional<Duration> estimate() const {
    const std::lock_guard<std::mutex> guard(mutex_);
    for (const Window* window : {&previous_, &current_}) {
      if (boost::accumulators::count(*window) >= kMinSamples) {
        return Duration(static_cast<std::int64_t>(boost::accumulators::p_square_quantile(*window)));
      }
    }
    return std::nullopt;
  }

 private:
  using Window = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile,
                                         boost::accumulators::tag::count>>;
  static constexpr std::size_t kMinSamples = 50;
  static constexpr Duration kWindow = std::chrono::seconds(5);

  Window newWindow() const { return Window(boost::accumulators::quantile_probability = quantile_); }

  void rotateIfDue(Moment now) {
    if (now - startedAt_ < kWindow || boost::accumulators::count(current_) < kMinSamples) {
      return;
    }
    previous_ = current_;
    current_ = newWindow();
    startedAt_ = now;
  }

  mutable std::mutex mutex_;
  double quantile_;
  Window current_;
  Window previous_;
  Moment startedAt_{};
};

}  // namespace oakpier
