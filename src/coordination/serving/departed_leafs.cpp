#include "coordination/serving/departed_leafs.h"

namespace oakpier::serving {

namespace {

/// A source comes back from a copy that is some seconds old, and forgets its own history after 20 s on the
/// deployments that tell a time.
constexpr Duration kRemembered = std::chrono::seconds(60);
/// As many ends of records as are kept for daemons that ask. By arithmetic, 250 bytes each, about a megabyte.
constexpr std::size_t kMostRemembered = 4096;

}  // namespace

void DepartedLeafs::add(const LeafIncarnation& life, Moment now) {
  byId_[life.id] = Departure{life, now};
  order_.push_back(Departure{life, now});
  while (order_.size() > kMostRemembered) {
    forgetOldest();
  }
}

bool DepartedLeafs::include(const LeafIncarnation& life) const {
  const auto found = byId_.find(life.id);
  return found != byId_.end() && found->second.life == life;
}

void DepartedLeafs::onTimer(Moment now) {
  while (!order_.empty() && now - order_.front().at > kRemembered) {
    forgetOldest();
  }
}

void DepartedLeafs::forgetOldest() {
  const Departure& oldest = order_.front();
  const auto found = byId_.find(oldest.life.id);
  if (found != byId_.end() && found->second.at == oldest.at) {
    byId_.erase(found);
  }
  order_.pop_front();
}

}  // namespace oakpier::serving
