#pragma once

/// Decides which daemons hold the connections of each leaf: rendezvous hashing within the leaf's zone. Each
/// daemon computes it alone from its member table; equal tables give equal owners.
///
/// Invariants: owners are serving members; a change of one member moves only leafs that it gains or loses; an
/// owner opens at most `connectionShare` connections to a leaf, so that a few owners with different views
/// together stay within what the leaf accepts.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "state/member_table.h"
#include "state/routing_view.h"

namespace oakpier {

/// Owners that may hold connections to one leaf at once while views differ: the current, the next and the
/// second of either.
inline constexpr std::uint32_t kConcurrentOwners = 4;

/// Most connections one owner opens to a leaf.
std::uint32_t connectionShare(const LeafEntry& leaf);

/// A member that may own leafs.
struct Candidate {
  Endpoint address;
  /// Name of the zone, hashed.
  std::uint64_t zone = 0;
};

/// Computes owners and keeps them up to date. Holds what is needed to move only the leafs that a change
/// touches.
class Placement {
 public:
  /// Takes over the leafs that `table.touched()` names. Those that stay in their zone keep their owners.
  void updateLeaves(const RoutingTable& table);
  /// Takes over the serving members. Touches only the leafs of members that came or went.
  void setMembers(std::vector<Candidate> members);

  /// By leaf index.
  const std::vector<LeafOwners>& owners() const { return owners_; }
  /// Owners of the first rank that the last `setMembers` changed.
  std::size_t moved() const { return moved_; }

 private:
  struct Ranked {
    std::uint64_t weight = 0;
    Endpoint address;
  };
  struct LeafPlace {
    std::uint64_t hash = 0;
    std::uint64_t zone = 0;
    std::array<Ranked, kOwnersPerLeaf> ranked;
  };

  void rankAgain(LeafPlace& place);
  void offer(LeafPlace& place, const Candidate& candidate);
  void writeOwners(LeafIndex leaf);

  std::vector<Candidate> members_;
  std::unordered_map<std::uint64_t, std::vector<Candidate>> membersByZone_;
  std::vector<LeafPlace> places_;
  std::vector<LeafOwners> owners_;
  std::size_t moved_ = 0;
};

}  // namespace oakpier
