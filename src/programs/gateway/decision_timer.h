#pragma once

/// Calls a state machine when its next decision is due. Armed anew after every event; a moment that has not
/// changed costs nothing.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <utility>

#include "state/time.h"

namespace oakpier::serving {

class DecisionTimer {
 public:
  explicit DecisionTimer(boost::asio::io_context& context) : timer_(context) {}

  /// `onDue` keeps alive what it uses. `kNever` disarms.
  void arm(Moment due, std::function<void()> onDue) {
    if (due == armedFor_) {
      return;
    }
    armedFor_ = due;
    if (due == kNever) {
      timer_.cancel();
      return;
    }
    timer_.expires_at(due);
    timer_.async_wait([this, onDue = std::move(onDue)](const boost::system::error_code& error) {
      if (!error) {
        armedFor_ = kNever;
        onDue();
      }
    });
  }

 private:
  boost::asio::steady_timer timer_;
  Moment armedFor_ = kNever;
};

}  // namespace oakpier::serving
