#pragma once

/// The system's monotonic clock, for transports and programs. State and coordination are passed the time.

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <ctime>

#include "state/time.h"

namespace oakpier {

/// CLOCK_BOOTTIME, since std::chrono::steady_clock stops while the machine is suspended. With that clock,
/// after a suspension, peers would overestimate the age of each frame from this process by the suspended
/// time until the process ends, and its deadlines, leases and failure detection would be extended by it.
inline Moment steadyNow() {
  std::timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const auto sinceBoot = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return Moment(std::chrono::duration_cast<Duration>(sinceBoot));
}

/// Sets the timer for a time of `steadyNow`. Timers stop while the machine is suspended and expire late by
/// the suspended time, so callers with hard deadlines must also check the clock.
inline void setFor(boost::asio::steady_timer& timer, Moment moment) {
  timer.expires_after(std::max(moment - steadyNow(), Duration(0)));
}

}  // namespace oakpier
