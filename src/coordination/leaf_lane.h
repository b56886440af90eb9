#pragma once

/// Per-leaf state at the owner: the queue by priority class and the requests in flight.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/leaf_limit.h"
#include "oakpier/peer.pb.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier {

/// One leaf request received from an entry daemon.
struct LeafTask {
  Endpoint entry;
  std::shared_ptr<const WorkBatch> batch;
  int item = 0;
  Moment deadline{};

  const WorkItem& workItem() const { return batch->items(item); }
};

/// Strict priority queue of tasks; FIFO within a priority.
class LeafQueue {
 public:
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

  /// Number of queued tasks that precede a new one of `priority`.
  std::size_t aheadOf(std::uint32_t priority) const;

  void push(LeafTask task);
  LeafTask pop();

  /// Removes and returns the newest task of the lowest class that ranks below `priority`; empty when there is
  /// none.
  std::optional<LeafTask> evictBelow(std::uint32_t priority);

  /// Removes and returns every task for which `matches` is true.
  template <typename Predicate>
  std::vector<LeafTask> extract(Predicate matches) {
    std::vector<LeafTask> extracted;
    for (auto& [priority, tasks] : byPriority_) {
      for (auto task = tasks.begin(); task != tasks.end();) {
        if (matches(*task)) {
          extracted.push_back(std::move(*task));
          task = tasks.erase(task);
          --size_;
        } else {
          ++task;
        }
      }
    }
    return extracted;
  }

 private:
  /// Lower numbers are higher priority.
  std::map<std::uint32_t, std::deque<LeafTask>> byPriority_;
  std::size_t size_ = 0;
};

/// Queue, concurrency limit and last reported state of one leaf.
struct LeafLane {
  explicit LeafLane(std::uint32_t share) : connectionShare(share), limit(share) {}

  Endpoint address;
  /// Maximum number of connections, and so of requests in flight, from this owner to the leaf.
  std::uint32_t connectionShare;
  LeafLimit limit;
  LeafQueue queue;
  std::uint32_t inFlight = 0;
  LeafState state;
  bool stateKnown = false;
  Moment stateAt{};
  bool statusCheckPending = false;
  std::uint32_t failures = 0;
  Moment usedAt{};
  /// Moving average of the leaf's time per request.
  Duration serviceTime = std::chrono::milliseconds(5);

  /// Estimated queueing delay of a new task of `priority`.
  Duration expectedWait(std::uint32_t priority) const;
};

}  // namespace oakpier
