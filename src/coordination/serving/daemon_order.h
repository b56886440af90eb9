#pragma once

/// The one order of daemons in which they read the configuration source and pass its news on: the strongest
/// first, equally strong ones by address. So the weak sit at the leaves of the forwarding tree and read last.
///
/// Invariants: equal member tables give equal orders; daemons that are not in the table have their place as
/// ones that did not tell their capacity; where nobody tells one the order is that of the addresses, whatever
/// the tables.

#include <cstddef>
#include <utility>
#include <vector>

#include "coordination/serving/weighted_rendezvous.h"
#include "state/endpoint.h"

namespace oakpier::serving {

class DaemonOrder {
 public:
  DaemonOrder() = default;
  /// Daemons of which only the addresses are known, in any order.
  DaemonOrder(const std::vector<Endpoint>& addresses);
  /// In any order, without duplicates.
  DaemonOrder(std::vector<ServingDaemon> daemons);

  /// The first comes first.
  const std::vector<ServingDaemon>& daemons() const { return daemons_; }
  std::size_t size() const { return daemons_.size(); }
  /// How many daemons come before this one, which need not be among them.
  std::size_t placeOf(const Endpoint& address) const;
  bool before(const Endpoint& left, const Endpoint& right) const;
  /// Adds a daemon that did not tell its capacity, unless it is there.
  void add(const Endpoint& address);

 private:
  using Key = std::pair<unsigned, Endpoint>;
  Key keyOf(const Endpoint& address) const;

  std::vector<ServingDaemon> daemons_;
};

}  // namespace oakpier::serving
