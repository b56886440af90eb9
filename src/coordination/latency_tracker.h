#pragma once

/// Learns a quantile of recent leaf latencies of one service, from which the hedge delay is taken.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <mutex>
#include <optional>

#include "state/time.h"

namespace oakpier {

/// Two windows: one fills while the other, complete one is read. So the estimate forgets old load.
class LatencyTracker {
 public:
  explicit LatencyTracker(double quantile) : quantile_(quantile), filling_(fresh()), complete_(fresh()) {}

  void record(Duration latency, Moment now) {
    const std::lock_guard<std::mutex> guard(mutex_);
    rotateWhenDue(now);
    filling_(static_cast<double>(latency.count()));
  }

  /// Empty until enough latencies were seen.
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
