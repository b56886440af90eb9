#include "coordination/voter_lease.h"

#include <algorithm>

namespace oakpier {

void VoterLease::onTimer(const VoterSet& voters, Moment now) {
  if (now < nextHeartbeatAt_) {
    return;
  }
  nextHeartbeatAt_ = now + heartbeatPeriod_;
  if (isVoter(voters, self_)) {
    LastHeartbeat& own = lastHeartbeats_[keyOf(self_.address, self_.incarnation)];
    own = LastHeartbeat{own.count + 1, now};
  }
  for (auto last = lastHeartbeats_.begin(); last != lastHeartbeats_.end();) {
    const bool expired = now - last->second.at > length_ * 10;
    last = expired ? lastHeartbeats_.erase(last) : std::next(last);
  }
}

bool VoterLease::held(const VoterSet& voters, Moment now) const {
  const auto fresh = std::count_if(voters.voters().begin(), voters.voters().end(), [&](const Voter& voter) {
    const auto last = lastHeartbeats_.find(keyOf(voter.address(), voter.incarnation()));
    return last != lastHeartbeats_.end() && last->second.count > 0 && now - last->second.at < length_;
  });
  return 2 * fresh > voters.voters_size();
}

std::vector<VoterBeat> VoterLease::heartbeats(const VoterSet& voters) const {
  std::vector<VoterBeat> known;
  for (const auto& voter : voters.voters()) {
    const auto last = lastHeartbeats_.find(keyOf(voter.address(), voter.incarnation()));
    if (last != lastHeartbeats_.end() && last->second.count > 0) {
      VoterBeat& beat = known.emplace_back();
      beat.set_address(voter.address());
      beat.set_incarnation(voter.incarnation());
      beat.set_count(last->second.count);
    }
  }
  return known;
}

}  // namespace oakpier
