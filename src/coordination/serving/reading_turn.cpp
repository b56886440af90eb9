#include "coordination/serving/reading_turn.h"

#include <algorithm>

#include "coordination/serving/suppression_delay.h"

namespace oakpier::serving {

void ReadingTurn::start(bool others, Moment now) { aloneAt_ = others ? now + settings_.aloneAfter : now; }

void ReadingTurn::setMembers(const std::vector<Endpoint>& members) {
  place_ =
      static_cast<std::size_t>(std::lower_bound(members.begin(), members.end(), self_) - members.begin());
  count_ = std::max<std::size_t>(1, members.size());
}

void ReadingTurn::onNews(const Endpoint& reader) {
  if (reader < self_) {
    steppedIn_ = false;
  }
}

void ReadingTurn::onFailure() {
  lastCallFailed_ = true;
  steppedIn_ = false;
}

bool ReadingTurn::first(Moment now) const {
  const bool mayBeAlone = count_ > 1 || now >= aloneAt_;
  return place_ == 0 && mayBeAlone;
}

bool ReadingTurn::reads(Moment now) const { return !lastCallFailed_ && (steppedIn_ || first(now)); }

Duration ReadingTurn::stagger(Moment now, RandomEngine& random) const {
  if (first(now)) {
    return Duration(0);
  }
  if (place_ > 0 && place_ <= settings_.staggeredDaemons) {
    return settings_.newsGrace + settings_.staggerStep * static_cast<int>(place_);
  }
  const Duration after =
      settings_.newsGrace + settings_.staggerStep * static_cast<int>(settings_.staggeredDaemons);
  const Duration spread =
      std::min(settings_.longestSpread, settings_.spreadPerDaemon * static_cast<int>(count_));
  return after + suppressionDelay(spread, count_, random);
}

Duration ReadingTurn::longestBackoff() const {
  return std::clamp(settings_.backoffPerDaemon * static_cast<int>(count_), settings_.shortestBackoff,
                    settings_.longestBackoff);
}

}  // namespace oakpier::serving
