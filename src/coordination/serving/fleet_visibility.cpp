#include "coordination/serving/fleet_visibility.h"

#include <algorithm>

#include "coordination/serving/quota_plan.h"

namespace oakpier::serving {

void FleetVisibility::onDaemons(const FleetCount& count, Moment now) {
  while (!maxima_.empty() && maxima_.back().daemons <= count_.known) {
    maxima_.pop_back();
  }
  maxima_.push_back({now, count_.known});
  count_ = count;
  count_.alive = std::max<std::size_t>(1, count.alive);
  count_.known = std::max(count_.alive, count.known);
}

std::size_t FleetVisibility::fleetSize(Moment now) {
  while (!maxima_.empty() && now - maxima_.front().endedAt > kMaximumRetention) {
    maxima_.pop_front();
  }
  const std::size_t maximum =
      maxima_.empty() ? count_.known : std::max(count_.known, maxima_.front().daemons);
  return count_.membershipStable ? maximum : std::max(maximum, count_.expected);
}

std::optional<double> FleetVisibility::reachableFraction(Moment now) {
  if (!reachability_) {
    return std::nullopt;
  }
  return std::min(1.0, reachability_->daemons / static_cast<double>(fleetSize(now)));
}

double FleetVisibility::visibleFraction(Moment now) {
  const double visible = static_cast<double>(count_.alive) / static_cast<double>(fleetSize(now));
  // What the membership has detected began before such probes.
  const bool probesNewer = reachability_ && now - reachability_->probedAt < kMinSuspicionDelay;
  return probesNewer ? std::max(visible, *reachableFraction(now)) : visible;
}

}  // namespace oakpier::serving
