#pragma once

/// Admission control of queries by priority class: near capacity, lower classes are refused first.

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

#include "state/routing_table.h"
#include "state/time.h"

namespace oakpier {

/// Thread-safe. Counts queries in flight, in total and by class.
class Admission {
 public:
  /// `enabled` = false: only `maxQueries` limits, whatever the class.
  Admission(std::uint32_t maxQueries, bool enabled) : maxQueries_(maxQueries), enabled_(enabled) {}

  /// Admits a query of class `entry`; false if it is refused. Each admitted query needs one `release`.
  bool admit(const ClassEntry& entry);
  /// Ends an admitted query that took `elapsed`.
  void release(const ClassEntry& entry, Duration elapsed);

  /// Retry-after time for refused queries: the moving average of query times, at least 1 ms.
  Duration retryAfter() const;

  std::uint32_t inFlight() const { return inFlight_.load(std::memory_order_relaxed); }

 private:
  /// Each step of the priority number (lower numbers are higher priority) lowers a class's share of
  /// `maxQueries_` by this, down to `kMinShare`.
  static constexpr double kReservePerPriority = 0.1;
  static constexpr double kMinShare = 0.5;
  static constexpr std::int64_t kSmoothing = 16;

  std::uint32_t limitOf(const ClassEntry& entry) const;

  std::uint32_t maxQueries_;
  bool enabled_;
  std::atomic<std::uint32_t> inFlight_{0};
  std::atomic<std::int64_t> queryTimeUs_{20'000};
  mutable std::mutex mutex_;
  std::unordered_map<std::string, std::uint32_t> byClass_;
};

}  // namespace oakpier
