#pragma once

/// Which leafs this daemon uses, with how many connections, and which it leaves to shards' owners.
///
/// Invariants: a draining or evacuated leaf is not assigned; of a service that is left to owners only its
/// owners use leafs; the connections of all daemons together fit what a leaf accepts, while member tables are
/// equal.

#include <cstddef>
#include <string>
#include <unordered_set>

#include "coordination/serving/leaf_subset.h"
#include "coordination/serving/shard_owners.h"
#include "coordination/serving/warmup_allowance.h"
#include "state/serving/leaf_directory.h"

namespace oakpier::serving {

/// How many others use the same leafs.
struct SharingDaemons {
  /// Daemons that connections are planned for; more than there are, as some may come.
  std::size_t planned = 1;
  std::size_t zones = 1;
  /// The most daemons and zones that were ever known: some may only be out of reach and still send. Until any
  /// are known, more than there are, so that this daemon takes the least share of what cold leafs bear.
  std::size_t mostPlanned = 1000;
  std::size_t mostZones = 10;
  /// What the operator tolerates at cold leafs.
  WarmupTolerance warmup = {};
};

struct LeafAssignment {
  /// The leafs that this daemon uses.
  LeafsByService leafs;
  ConnectionShares shares;
  /// For services whose cold leafs bear only so much.
  WarmupAllowances warmups;
  /// Services that are left to owners and whose first owner this daemon is.
  std::unordered_set<std::string> firstOwned;
};

/// Tells `owners` which services are left to them.
LeafAssignment assignLeafs(const ServingView& view, const SharingDaemons& daemons, const Endpoint& self,
                           ShardOwners& owners);

}  // namespace oakpier::serving
