#pragma once

/// Budget of retries and hedges as a share of regular requests, which bounds load amplification.

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace oakpier {

/// Token bucket refilled by regular requests instead of by time. Thread-safe, lock-free.
class ShareBudget {
 public:
  /// Each regular leaf request (the first of a shard in a plan) earns `percent` hundredths of a token.
  void earn(std::uint32_t requests, std::uint32_t percent) {
    const std::int64_t earned = std::int64_t{requests} * percent * kUnitsPerToken / 100;
    const std::int64_t before = units_.fetch_add(earned, std::memory_order_relaxed);
    if (before + earned > kBurst * kUnitsPerToken) {
      units_.store(kBurst * kUnitsPerToken, std::memory_order_relaxed);
    }
  }

  /// Takes one token; false if none is left.
  bool spend() {
    std::int64_t before = units_.load(std::memory_order_relaxed);
    while (before >= kUnitsPerToken) {
      if (units_.compare_exchange_weak(before, before - kUnitsPerToken, std::memory_order_relaxed)) {
        return true;
      }
    }
    return false;
  }

 private:
  static constexpr std::int64_t kUnitsPerToken = 10'000;
  /// Bucket capacity in tokens: lets a service with few requests retry and hedge too.
  static constexpr std::int64_t kBurst = 20;

  std::atomic<std::int64_t> units_{kBurst * kUnitsPerToken};
};

}  // namespace oakpier
