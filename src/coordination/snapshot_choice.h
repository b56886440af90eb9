#pragma once

/// Selects the snapshot that all leaf requests of a query read.

#include <cstdint>
#include <vector>

#include "state/routing_view.h"

namespace oakpier {

struct SnapshotChoice {
  /// 0 = no leaf of the service has reported yet.
  std::uint64_t snapshot = 0;
  /// Shards of the snapshot's partition (the newest partition if `snapshot` is 0) without a replica that
  /// reported its state.
  std::vector<const ShardEntry*> unreported;
};

/// Among the newest snapshots, the one that usable replicas (not drained, draining or leaving) report holding
/// for the largest fraction of its partition's shards; the newest on a tie.
SnapshotChoice chooseSnapshot(const RoutingView& view, const ServiceEntry& service);

}  // namespace oakpier
