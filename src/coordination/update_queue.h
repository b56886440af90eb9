#pragma once

/// Members whose state is to be disseminated with probes and replies. Each is sent a bounded number of times;
/// new ones are sent first, and one with transmissions left returns to the end of the queue.

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

#include "state/endpoint.h"

namespace oakpier {

struct UpdateQueueSettings {
  /// Maximum number of updates per message.
  std::size_t perMessage = 8;
  /// Maximum per message while the queue is long, for example after a network partition has healed.
  std::size_t perMessageWithBacklog = 40;
};

/// Not thread-safe.
class UpdateQueue {
 public:
  explicit UpdateQueue(const UpdateQueueSettings& settings) : settings_(settings) {}

  /// Queues `subject` to be sent `transmissions` times, replacing what remained of an earlier call. A subject
  /// that is still queued keeps its position.
  void add(const Endpoint& subject, int transmissions);
  /// Returns the members to report in the next message and counts them as sent once.
  std::vector<Endpoint> take();
  bool empty() const { return subjects_.empty(); }
  void clear();

 private:
  UpdateQueueSettings settings_;
  /// In sending order.
  std::deque<Endpoint> subjects_;
  std::unordered_map<Endpoint, int> transmissionsLeft_;
};

}  // namespace oakpier
