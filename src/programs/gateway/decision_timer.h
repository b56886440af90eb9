#pragma once

/// Calls a state machine when its next decision is due. It is re-armed after every event; re-arming for the
/// same time does nothing.

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <utility>

#include "state/time.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

class DecisionTimer {
 public:
  explicit DecisionTimer(boost::asio::io_context& context) : timer_(context) {}

  /// `onDue` must keep alive what it uses, including this timer, unless that outlives the event loop.
  /// `kNever` disarms the timer.
  void arm(Moment due, std::function<void()> onDue) {
    if (due == armedFor_) {
      return;
    }
    armedFor_ = due;
    ++armings_;
    if (due == kNever) {
      timer_.cancel();
      return;
    }
    sleep(std::move(onDue));
  }

 private:
  /// Asio timers do not advance while the machine is suspended. Waking at least this often bounds how late a
  /// decision is after a resume.
  static constexpr Duration kMaxSleep = std::chrono::milliseconds(250);

  void sleep(std::function<void()> onDue) {
    setFor(timer_, std::min(armedFor_, steadyNow() + kMaxSleep));
    timer_.async_wait(
        [this, arming = armings_, onDue = std::move(onDue)](const boost::system::error_code& error) mutable {
          // Cancelling has no effect on a handler that is queued already.
          if (error || arming != armings_) {
            return;
          }
          if (steadyNow() < armedFor_) {
            sleep(std::move(onDue));
            return;
          }
          armedFor_ = kNever;
          onDue();
        });
  }

  boost::asio::steady_timer timer_;
  Moment armedFor_ = kNever;
  /// Number of times that it was armed or disarmed.
  std::uint64_t armings_ = 0;
};

}  // namespace oakpier::serving
