#include "coordination/serving/leaf_tombstones.h"

namespace oakpier::serving {

namespace {

/// Longer than the age of a backup, which is some seconds, and than the source's history, which is 20 s on
/// deployments that state it.
constexpr Duration kRetention = std::chrono::seconds(60);
/// As many as the relay keeps deletions. At 250 bytes each, about 1 MB.
constexpr std::size_t kMaxTombstones = 4096;

}  // namespace

void LeafTombstones::add(const LeafIncarnation& incarnation, Moment now) {
  byId_[incarnation.id] = Tombstone{incarnation, now};
  order_.push_back(Tombstone{incarnation, now});
  while (order_.size() > kMaxTombstones) {
    removeOldest();
  }
}

bool LeafTombstones::contains(const LeafIncarnation& incarnation) const {
  const auto found = byId_.find(incarnation.id);
  return found != byId_.end() && found->second.incarnation == incarnation;
}

void LeafTombstones::onTimer(Moment now) {
  while (!order_.empty() && now - order_.front().removedAt > kRetention) {
    removeOldest();
  }
}

void LeafTombstones::removeOldest() {
  const Tombstone& oldest = order_.front();
  const auto found = byId_.find(oldest.incarnation.id);
  if (found != byId_.end() && found->second.removedAt == oldest.removedAt) {
    byId_.erase(found);
  }
  order_.pop_front();
}

}  // namespace oakpier::serving
