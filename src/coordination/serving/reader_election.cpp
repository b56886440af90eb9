#include "coordination/serving/reader_election.h"

#include <algorithm>
#include <utility>

#include "coordination/serving/suppression_delay.h"

namespace oakpier::serving {

void ReaderElection::start(bool others, Moment now) { aloneAt_ = others ? now + settings_.aloneAfter : now; }

void ReaderElection::setMembers(DaemonOrder members) {
  members_ = std::move(members);
  place_ = members_.rankOf(self_);
  count_ = std::max<std::size_t>(1, members_.size());
}

void ReaderElection::onNews(const Endpoint& reader) {
  if (members_.before(reader, self_)) {
    tookOver_ = false;
  }
}

void ReaderElection::onFailure() {
  lastCallFailed_ = true;
  tookOver_ = false;
}

bool ReaderElection::first(Moment now) const {
  const bool mayBeAlone = count_ > 1 || now >= aloneAt_;
  return place_ == 0 && mayBeAlone;
}

bool ReaderElection::reads(Moment now) const { return !lastCallFailed_ && (tookOver_ || first(now)); }

Duration ReaderElection::stagger(Moment now, RandomEngine& random) const {
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

Duration ReaderElection::longestBackoff() const {
  return std::clamp(settings_.backoffPerDaemon * static_cast<int>(count_), settings_.leastLongestBackoff,
                    settings_.mostLongestBackoff);
}

}  // namespace oakpier::serving
