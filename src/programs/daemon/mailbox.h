#pragma once

/// A multi-producer, single-consumer queue with a timed wait.

#include <condition_variable>
#include <mutex>
#include <vector>

#include "state/time.h"
#include "transport/steady_clock.h"

namespace oakpier {

template <typename Value>
class Mailbox {
 public:
  void push(Value value) {
    {
      const std::lock_guard<std::mutex> guard(mutex_);
      values_.push_back(std::move(value));
    }
    filled_.notify_one();
  }

  /// Waits for at least one value and returns all; empty if `deadline` passes first.
  std::vector<Value> takeUntil(Moment deadline) {
    std::unique_lock<std::mutex> lock(mutex_);
    filled_.wait_until(lock, deadline, [this] { return !values_.empty(); });
    std::vector<Value> taken;
    taken.swap(values_);
    return taken;
  }

 private:
  std::mutex mutex_;
  std::condition_variable filled_;
  std::vector<Value> values_;
};

}  // namespace oakpier
