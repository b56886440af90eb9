#pragma once

/// Identifies one incarnation of a leaf, that is, one run of its process.
///
/// A leaf may restart under the same id. Nothing observed of the previous process applies to the new one:
/// latencies, load, connections, failures, requests that crashed it. All state about a leaf is therefore kept
/// per incarnation. Requests to the leaf carry only its id.

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_set>

#include "state/endpoint.h"
#include "state/hashing.h"

namespace oakpier::serving {

struct LeafIncarnation {
  std::string id;
  /// Start time of the process in milliseconds since the Unix epoch, by the clock of its machine; 0 if not
  /// reported. Start times distinguish incarnations but do not order them, since clocks may be set back.
  std::uint64_t processStartedAt = 0;
  /// A process keeps its address, so another address means another incarnation, even without a start time.
  Endpoint address;

  friend bool operator==(const LeafIncarnation& left, const LeafIncarnation& right) {
    return left.processStartedAt == right.processStartedAt && left.address == right.address &&
           left.id == right.id;
  }
  friend bool operator!=(const LeafIncarnation& left, const LeafIncarnation& right) {
    return !(left == right);
  }
};

/// Identifies an incarnation to peers: equal on all daemons, and the hash of the id alone if the start time
/// is not reported.
inline std::uint64_t stableHash(const LeafIncarnation& incarnation) {
  const std::uint64_t id = hashText(incarnation.id);
  return incarnation.processStartedAt == 0 ? id : hashPair(id, incarnation.processStartedAt);
}

struct LeafIncarnationHash {
  std::size_t operator()(const LeafIncarnation& incarnation) const noexcept {
    return hashPair(stableHash(incarnation), incarnation.address.packed());
  }
};

using LeafIncarnations = std::unordered_set<LeafIncarnation, LeafIncarnationHash>;

}  // namespace oakpier::serving
