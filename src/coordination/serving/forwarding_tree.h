#pragma once

/// Whom a daemon passes news on to. All daemons that know the same members agree on one tree, rooted at the
/// daemon that brought the news, in which each has a bounded number of children. Places go on from the root
/// in the order of daemons, so that below a strong root the strong come first.

#include <vector>

#include "coordination/serving/daemon_order.h"
#include "state/endpoint.h"

namespace oakpier::serving {

inline constexpr std::size_t kForwardingDegree = 8;

/// `members`: serving daemons, with or without the root and `self`.
std::vector<Endpoint> forwardTo(DaemonOrder members, const Endpoint& root, const Endpoint& self);

}  // namespace oakpier::serving
