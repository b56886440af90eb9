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

/// Thread-safe. Uses two windows, one being filled and one complete, so that old latencies expire.
class LatencyTracker {
 public:
  explicit LatencyTracker(double quantile) : quantile_(quantile), filling_(fresh()), complete_(fresh()) {}

  void record(Duration latency, Moment now) {
    const std::lock_guard<std::mutex> guard(mutex_);
    rotateWhenDue(now);
    filling_(static_cast<double>(latency.count()));
  }

  /// Empty until a window has `kEnough` samples.
  std::optional<Duration> estimate() const {
    const std::lock_guard<std::mutex> guard(mutex_);
    for (const Window* window : {&complete_, &filling_}) {
      if (boost::accumulators::count(*window) >= kEnough) {
        return Duration(static_cast<std::int64_t>(boost::accumulators::p_square_quantile(*window)));
      }
    }
    return std::nullopt;
  }

 private:
  using Window = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile,
                                         boost::accumulators::tag::count>>;
  static constexpr std::size_t kEnough = 50;
  static constexpr Duration kWindow = std::chrono::seconds(5);

  Window fresh() const { return Window(boost::accumulators::quantile_probability = quantile_); }

  void rotateWhenDue(Moment now) {
    if (now - startedAt_ < kWindow || boost::accumulators::count(filling_) < kEnough) {
      return;
    }
    complete_ = filling_;
    filling_ = fresh();
    startedAt_ = now;
  }

  mutable std::mutex mutex_;
  double quantile_;
  Window filling_;
  Window complete_;
  Moment startedAt_{};
};

}  // namespace oakpier
