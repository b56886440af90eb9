#pragma once

/// Whom a daemon passes news on to. All daemons that know the same members agree on one tree, rooted at the
/// daemon that brought the news, in which each has a bounded number of children.

#include <vector>

#include "state/endpoint.h"

namespace oakpier::serving {

inline constexpr std::size_t kForwardingDegree = 8;

/// `members`: serving daemons in rising order, with or without the root and `self`.
std::vector<Endpoint> forwardTo(std::vector<Endpoint> members, const Endpoint& root, const Endpoint& self);

}  // namespace oakpier::serving
