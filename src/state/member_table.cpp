#include "state/member_table.h"

#include <algorithm>

namespace oakpier {

namespace {

template <typename Records>
auto positionOf(Records& records, const Endpoint& address) {
  return std::lower_bound(
      records.begin(), records.end(), address,
      [](const MemberRecord& record, const Endpoint& wanted) { return record.address < wanted; });
}

/// Graver conditions win over lighter ones of the same refutation.
int gravity(MemberCondition condition) {
  switch (condition) {
    case MEMBER_ALIVE:
      return 0;
    case MEMBER_SUSPECT:
      return 1;
    case MEMBER_DEAD:
      return 2;
    default:
      return 3;
  }
}

}  // namespace

const MemberRecord* MemberTable::find(const Endpoint& address) const {
  const auto position = positionOf(records_, address);
  return position != records_.end() && position->address == address ? &*position : nullptr;
}

MemberRecord* MemberTable::find(const Endpoint& address) {
  const auto position = positionOf(records_, address);
  return position != records_.end() && position->address == address ? &*position : nullptr;
}

MemberRecord& MemberTable::add(const MemberRecord& record) {
  return *records_.insert(positionOf(records_, record.address), record);
}

void MemberTable::remove(const Endpoint& address) {
  const auto position = positionOf(records_, address);
  if (position != records_.end() && position->address == address) {
    records_.erase(position);
  }
}

ZoneNumber MemberTable::zoneNumber(const std::string& zone) {
  const auto found = std::find(zones_.begin(), zones_.end(), zone);
  if (found != zones_.end()) {
    return static_cast<ZoneNumber>(found - zones_.begin());
  }
  zones_.push_back(zone);
  return static_cast<ZoneNumber>(zones_.size() - 1);
}

bool supersedes(const MemberRecord& update, const MemberRecord& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  if (known.condition == MEMBER_LEFT || update.condition == MEMBER_LEFT) {
    return known.condition != MEMBER_LEFT;
  }
  if (update.refutation != known.refutation) {
    return update.refutation > known.refutation;
  }
  return gravity(update.condition) > gravity(known.condition);
}

}  // namespace oakpier
