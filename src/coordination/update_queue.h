#pragma once

/// What a daemon still has to tell others about members: each subject is sent a bounded number of times, the
/// newest first.

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

#include "state/endpoint.h"

namespace oakpier {

struct UpdateQueueSettings {
  std::size_t perMessage = 8;
  /// With many updates waiting, as after a healed cut, messages carry up to this many.
  std::size_t perMessageWhenBehind = 40;
};

/// Not thread-safe.
class UpdateQueue {
 public:
  explicit UpdateQueue(const UpdateQueueSettings& settings) : settings_(settings) {}

  /// What is believed of `subject` is to be sent this many times from now on.
  void add(const Endpoint& subject, int transmissions);
  /// The subjects for the next message; counts as sent.
  std::vector<Endpoint> take();
  bool empty() const { return subjects_.empty(); }
  void clear();

 private:
  UpdateQueueSettings settings_;
  /// In the order in which they are sent.
  std::deque<Endpoint> subjects_;
  std::unordered_map<Endpoint, int> transmissionsLeft_;
};

}  // namespace oakpier
