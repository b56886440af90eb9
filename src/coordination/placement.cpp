#include "coordination/placement.h"

#include <algorithm>
#include <set>

#include "state/hashing.h"

namespace oakpier {

namespace {

bool byAddress(const Candidate& left, const Candidate& right) { return left.address < right.address; }

}  // namespace

std::uint32_t connectionShare(const LeafEntry& leaf) {
  const std::uint32_t share = std::max<std::uint32_t>(1, leaf.maxConnections / kConcurrentOwners);
  return std::min<std::uint32_t>(share, 2U * leaf.slots);
}

void Placement::setLeaves(const RoutingTable& table) {
  places_.clear();
  places_.reserve(table.leaves().size());
  for (const auto& leaf : table.leaves()) {
    LeafPlace place;
    place.hash = hashText(leaf.name);
    place.zone = hashText(table.zoneName(leaf.zone));
    rankAgain(place);
    places_.push_back(place);
  }
  moved_ = places_.size();
  writeOwners();
}

void Placement::setMembers(std::vector<Candidate> members) {
  std::sort(members.begin(), members.end(), byAddress);
  std::vector<Candidate> came;
  std::vector<Candidate> went;
  std::set_difference(members.begin(), members.end(), members_.begin(), members_.end(),
                      std::back_inserter(came), byAddress);
  std::set_difference(members_.begin(), members_.end(), members.begin(), members.end(),
                      std::back_inserter(went), byAddress);
  // Zones that gain their first member or lose their last one are ranked anew, as they borrow from all
  // others.
  std::set<std::uint64_t> zonesBefore;
  std::set<std::uint64_t> zonesNow;
  for (const auto& member : members_) zonesBefore.insert(member.zone);
  for (const auto& member : members) zonesNow.insert(member.zone);
  members_ = std::move(members);
  moved_ = 0;
  for (auto& place : places_) {
    const Endpoint before = place.ranked.front().address;
    const bool zoneSwitched = zonesBefore.count(place.zone) != zonesNow.count(place.zone);
    const bool lostOwner = std::any_of(went.begin(), went.end(), [&](const Candidate& gone) {
      return std::any_of(place.ranked.begin(), place.ranked.end(),
                         [&](const Ranked& ranked) { return ranked.address == gone.address; });
    });
    if (zoneSwitched || lostOwner) {
      rankAgain(place);
    } else {
      const bool local = zonesNow.count(place.zone) != 0;
      for (const auto& candidate : came) {
        if (!local || candidate.zone == place.zone) {
          offer(place, candidate);
        }
      }
    }
    moved_ += place.ranked.front().address == before ? 0 : 1;
  }
  writeOwners();
}

void Placement::rankAgain(LeafPlace& place) {
  place.ranked = {};
  const bool local = zoneHasMembers(place.zone);
  for (const auto& member : members_) {
    if (!local || member.zone == place.zone) {
      offer(place, member);
    }
  }
}

/// Puts the candidate at its rank, if it has one.
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

bool Placement::zoneHasMembers(std::uint64_t zone) const {
  return std::any_of(members_.begin(), members_.end(),
                     [zone](const Candidate& member) { return member.zone == zone; });
}

void Placement::writeOwners() {
  owners_.resize(places_.size());
  for (std::size_t leaf = 0; leaf < places_.size(); ++leaf) {
    for (std::size_t rank = 0; rank < kOwnersPerLeaf; ++rank) {
      owners_[leaf][rank] = places_[leaf].ranked[rank].address;
    }
  }
}

}  // namespace oakpier
