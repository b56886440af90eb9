#pragma once

/// Admission of queries by class: when capacity is short, lower classes are refused first, at once.

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

#include "state/routing_table.h"
#include "state/time.h"

namespace oakpier {

/// Thread-safe. Counts queries in progress, in all and by class.
class Admission {
 public:
  Admission(std::uint32_t maxQueries, bool enabled) : maxQueries_(maxQueries), enabled_(enabled) {}

  /// Takes a place for a query of `entry`; false when its class must give way. Each true needs one `release`.
  bool admit(const ClassEntry& entry);
  /// Ends a query that took `elapsed`.
  void release(const ClassEntry& entry, Duration elapsed);

  /// When a refused query has a chance: the time in which a place comes free, at the recent rate.
  Duration retryAfter() const;

  std::uint32_t inFlight() const { return inFlight_.load(std::memory_order_relaxed); }

 private:
  /// Each step of priority leaves this share of the places to those above it.
  static constexpr double kReservePerPriority = 0.1;
  static constexpr double kLowestShare = 0.5;
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
