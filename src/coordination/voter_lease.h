#pragma once

/// Detects whether this daemon is on the majority side of a network partition: the lease is held while the
/// heartbeat counts of a majority of the voters have increased within the lease length. The voter set changes
/// only by a majority, so two sides of a network partition hold the lease simultaneously for at most its
/// length.

#include <unordered_map>
#include <vector>

#include "coordination/voter.h"
#include "oakpier/peer.pb.h"
#include "state/time.h"

namespace oakpier {

class VoterLease {
 public:
  VoterLease(ProcessId self, Duration heartbeatPeriod, Duration length)
      : self_(std::move(self)), heartbeatPeriod_(heartbeatPeriod), length_(length) {}

  /// Merges the heartbeat counts that a peer knows. Ignores processes that are not in `voters`.
  template <typename Beats>
  void onHeartbeats(const Beats& beats, const VoterSet& voters, Moment now) {
    for (const auto& beat : beats) {
      LastHeartbeat& last = lastHeartbeats_[keyOf(beat.address(), beat.incarnation())];
      if (isVoter(voters, {beat.address(), beat.incarnation()}) && beat.count() > last.count) {
        last = LastHeartbeat{beat.count(), now};
      }
    }
  }

  /// Increments this daemon's heartbeat count once per heartbeat period if this daemon is a voter, and drops
  /// old entries. Call more often than the heartbeat period.
  void onTimer(const VoterSet& voters, Moment now);

  bool held(const VoterSet& voters, Moment now) const;

  /// The known heartbeat counts of `voters`, to be sent to peers.
  std::vector<VoterBeat> heartbeats(const VoterSet& voters) const;

  Duration length() const { return length_; }

 private:
  struct LastHeartbeat {
    std::uint64_t count = 0;
    Moment at{};
  };

  static std::string keyOf(const std::string& address, std::uint64_t incarnation) {
    return address + "#" + std::to_string(incarnation);
  }

  ProcessId self_;
  Duration heartbeatPeriod_;
  Duration length_;
  Moment nextHeartbeatAt_{};
  std::unordered_map<std::string, LastHeartbeat> lastHeartbeats_;
};

}  // namespace oakpier
