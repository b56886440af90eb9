#include "coordination/serving/fleet_visibility.h"

#include <algorithm>

#include "coordination/serving/quota_plan.h"

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

std::size_t FleetVisibility::fleetSize(Moment now) {
  while (!maxima_.empty() && now - maxima_.front().endedAt > kMaximumRetention) {
    maxima_.pop_front();
  }
  const std::size_t maximum = maxima_.empty() ? alive_ : std::max(alive_, maxima_.front().daemons);
  return membershipStable_ ? maximum : std::max(maximum, expected_);
}

std::optional<double> FleetVisibility::reachableFraction(Moment now) {
  if (!reachability_) {
    return std::nullopt;
  }
  return std::min(1.0, reachability_->daemons / static_cast<double>(fleetSize(now)));
}

double FleetVisibility::visibleFraction(Moment now) {
  const double visible = static_cast<double>(alive_) / static_cast<double>(fleetSize(now));
  // What the membership has detected began before such probes.
  const bool probesNewer = reachability_ && now - reachability_->probedAt < kMinSuspicionDelay;
  return probesNewer ? std::max(visible, *reachableFraction(now)) : visible;
}

}  // namespace oakpier::serving
