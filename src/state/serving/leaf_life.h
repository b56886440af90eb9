#pragma once

/// What tells one life of a leaf from the next.
///
/// A leaf may start again under the id that it had. The new process knows nothing of the one before, and
/// nothing that was learned of that one holds for it: latencies, load, connections, failures, requests that
/// ended it. So whatever is kept of a leaf is kept of one life of it. Requests name the plain id to the leaf.

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_set>

#include "state/endpoint.h"
#include "state/hashing.h"

namespace oakpier::serving {

struct LeafLife {
  std::string id;
  /// When its process began, in milliseconds since 1970 by the clock of its own machine; 0: not told. Births
  /// tell lives apart and put them in no order, as clocks are set back.
  std::uint64_t bornAt = 0;
  /// A process keeps its address, so that another address is another life, also where no birth is told.
  Endpoint address;

  friend bool operator==(const LeafLife& left, const LeafLife& right) {
    return left.bornAt == right.bornAt && left.address == right.address && left.id == right.id;
  }
  friend bool operator!=(const LeafLife& left, const LeafLife& right) { return !(left == right); }
};

/// Names a life to other daemons: the same on each of them, and that of the plain id where no birth is told.
inline std::uint64_t stableHash(const LeafLife& life) {
  const std::uint64_t id = hashText(life.id);
  return life.bornAt == 0 ? id : hashPair(id, life.bornAt);
}

struct LeafLifeHash {
  std::size_t operator()(const LeafLife& life) const noexcept {
    return hashPair(stableHash(life), life.address.packed());
  }
};

using LeafLives = std::unordered_set<LeafLife, LeafLifeHash>;

}  // namespace oakpier::serving
