#pragma once

/// Everything needed to route a request: the routing table, the owner daemons of each leaf, and the machines
/// that the platform is about to remove. Immutable; published by the control thread.

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "state/endpoint.h"
#include "state/routing_table.h"

namespace oakpier {

/// The daemons that may hold connections to one leaf, in order of preference. A default endpoint means none.
inline constexpr std::size_t kOwnersPerLeaf = 2;
using LeafOwners = std::array<Endpoint, kOwnersPerLeaf>;

struct RoutingView {
  std::shared_ptr<const RoutingTable> table;
  /// By leaf index.
  std::vector<LeafOwners> owners;
  /// By leaf index: the platform is about to remove the leaf's machine.
  std::vector<bool> leaving;
  /// Serving daemons, including this one.
  std::vector<Endpoint> daemons;
  /// Whether this daemon may serve: it has an accepted configuration and its view is fresh.
  bool ready = false;
};

}  // namespace oakpier
