#pragma once

/// A bound on extra work (retries, hedges) as a share of ordinary work, so that trouble cannot multiply load.

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace oakpier {

/// Token bucket fed by ordinary requests instead of by time. Lock-free.
class ShareBudget {
 public:
  /// Each ordinary request earns `percent` hundredths of one extra request.
  void earn(std::uint32_t requests, std::uint32_t percent) {
    const std::int64_t earned = std::int64_t{requests} * percent * kUnitsPerToken / 100;
    const std::int64_t before = units_.fetch_add(earned, std::memory_order_relaxed);
    if (before + earned > kBurst * kUnitsPerToken) {
      units_.store(kBurst * kUnitsPerToken, std::memory_order_relaxed);
    }
  }

  /// Takes one token; false when the budget is spent.
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
  /// Tokens that may be saved up, enough for a single query in a quiet service to be helped.
  static constexpr std::int64_t kBurst = 20;

  std::atomic<std::int64_t> units_{kBurst * kUnitsPerToken};
};

}  // namespace oakpier
