#include "coordination/serving/fleet_visibility.h"

#include <algorithm>

namespace oakpier::serving {

void FleetVisibility::onDaemons(std::size_t alive, std::size_t expected, bool membershipStable, Moment now) {
  while (!maxima_.empty() && maxima_.back().daemons <= alive_) {
    maxima_.pop_back();
  }
  maxima_.push_back({now, alive_});
  alive_ = std::max<std::size_t>(1, alive);
  expected_ = expected;
  membershipStable_ = membershipStable;
}

double FleetVisibility::visibleFraction(Moment now) {
  while (!maxima_.empty() && now - maxima_.front().endedAt > kMaximumRetention) {
    maxima_.pop_front();
  }
  const std::size_t maximum = maxima_.empty() ? alive_ : std::max(alive_, maxima_.front().daemons);
  const std::size_t fleet = membershipStable_ ? maximum : std::max(maximum, expected_);
  return static_cast<double>(alive_) / static_cast<double>(fleet);
}

}  // namespace oakpier::serving
