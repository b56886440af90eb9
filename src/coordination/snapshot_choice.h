#pragma once

/// Chooses the one snapshot that all of a request's leaf requests read.

#include <cstdint>
#include <vector>

#include "state/routing_view.h"

namespace oakpier {

struct SnapshotChoice {
  /// 0 = no leaf of the service has reported yet.
  std::uint64_t snapshot = 0;
  /// Shards of the chosen snapshot's partition of which no replica has reported.
  std::vector<const ShardEntry*> unreported;
};

/// The snapshot that most shards can answer by what their leafs reported; among equals the newest.
SnapshotChoice chooseSnapshot(const RoutingView& view, const ServiceEntry& service);

}  // namespace oakpier
