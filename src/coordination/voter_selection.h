#pragma once

/// Chooses which daemons vote on the next revision: few, spread over zones, and replaced when they go.

#include <optional>

#include "coordination/voter.h"
#include "oakpier/peer.pb.h"
#include "state/member_table.h"

namespace oakpier {

/// This daemon itself, which its member table does not hold.
struct SelfMember {
  ProcessId process;
  std::string zone;
  /// A planned stop has begun: this daemon is no voter any more once others are.
  bool leaving = false;
};

/// Voters that are still the same serving process stay; the rest is filled up to `target`, each time from the
/// zone with the fewest voters.
VoterSet selectVoters(const VoterSet& current, const MemberTable& members, const SelfMember& self,
                      std::size_t target);

/// Whether this daemon is the one that proposes a new voter set: the first voter that still serves.
bool keepsVoters(const VoterSet& current, const MemberTable& members, const SelfMember& self);

bool sameVoters(const VoterSet& left, const VoterSet& right);

/// The first voters for daemons on the platform's list, the same at all daemons that read the same list.
VoterSet firstVotersOf(std::vector<Endpoint> daemons, std::size_t target);

}  // namespace oakpier
