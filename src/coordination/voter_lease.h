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
  VoterLease(ProcessId self, Duration beatPeriod, Duration length)
      : self_(std::move(self)), beatPeriod_(beatPeriod), length_(length) {}

  /// Merges the heartbeat counts that a peer knows. Ignores processes that are not in `voters`.
  template <typename Beats>
  void hear(const Beats& beats, const VoterSet& voters, Moment now) {
    for (const auto& beat : beats) {
      Seen& seen = seen_[keyOf(beat.address(), beat.incarnation())];
      if (isVoter(voters, {beat.address(), beat.incarnation()}) && beat.count() > seen.count) {
        seen = Seen{beat.count(), now};
      }
    }
  }

  /// Increments the own heartbeat count once per beat period if this daemon is a voter, and drops old
  /// entries. Call more often than the beat period.
  void onTime(const VoterSet& voters, Moment now);

  bool held(const VoterSet& voters, Moment now) const;

  /// The known heartbeat counts of `voters`, to be sent to peers.
  std::vector<VoterBeat> beats(const VoterSet& voters) const;

  Duration length() const { return length_; }

 private:
  struct Seen {
    std::uint64_t count = 0;
    Moment at{};
  };

  static std::string keyOf(const std::string& address, std::uint64_t incarnation) {
    return address + "#" + std::to_string(incarnation);
  }

  ProcessId self_;
  Duration beatPeriod_;
  Duration length_;
  Moment nextBeatAt_{};
  std::unordered_map<std::string, Seen> seen_;
};

}  // namespace oakpier
