#pragma once

/// Everything a request needs to find its way: the routing table, the owner daemons of each leaf, and what
/// the platform says of leaving machines. Immutable; published by the control thread.

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
  /// By leaf index: the platform's list says that the machine leaves.
  std::vector<bool> leaving;
  /// Serving daemons, this one included.
  std::vector<Endpoint> daemons;
  /// This daemon may serve: it holds an accepted configuration and its view is fresh.
  bool ready = false;
};

}  // namespace oakpier
