#pragma once

/// Divides the leafs of a service among the daemons, so that no leaf gets more connections than it accepts.

#include <cstddef>
#include <string>
#include <unordered_map>

#include "state/endpoint.h"
#include "state/serving/leaf_directory.h"

namespace oakpier::serving {

struct ConnectionShare {
  /// Leafs of the service that this daemon uses.
  std::size_t leafs = 0;
  /// Connections that it may hold to each of them.
  std::size_t connections = 1;
};

/// By service.
using ConnectionShares = std::unordered_map<std::string, ConnectionShare>;

/// `maximumConnections`: what one leaf accepts from all daemons together.
ConnectionShare shareOf(std::size_t leafs, std::size_t maximumConnections, std::size_t daemons);

/// The `count` leafs that rendezvous hashing gives the daemon; draining and evacuated ones do not count.
std::vector<LeafEntry> chooseSubset(const std::vector<LeafEntry>& leafs, std::size_t count,
                                    const Endpoint& daemon);

}  // namespace oakpier::serving
