#include "coordination/placement.h"

#include <algorithm>
#include <utility>

#include "state/hashing.h"

namespace oakpier {

namespace {

bool byAddress(const Candidate& left, const Candidate& right) { return left.address < right.address; }

}  // namespace

std::uint32_t connectionShare(const LeafEntry& leaf) {
  const std::uint32_t share = std::max<std::uint32_t>(1, leaf.maxConnections / kConcurrentOwners);
  return std::min<std::uint32_t>(share, 2U * leaf.slots);
}

void Placement::updateLeafs(const RoutingTable& table) {
  rankings_.resize(table.indexCount());
  owners_.resize(table.indexCount());
  moved_ = 0;
  for (const LeafIndex index : table.touched()) {
    const LeafEntry& leaf = table.leaf(index);
    LeafRanking ranking;
    if (table.declared(index)) {
      ranking.hash = hashText(leaf.name);
      ranking.zone = hashText(table.zoneName(leaf.zone));
    }
    const bool unchanged = rankings_[index].hash == ranking.hash && rankings_[index].zone == ranking.zone;
    if (unchanged) {
      continue;
    }
    if (table.declared(index)) {
      recomputeRanks(ranking);
    }
    rankings_[index] = ranking;
    writeOwners(index);
    ++moved_;
  }
}

void Placement::setMembers(std::vector<Candidate> members) {
  std::sort(members.begin(), members.end(), byAddress);
  std::vector<Candidate> joined;
  std::vector<Candidate> departed;
  std::set_difference(members.begin(), members.end(), members_.begin(), members_.end(),
                      std::back_inserter(joined), byAddress);
  std::set_difference(members_.begin(), members_.end(), members.begin(), members.end(),
                      std::back_inserter(departed), byAddress);
  // A zone without members uses the members of all zones, so a zone that gains its first member or loses its
  // last one is recomputed.
  std::unordered_map<std::uint64_t, std::vector<Candidate>> byZone;
  for (const auto& member : members) {
    byZone[member.zone].push_back(member);
  }
  const auto zonesBefore = std::exchange(membersByZone_, std::move(byZone));
  members_ = std::move(members);
  moved_ = 0;
  for (LeafIndex leaf = 0; leaf < rankings_.size(); ++leaf) {
    LeafRanking& ranking = rankings_[leaf];
    if (ranking.hash == 0) {
      continue;
    }
    const bool zoneFallbackChanged = zonesBefore.count(ranking.zone) != membersByZone_.count(ranking.zone);
    const bool lostOwner = std::any_of(departed.begin(), departed.end(), [&](const Candidate& member) {
      return std::any_of(ranking.ranked.begin(), ranking.ranked.end(),
                         [&](const RankedOwner& ranked) { return ranked.address == member.address; });
    });
    if (zoneFallbackChanged || lostOwner) {
      recomputeRanks(ranking);
    } else {
      const bool local = membersByZone_.count(ranking.zone) != 0;
      for (const auto& candidate : joined) {
        if (!local || candidate.zone == ranking.zone) {
          insertCandidate(ranking, candidate);
        }
      }
    }
    moved_ += ranking.ranked.front().address == owners_[leaf].front() ? 0 : 1;
    writeOwners(leaf);
  }
}

void Placement::recomputeRanks(LeafRanking& ranking) {
  ranking.ranked = {};
  const auto local = membersByZone_.find(ranking.zone);
  for (const auto& member : local == membersByZone_.end() ? members_ : local->second) {
    insertCandidate(ranking, member);
  }
}

/// Inserts the candidate if it ranks among the owners; ties go to the lower address.
void Placement::insertCandidate(LeafRanking& ranking, const Candidate& candidate) {
  RankedOwner inserted{hashPair(ranking.hash, candidate.address.packed()), candidate.address};
  for (auto& ranked : ranking.ranked) {
    if (ranked.address == inserted.address) {
      return;
    }
    const bool better = ranked.address == Endpoint() || inserted.weight > ranked.weight ||
                        (inserted.weight == ranked.weight && inserted.address < ranked.address);
    if (better) {
      std::swap(ranked, inserted);
    }
  }
}

void Placement::writeOwners(LeafIndex leaf) {
  for (std::size_t rank = 0; rank < kOwnersPerLeaf; ++rank) {
    owners_[leaf][rank] = rankings_[leaf].ranked[rank].address;
  }
}

}  // namespace oakpier
