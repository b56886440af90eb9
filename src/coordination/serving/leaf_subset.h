#pragma once

/// Subsetting: assigns each daemon a subset of a service's leafs, so that no leaf gets more connections than
/// it accepts.

#include <cstddef>
#include <string>
#include <unordered_map>

#include "state/endpoint.h"
#include "state/serving/leaf_directory.h"

namespace oakpier::serving {

struct ConnectionShare {
  /// Number of the service's leafs that this daemon connects to.
  std::size_t leafs = 0;
  /// Maximum number of connections to each of them.
  std::size_t connections = 1;
};

/// By service.
using ConnectionShares = std::unordered_map<std::string, ConnectionShare>;

/// `maximumConnections`: limit of one leaf for the connections of all daemons together.
ConnectionShare connectionShare(std::size_t leafs, std::size_t maximumConnections, std::size_t daemons);

/// The `count` leafs that rank highest for the daemon by rendezvous hashing; draining and evacuated leafs are
/// left out.
std::vector<LeafEntry> chooseSubset(const std::vector<LeafEntry>& leafs, std::size_t count,
                                    const Endpoint& daemon);

}  // namespace oakpier::serving
