#include "coordination/leaf_lane.h"

namespace oakpier {

std::size_t LeafQueue::aheadOf(std::uint32_t priority) const {
  std::size_t ahead = 0;
  for (const auto& [queued, tasks] : byPriority_) {
    if (queued <= priority) {
      ahead += tasks.size();
    }
  }
  return ahead;
}

void LeafQueue::push(LeafTask task) {
  byPriority_[task.batch->priority()].push_back(std::move(task));
  ++size_;
}

LeafTask LeafQueue::pop() {
  auto first = byPriority_.begin();
  while (first->second.empty()) {
    first = byPriority_.erase(first);
  }
  LeafTask task = std::move(first->second.front());
  first->second.pop_front();
  --size_;
  return task;
}

std::optional<LeafTask> LeafQueue::evictBelow(std::uint32_t priority) {
  for (auto lowest = byPriority_.rbegin(); lowest != byPriority_.rend(); ++lowest) {
    if (lowest->first <= priority) {
      return std::nullopt;
    }
    if (!lowest->second.empty()) {
      LeafTask task = std::move(lowest->second.back());
      lowest->second.pop_back();
      --size_;
      return task;
    }
  }
  return std::nullopt;
}

Duration LeafLane::expectedWait(std::uint32_t priority) const {
  const std::uint32_t slots = std::max(1U, limit.current());
  const std::size_t ahead = queue.aheadOf(priority) + inFlight;
  if (ahead < slots) {
    return Duration(0);
  }
  return serviceTime * static_cast<std::int64_t>(ahead - slots + 1) / slots;
}

}  // namespace oakpier
