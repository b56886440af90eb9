#pragma once

/// Selects the daemons that vote on configuration revisions: a small set, spread over zones, in which daemons
/// that terminate are replaced.

#include <optional>

#include "coordination/voter.h"
#include "oakpier/peer.pb.h"
#include "state/member_table.h"

namespace oakpier {

/// This daemon, which is not in its own member table.
struct SelfMember {
  ProcessId process;
  std::string zone;
  /// A planned stop has begun: this daemon is no longer selected as a voter.
  bool leaving = false;
};

/// Keeps the voters that are still serving with the same incarnation and adds members that are not suspected,
/// and this daemon unless it is leaving, until there are `target` voters, each from the zone with the fewest
/// voters. Returns fewer when there are not enough members.
VoterSet selectVoters(const VoterSet& current, const MemberTable& members, const SelfMember& self,
                      std::size_t target);

/// Whether this daemon is the one that proposes changes of the voter set: the first voter of `current` that
/// is still serving. A leaving voter is not, but also proposes its replacement.
bool maintainsVoterSet(const VoterSet& current, const MemberTable& members, const SelfMember& self);

bool sameVoters(const VoterSet& left, const VoterSet& right);

/// The voters that decide revision 1, selected from the platform's list of daemons. Depends only on the list,
/// not on its order, so that daemons that read the same list agree. Incarnations are 0 (any process).
VoterSet bootstrapVotersFor(std::vector<Endpoint> daemons, std::size_t target);

}  // namespace oakpier
