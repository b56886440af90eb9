#include "coordination/voter_lease.h"

#include <algorithm>

namespace oakpier {

void VoterLease::onTimer(const VoterSet& voters, Moment now) {
  if (now < nextBeatAt_) {
    return;
  }
  nextBeatAt_ = now + beatPeriod_;
  if (isVoter(voters, self_)) {
    Seen& own = seen_[keyOf(self_.address, self_.incarnation)];
    own = Seen{own.count + 1, now};
  }
  for (auto seen = seen_.begin(); seen != seen_.end();) {
    const bool old = now - seen->second.at > length_ * 10;
    seen = old ? seen_.erase(seen) : std::next(seen);
  }
}

bool VoterLease::held(const VoterSet& voters, Moment now) const {
  const auto fresh = std::count_if(voters.voters().begin(), voters.voters().end(), [&](const Voter& voter) {
    const auto seen = seen_.find(keyOf(voter.address(), voter.incarnation()));
    return seen != seen_.end() && seen->second.count > 0 && now - seen->second.at < length_;
  });
  return 2 * fresh > voters.voters_size();
}

std::vector<VoterBeat> VoterLease::beats(const VoterSet& voters) const {
  std::vector<VoterBeat> known;
  for (const auto& voter : voters.voters()) {
    const auto seen = seen_.find(keyOf(voter.address(), voter.incarnation()));
    if (seen != seen_.end() && seen->second.count > 0) {
      VoterBeat& beat = known.emplace_back();
      beat.set_address(voter.address());
      beat.set_incarnation(voter.incarnation());
      beat.set_count(seen->second.count);
    }
  }
  return known;
}

}  // namespace oakpier
