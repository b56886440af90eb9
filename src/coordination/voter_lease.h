#pragma once

/// Tells whether this daemon is on the side of the majority: it lately saw the beats of most voters advance.
/// The voter set changes only by a majority, so two sides of a cut never both hold the lease for longer than
/// its length.

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

  /// Takes over beats that a peer has seen of voters in `voters`.
  template <typename Beats>
  void hear(const Beats& beats, const VoterSet& voters, Moment now) {
    for (const auto& beat : beats) {
      Seen& seen = seen_[keyOf(beat.address(), beat.incarnation())];
      if (isVoter(voters, {beat.address(), beat.incarnation()}) && beat.count() > seen.count) {
        seen = Seen{beat.count(), now};
      }
    }
  }

  /// Beats, when this daemon is a voter. Call often.
  void onTimer(const VoterSet& voters, Moment now);

  bool held(const VoterSet& voters, Moment now) const;

  /// What is known of the voters' beats, to be passed on.
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
