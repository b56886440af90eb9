#include "coordination/serving/reader_election.h"

#include <algorithm>
#include <utility>

#include "coordination/serving/suppression_delay.h"

namespace oakpier::serving {

void ReaderElection::start(bool peersExpected, Moment now) {
  soleMemberAt_ = peersExpected ? now + settings_.soleMemberAfter : now;
}

void ReaderElection::setMembers(DaemonOrder members) {
  members_ = std::move(members);
  rank_ = members_.rankOf(self_);
  memberCount_ = std::max<std::size_t>(1, members_.size());
}

void ReaderElection::onUpdate(const Endpoint& reader, Moment now) {
  if (members_.before(reader, self_)) {
    becameReader_ = false;
    precedingReaderAt_ = now;
  }
}

void ReaderElection::becomeReader(Moment callSentAt) {
  becameReader_ = becameReader_ || callSentAt > precedingReaderAt_;
}

void ReaderElection::onFailure() {
  lastCallFailed_ = true;
  becameReader_ = false;
}

bool ReaderElection::isFirstRanked(Moment now) const {
  const bool membersKnown = memberCount_ > 1 || now >= soleMemberAt_;
  return rank_ == 0 && membersKnown;
}

bool ReaderElection::isReader(Moment now) const {
  return !lastCallFailed_ && (becameReader_ || isFirstRanked(now));
}

Duration ReaderElection::stagger(Moment now, RandomEngine& random) const {
  if (isFirstRanked(now)) {
    return Duration(0);
  }
  if (rank_ > 0 && rank_ <= settings_.staggeredDaemons) {
    return settings_.updateGrace + settings_.staggerStep * static_cast<int>(rank_);
  }
  const Duration after =
      settings_.updateGrace + settings_.staggerStep * static_cast<int>(settings_.staggeredDaemons);
  const Duration jitter =
      std::min(settings_.maxJitter, settings_.jitterPerDaemon * static_cast<int>(memberCount_));
  return after + suppressionDelay(jitter, memberCount_, random);
}

Duration ReaderElection::backoffCap() const {
  return std::clamp(settings_.backoffCapPerDaemon * static_cast<int>(memberCount_), settings_.minBackoffCap,
                    settings_.maxBackoffCap);
}

}  // namespace oakpier::serving
