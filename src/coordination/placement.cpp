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

void Placement::updateLeaves(const RoutingTable& table) {
  places_.resize(table.indexCount());
  owners_.resize(table.indexCount());
  moved_ = 0;
  for (const LeafIndex index : table.touched()) {
    const LeafEntry& leaf = table.leaf(index);
    LeafPlace place;
    if (table.declared(index)) {
      place.hash = hashText(leaf.name);
      place.zone = hashText(table.zoneName(leaf.zone));
    }
    const bool stays = places_[index].hash == place.hash && places_[index].zone == place.zone;
    if (stays) {
      continue;
    }
    if (table.declared(index)) {
      rankAgain(place);
    }
    places_[index] = place;
    writeOwners(index);
    ++moved_;
  }
}

void Placement::setMembers(std::vector<Candidate> members) {
  std::sort(members.begin(), members.end(), byAddress);
  std::vector<Candidate> came;
  std::vector<Candidate> went;
  std::set_difference(members.begin(), members.end(), members_.begin(), members_.end(),
                      std::back_inserter(came), byAddress);
  std::set_difference(members_.begin(), members_.end(), members.begin(), members.end(),
                      std::back_inserter(went), byAddress);
  // A zone without members uses the members of all zones, so a zone that gains its first member or loses its
  // last one is recomputed.
  std::unordered_map<std::uint64_t, std::vector<Candidate>> byZone;
  for (const auto& member : members) {
    byZone[member.zone].push_back(member);
  }
  const auto zonesBefore = std::exchange(membersByZone_, std::move(byZone));
  members_ = std::move(members);
  moved_ = 0;
  for (LeafIndex leaf = 0; leaf < places_.size(); ++leaf) {
    LeafPlace& place = places_[leaf];
    if (place.hash == 0) {
      continue;
    }
    const bool zoneSwitched = zonesBefore.count(place.zone) != membersByZone_.count(place.zone);
    const bool lostOwner = std::any_of(went.begin(), went.end(), [&](const Candidate& gone) {
      return std::any_of(place.ranked.begin(), place.ranked.end(),
                         [&](const Ranked& ranked) { return ranked.address == gone.address; });
    });
    if (zoneSwitched || lostOwner) {
      rankAgain(place);
    } else {
      const bool local = membersByZone_.count(place.zone) != 0;
      for (const auto& candidate : came) {
        if (!local || candidate.zone == place.zone) {
          offer(place, candidate);
        }
      }
    }
    moved_ += place.ranked.front().address == owners_[leaf].front() ? 0 : 1;
    writeOwners(leaf);
  }
}

void Placement::rankAgain(LeafPlace& place) {
  place.ranked = {};
  const auto local = membersByZone_.find(place.zone);
  for (const auto& member : local == membersByZone_.end() ? members_ : local->second) {
    offer(place, member);
  }
}

/// Inserts the candidate if it ranks among the owners; ties go to the lower address.
void Placement::offer(LeafPlace& place, const Candidate& candidate) {
  Ranked offered{hashPair(place.hash, candidate.address.packed()), candidate.address};
  for (auto& ranked : place.ranked) {
    if (ranked.address == offered.address) {
      return;
    }
    const bool better = ranked.address == Endpoint() || offered.weight > ranked.weight ||
                        (offered.weight == ranked.weight && offered.address < ranked.address);
    if (better) {
      std::swap(ranked, offered);
    }
  }
}

void Placement::writeOwners(LeafIndex leaf) {
  for (std::size_t rank = 0; rank < kOwnersPerLeaf; ++rank) {
    owners_[leaf][rank] = places_[leaf].ranked[rank].address;
  }
}

}  // namespace oakpier
