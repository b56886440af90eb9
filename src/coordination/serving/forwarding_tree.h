#pragma once

/// The peers to which a daemon forwards an update. Daemons with the same member list compute the same tree of
/// bounded degree, rooted at the reader. Its nodes are filled from the root in the order of daemons,
/// cyclically, so that below a root of high capacity those of high capacity come first.

#include <vector>

#include "coordination/serving/daemon_order.h"
#include "state/endpoint.h"

namespace oakpier::serving {

inline constexpr std::size_t kForwardingDegree = 8;

/// `members`: serving daemons, with or without `root` and `self`.
std::vector<Endpoint> forwardingChildren(DaemonOrder members, const Endpoint& root, const Endpoint& self);

}  // namespace oakpier::serving
