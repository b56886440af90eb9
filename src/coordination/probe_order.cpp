#include "coordination/probe_order.h"

#include <algorithm>
#include <utility>

namespace oakpier {

void ProbeOrder::add(const Endpoint& member, RandomEngine& random) {
  remaining_.push_back(member);
  std::swap(remaining_.back(), remaining_[drawBelow(remaining_.size(), random)]);
}

std::optional<Endpoint> ProbeOrder::popServing(const MemberTable& members) {
  while (!remaining_.empty()) {
    const Endpoint target = remaining_.back();
    remaining_.pop_back();
    const MemberRecord* record = members.find(target);
    if (record != nullptr && record->serving()) {
      return target;
    }
  }
  return std::nullopt;
}

std::optional<Endpoint> ProbeOrder::next(const MemberTable& members, RandomEngine& random) {
  if (const auto target = popServing(members)) {
    return target;
  }
  for (const auto& record : members.records()) {
    if (record.serving()) {
      remaining_.push_back(record.address);
    }
  }
  std::shuffle(remaining_.begin(), remaining_.end(), random);
  return popServing(members);
}

std::optional<Endpoint> DeadMembers::draw(const MemberTable& members, RandomEngine& random) {
  while (!dead_.empty()) {
    std::swap(dead_.back(), dead_[drawBelow(dead_.size(), random)]);
    const MemberRecord* record = members.find(dead_.back());
    if (record != nullptr && record->condition == MEMBER_DEAD) {
      return dead_.back();
    }
    dead_.pop_back();
  }
  return std::nullopt;
}

}  // namespace oakpier
