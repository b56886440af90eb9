#pragma once

/// Total order of Paxos ballots: by round, then by proposer id.

#include "oakpier/peer.pb.h"

namespace oakpier {

inline bool precedes(const Ballot& left, const Ballot& right) {
  return left.round() != right.round() ? left.round() < right.round() : left.proposer() < right.proposer();
}

inline bool sameBallot(const Ballot& left, const Ballot& right) {
  return !precedes(left, right) && !precedes(right, left);
}

}  // namespace oakpier
