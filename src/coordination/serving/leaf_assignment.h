#pragma once

/// Selects the leafs that this daemon connects to and the number of connections to each. Leafs of services
/// with owners are used only by the owners.
///
/// Invariants: draining and evacuated leafs are never assigned; for a service with owners, only its owners
/// use leafs; while all daemons have the same member table, their connections to a leaf do not exceed the
/// leaf's limit.

#include <cstddef>
#include <string>
#include <unordered_set>

#include "coordination/serving/leaf_subset.h"
#include "coordination/serving/shard_owners.h"
#include "coordination/serving/warmup_allowance.h"
#include "state/serving/leaf_directory.h"

namespace oakpier::serving {

/// What the assignment depends on beside the configuration.
struct FleetParameters {
  /// Daemons that connections are planned for. Higher than the current number, to allow for growth.
  std::size_t planned = 1;
  std::size_t zones = 1;
  /// Highest numbers seen so far, since daemons that are currently unreachable may still send. The defaults,
  /// used until any daemon is known, are high, so that this daemon sends little to cold leafs.
  std::size_t maxPlanned = 1000;
  std::size_t maxZones = 10;
  /// The operator's limit for cold leafs.
  WarmupTolerance warmup = {};
};

struct LeafAssignment {
  LeafsByService leafs;
  ConnectionShares shares;
  /// For services with a request limit for cold leafs.
  WarmupAllowances warmups;
  /// Services with owners whose first owner is this daemon.
  std::unordered_set<std::string> firstOwnedServices;
};

/// Also updates the set of services that have owners in `owners`.
LeafAssignment assignLeafs(const ServingView& view, const FleetParameters& daemons, const Endpoint& self,
                           ShardOwners& owners);

}  // namespace oakpier::serving
