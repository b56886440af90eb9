#pragma once

/// The requests of one leaf at its owner: those waiting, by class, and those in progress, within the leaf's
/// limit.

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

/// One leaf request that an entry daemon handed over.
struct LeafTask {
  Endpoint entry;
  std::shared_ptr<const WorkBatch> batch;
  int item = 0;
  Moment deadline{};

  const WorkItem& workItem() const { return batch->items(item); }
};

/// Waiting tasks in strict order of class, first come first served within one.
class LeafQueue {
 public:
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

  /// Tasks that go before a new one of `priority`.
  std::size_t aheadOf(std::uint32_t priority) const;

  void push(LeafTask task);
  LeafTask pop();

  /// Removes and returns the youngest task of the lowest class below `priority`; empty when there is none.
  std::optional<LeafTask> evictBelow(std::uint32_t priority);

  /// Removes and returns every task that `matches`.
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
  /// Lower numbers pay more and go first.
  std::map<std::uint32_t, std::deque<LeafTask>> byPriority_;
  std::size_t size_ = 0;
};

/// What an owner keeps of one leaf.
struct LeafLane {
  explicit LeafLane(std::uint32_t share) : connectionShare(share), limit(share) {}

  Endpoint address;
  /// Most connections, and so requests in progress, that this owner may have at the leaf.
  std::uint32_t connectionShare;
  LeafLimit limit;
  LeafQueue queue;
  std::uint32_t inFlight = 0;
  LeafState state;
  bool stateKnown = false;
  Moment stateAt{};
  bool validating = false;
  std::uint32_t failures = 0;
  Moment usedAt{};
  /// Smoothed time that the leaf takes for one request.
  Duration serviceTime = std::chrono::milliseconds(5);

  /// How long a new task of `priority` would wait for a slot.
  Duration expectedWait(std::uint32_t priority) const;
};

}  // namespace oakpier
