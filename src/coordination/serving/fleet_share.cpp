#include "coordination/serving/fleet_share.h"

#include <algorithm>

namespace oakpier::serving {

void FleetShare::onDaemons(std::size_t answering, std::size_t planned, bool settled, Moment now) {
  while (!earlier_.empty() && earlier_.back().daemons <= answering_) {
    earlier_.pop_back();
  }
  earlier_.push_back({now, answering_});
  answering_ = std::max<std::size_t>(1, answering);
  planned_ = planned;
  settled_ = settled;
}

double FleetShare::seen(Moment now) {
  while (!earlier_.empty() && now - earlier_.front().endedAt > kPeakRemembered) {
    earlier_.pop_front();
  }
  const std::size_t peak = earlier_.empty() ? answering_ : std::max(answering_, earlier_.front().daemons);
  const std::size_t fleet = settled_ ? peak : std::max(peak, planned_);
  return static_cast<double>(answering_) / static_cast<double>(fleet);
}

}  // namespace oakpier::serving
