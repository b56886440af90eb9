#pragma once

/// The state of one leaf as seen by this daemon, from the leaf's own reports. Written and read on the request
/// path, so each field is a separate atomic; readers may see fields of two different reports.

#include <atomic>
#include <cstdint>

#include "oakpier/leaf.pb.h"
#include "state/time.h"

namespace oakpier {

class LeafKnowledge {
 public:
  /// Stores a report received at `now` and resets the count of consecutive failures.
  void record(const LeafState& report, Moment now) {
    oldestSnapshot_.store(report.oldest_snapshot(), std::memory_order_relaxed);
    newestSnapshot_.store(report.newest_snapshot(), std::memory_order_relaxed);
    draining_.store(report.draining(), std::memory_order_relaxed);
    cold_.store(report.cold(), std::memory_order_relaxed);
    reportedInFlight_.store(report.in_flight(), std::memory_order_relaxed);
    consecutiveFailures_.store(0, std::memory_order_relaxed);
    reportedAt_.store(now.time_since_epoch().count(), std::memory_order_release);
  }

  /// Updates an exponentially weighted moving average with weight 1/8. It starts at 0, so that a leaf without
  /// samples is preferred and gets measured.
  void recordLatency(Duration latency) {
    const std::int64_t before = latency_.load(std::memory_order_relaxed);
    latency_.store(before + (latency.count() - before) / kLatencySmoothing, std::memory_order_relaxed);
  }
  Duration latency() const { return Duration(latency_.load(std::memory_order_relaxed)); }

  void recordFailure() { consecutiveFailures_.fetch_add(1, std::memory_order_relaxed); }

  bool known() const { return reportedAt_.load(std::memory_order_acquire) != kNotReported; }
  Moment reportedAt() const { return Moment(Duration(reportedAt_.load(std::memory_order_acquire))); }
  bool holds(std::uint64_t snapshot) const {
    return oldestSnapshot_.load(std::memory_order_relaxed) <= snapshot && snapshot <= newestSnapshot();
  }
  std::uint64_t oldestSnapshot() const { return oldestSnapshot_.load(std::memory_order_relaxed); }
  std::uint64_t newestSnapshot() const { return newestSnapshot_.load(std::memory_order_relaxed); }
  bool draining() const { return draining_.load(std::memory_order_relaxed); }
  bool cold() const { return cold_.load(std::memory_order_relaxed); }
  std::uint32_t reportedInFlight() const { return reportedInFlight_.load(std::memory_order_relaxed); }
  std::uint32_t consecutiveFailures() const { return consecutiveFailures_.load(std::memory_order_relaxed); }

  /// Requests in flight from this daemon to the leaf, counted by the sender; `reportedInFlight` is the leaf's
  /// own count.
  std::uint32_t outstanding() const { return outstanding_.load(std::memory_order_relaxed); }
  void addOutstanding() { outstanding_.fetch_add(1, std::memory_order_relaxed); }
  void removeOutstanding() { outstanding_.fetch_sub(1, std::memory_order_relaxed); }

 private:
  static constexpr std::int64_t kNotReported = INT64_MIN;
  static constexpr std::int64_t kLatencySmoothing = 8;

  std::atomic<std::uint64_t> oldestSnapshot_{0};
  std::atomic<std::uint64_t> newestSnapshot_{0};
  std::atomic<std::int64_t> reportedAt_{kNotReported};
  std::atomic<std::int64_t> latency_{0};
  std::atomic<std::uint32_t> reportedInFlight_{0};
  std::atomic<std::uint32_t> outstanding_{0};
  std::atomic<std::uint32_t> consecutiveFailures_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> cold_{false};
};

}  // namespace oakpier
