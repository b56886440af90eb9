#pragma once

/// Assigns owner daemons, which hold the connections, to each leaf by rendezvous hashing within the leaf's
/// zone, or among all members if its zone has none. Each daemon computes owners locally from its member
/// table; equal tables give equal owners.
///
/// Invariants: owners are serving members; when one member joins or departs, only leafs that it gains or
/// loses move; an owner opens at most `connectionShare` connections to a leaf, so that `kConcurrentOwners`
/// owners with different views together stay within the leaf's connection limit.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "state/member_table.h"
#include "state/routing_view.h"

namespace oakpier {

/// Maximum number of owners connected to one leaf while views differ: first and second owner of both the
/// old and the new view.
inline constexpr std::uint32_t kConcurrentOwners = 4;

/// Maximum number of connections from one owner to a leaf.
std::uint32_t connectionShare(const LeafEntry& leaf);

/// A serving member, which can own leafs.
struct Candidate {
  Endpoint address;
  /// Hash of the zone name.
  std::uint64_t zone = 0;
};

/// Computes owners incrementally: a change recomputes only the leafs that it affects.
class Placement {
 public:
  /// Applies the leafs in `table.touched()`. Leafs that stay in their zone keep their owners.
  void updateLeafs(const RoutingTable& table);
  /// Replaces the serving members. Recomputes only leafs affected by members that joined or departed.
  void setMembers(std::vector<Candidate> members);

  /// Indexed by `LeafIndex`.
  const std::vector<LeafOwners>& owners() const { return owners_; }
  /// Number of leafs whose owners the last `updateLeafs` recomputed, or whose first owner the last
  /// `setMembers` changed.
  std::size_t moved() const { return moved_; }

 private:
  struct RankedOwner {
    std::uint64_t weight = 0;
    Endpoint address;
  };
  struct LeafRanking {
    std::uint64_t hash = 0;
    std::uint64_t zone = 0;
    std::array<RankedOwner, kOwnersPerLeaf> ranked;
  };

  void recomputeRanks(LeafRanking& ranking);
  void insertCandidate(LeafRanking& ranking, const Candidate& candidate);
  void writeOwners(LeafIndex leaf);

  std::vector<Candidate> members_;
  std::unordered_map<std::uint64_t, std::vector<Candidate>> membersByZone_;
  std::vector<LeafRanking> rankings_;
  std::vector<LeafOwners> owners_;
  std::size_t moved_ = 0;
};

}  // namespace oakpier
