#include "state/member_table.h"

#include <algorithm>

#include "state/hashing.h"

namespace oakpier {

namespace {

template <typename Records>
auto positionOf(Records& records, const Endpoint& address) {
  return std::lower_bound(
      records.begin(), records.end(), address,
      [](const MemberRecord& record, const Endpoint& wanted) { return record.address < wanted; });
}

/// Orders conditions; of two records with the same refutation, the one with the higher severity is kept.
int severity(MemberCondition condition) {
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

void MemberTable::put(const MemberRecord& record) {
  const auto position = positionOf(records_, record.address);
  if (position == records_.end() || position->address != record.address) {
    records_.insert(position, record);
  } else {
    count(*position, false);
    *position = record;
  }
  count(record, true);
}

void MemberTable::remove(const Endpoint& address) {
  const auto position = positionOf(records_, address);
  if (position != records_.end() && position->address == address) {
    count(*position, false);
    records_.erase(position);
  }
}

/// Updates the count and the digests of serving members.
void MemberTable::count(const MemberRecord& record, bool added) {
  if (record.serving()) {
    servingCount_ += added ? 1 : -1;
    digests_[partOf(record.address)] ^= digestOf(record);
  }
}

std::size_t partOf(const Endpoint& address) { return hashPair(address.packed(), 0) % kTableParts; }

std::uint64_t digestOf(const MemberRecord& record) {
  const std::uint64_t process = hashPair(record.address.packed(), record.incarnation);
  return record.capacity == 0 ? process : hashPair(process, record.capacity);
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
  return severity(update.condition) > severity(known.condition);
}

}  // namespace oakpier
