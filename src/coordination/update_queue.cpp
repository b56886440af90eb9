#include "coordination/update_queue.h"

#include <algorithm>

namespace oakpier {

namespace {

/// With more queued members than this, messages carry up to `perMessageWithBacklog` updates.
constexpr std::size_t kBacklogThreshold = 100;

}  // namespace

void UpdateQueue::add(const Endpoint& subject, int transmissions) {
  const bool added = transmissionsLeft_.insert_or_assign(subject, transmissions).second;
  if (added) {
    subjects_.push_front(subject);
  }
}

std::vector<Endpoint> UpdateQueue::take() {
  const std::size_t maxCount =
      subjects_.size() > kBacklogThreshold ? settings_.perMessageWithBacklog : settings_.perMessage;
  const std::size_t count = std::min(maxCount, subjects_.size());
  std::vector<Endpoint> taken;
  taken.reserve(count);
  for (std::size_t number = 0; number < count; ++number) {
    const Endpoint subject = subjects_.front();
    subjects_.pop_front();
    taken.push_back(subject);
    if (--transmissionsLeft_[subject] > 0) {
      subjects_.push_back(subject);
    } else {
      transmissionsLeft_.erase(subject);
    }
  }
  return taken;
}

void UpdateQueue::clear() {
  subjects_.clear();
  transmissionsLeft_.clear();
}

}  // namespace oakpier
