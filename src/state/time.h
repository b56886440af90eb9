#pragma once

/// Time for state and coordination: microseconds of a monotonic clock that also runs while the machine is
/// suspended. The caller passes the current time.

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace oakpier {

using Duration = std::chrono::microseconds;

/// A time point on the daemon's monotonic clock; not comparable between daemons.
using Moment = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline constexpr Moment kNever = Moment::max();

/// 100 years: a moment plus or minus a few of them can be represented.
inline constexpr std::uint64_t kMaxMilliseconds = 100ULL * 365 * 24 * 60 * 60 * 1000;

/// Longer durations, which others may send, are cut to `kMaxMilliseconds`.
inline Duration fromMilliseconds(std::uint64_t milliseconds) {
  return std::chrono::milliseconds(std::min(milliseconds, kMaxMilliseconds));
}

/// Rounds down to milliseconds; 0 for negative durations.
inline std::uint32_t toMilliseconds(Duration duration) {
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return count < 0 ? 0 : static_cast<std::uint32_t>(count);
}

}  // namespace oakpier
