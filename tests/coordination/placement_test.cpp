#include "coordination/placement.h"

#include "simulation/simulated_fleet.h"
#include "state/hashing.h"
#include "support/property.h"

namespace oakpier {

namespace {

constexpr std::size_t kLeafs = 300;

std::vector<Candidate> candidates(std::size_t count) {
  std::vector<Candidate> members;
  for (std::uint32_t number = 0; number < count; ++number) {
    members.push_back({Endpoint(number + 1, 1), hashText("zone-" + std::to_string(number % 3))});
  }
  return members;
}

const RoutingTable& table() {
  static const RoutingTable only(smallConfiguration(kLeafs), nullptr);
  return only;
}

Placement placementOf(const std::vector<Candidate>& members) {
  Placement placement;
  placement.updateLeafs(table());
  placement.setMembers(members);
  return placement;
}

}  // namespace

TEST_CASE("owners do not depend on the order in which members joined and departed", "[coordination]") {
  OAKPIER_PROPERTY("path independence", [] {
    Placement moved;
    moved.updateLeafs(table());
    std::vector<Candidate> members;
    for (int step = 0; step < 6; ++step) {
      const auto kept = *rc::gen::container<std::vector<bool>>(30, rc::gen::arbitrary<bool>());
      members.clear();
      for (std::size_t number = 0; number < kept.size(); ++number) {
        if (kept[number]) {
          members.push_back(candidates(kept.size())[number]);
        }
      }
      moved.setMembers(members);
    }
    RC_ASSERT(moved.owners() == placementOf(members).owners());
  });
}

TEST_CASE("owners are serving members, from the leaf's zone if it has any", "[coordination]") {
  OAKPIER_PROPERTY("zones", [] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 20);
    const auto members = candidates(count);
    const Placement placement = placementOf(members);
    for (LeafIndex leaf = 0; leaf < kLeafs; ++leaf) {
      const std::uint64_t zone = hashText(table().zoneName(table().leaf(leaf).zone));
      const auto owner = std::find_if(members.begin(), members.end(), [&](const Candidate& member) {
        return member.address == placement.owners()[leaf].front();
      });
      RC_ASSERT(owner != members.end());
      const bool zoneServed = std::any_of(members.begin(), members.end(),
                                          [&](const Candidate& member) { return member.zone == zone; });
      RC_ASSERT(!zoneServed || owner->zone == zone);
    }
  });
}

TEST_CASE("the departure of a member moves only the leafs it owned", "[coordination]") {
  OAKPIER_PROPERTY("least movement", [] {
    auto members = candidates(30);
    const auto before = placementOf(members).owners();
    const auto gone = *rc::gen::inRange<std::size_t>(0, members.size());
    const Endpoint address = members[gone].address;
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(gone));
    const auto after = placementOf(members).owners();
    for (std::size_t leaf = 0; leaf < before.size(); ++leaf) {
      RC_ASSERT(before[leaf].front() == address || before[leaf].front() == after[leaf].front());
    }
  });
}

TEST_CASE("owners with different views together stay within a leaf's connection limit", "[coordination]") {
  OAKPIER_PROPERTY("connection bound", [] {
    LeafEntry leaf;
    leaf.slots = *rc::gen::inRange<std::uint16_t>(1, 50);
    leaf.maxConnections = *rc::gen::inRange<std::uint16_t>(kConcurrentOwners, 200);
    RC_ASSERT(connectionShare(leaf) >= 1U);
    RC_ASSERT(connectionShare(leaf) * kConcurrentOwners <= leaf.maxConnections);
  });
}

}  // namespace oakpier
