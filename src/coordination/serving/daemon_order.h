#pragma once

/// The order in which daemons are elected as reader of the configuration source and placed in the forwarding
/// tree: descending by capacity, then ascending by address. Daemons with little capacity are thus the leaves
/// of the tree and the last choice as reader.
///
/// Invariants: equal member tables give equal orders; a daemon that is not in the table is ordered as one
/// with unknown capacity; if no capacity is known the order is that of the addresses, whichever daemons are
/// known.

#include <cstddef>
#include <utility>
#include <vector>

#include "coordination/serving/weighted_rendezvous.h"
#include "state/endpoint.h"

namespace oakpier::serving {

class DaemonOrder {
 public:
  DaemonOrder() = default;
  /// Daemons of unknown capacity, in any order, without duplicates.
  DaemonOrder(const std::vector<Endpoint>& addresses);
  /// In any order, without duplicates.
  DaemonOrder(std::vector<ServingDaemon> daemons);

  const std::vector<ServingDaemon>& daemons() const { return daemons_; }
  std::size_t size() const { return daemons_.size(); }
  /// The number of daemons in the table that precede `address`, which need not be in the table itself.
  std::size_t rankOf(const Endpoint& address) const;
  bool before(const Endpoint& left, const Endpoint& right) const;
  /// Adds a daemon of unknown capacity unless its address is in the table.
  void add(const Endpoint& address);

 private:
  using Key = std::pair<unsigned, Endpoint>;
  Key keyOf(const Endpoint& address) const;

  std::vector<ServingDaemon> daemons_;
};

}  // namespace oakpier::serving
