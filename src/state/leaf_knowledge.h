#pragma once

/// What this daemon knows of one leaf from the leaf's own answers. Written and read on the path of requests,
/// so every field is an atomic of its own; readers tolerate a mix of two reports.

#include <atomic>
#include <cstdint>

#include "oakpier/leaf.pb.h"
#include "state/time.h"

namespace oakpier {

class LeafKnowledge {
 public:
  /// Takes in what the leaf said of itself at `now`.
  void record(const LeafState& report, Moment now) {
    oldestSnapshot_.store(report.oldest_snapshot(), std::memory_order_relaxed);
    newestSnapshot_.store(report.newest_snapshot(), std::memory_order_relaxed);
    draining_.store(report.draining(), std::memory_order_relaxed);
    cold_.store(report.cold(), std::memory_order_relaxed);
    reportedInFlight_.store(report.in_flight(), std::memory_order_relaxed);
    consecutiveFailures_.store(0, std::memory_order_relaxed);
    reportedAt_.store(now.time_since_epoch().count(), std::memory_order_release);
  }

  /// Moves the smoothed latency an eighth of the way; a leaf that was never timed counts as fast, so that it
  /// is tried.
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

  /// Requests that this daemon has on the way to the leaf, counted by the sender.
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
