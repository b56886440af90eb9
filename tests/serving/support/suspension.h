#pragma once

/// Simulates suspended machines: CLOCK_BOOTTIME continues during suspension, the clock of the timers does
/// not. The test program wraps clock_gettime to advance CLOCK_BOOTTIME as a suspension does.

#include "state/time.h"

namespace oakpier::serving {

constexpr std::chrono::seconds kSuspensionTime(100);

/// A completed suspension of `kSuspensionTime`; its destructor sets the clock back.
class Suspension {
 public:
  Suspension();
  Suspension(const Suspension&) = delete;
  Suspension& operator=(const Suspension&) = delete;
  ~Suspension();
};

}  // namespace oakpier::serving
