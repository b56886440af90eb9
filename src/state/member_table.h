#pragma once

/// What this daemon believes of every daemon: one compact record each, since there are thousands.

#include <cstdint>
#include <string>
#include <vector>

#include "oakpier/operator.pb.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier {

/// Zones are few; records hold their number, not their name.
using ZoneNumber = std::uint16_t;

struct MemberRecord {
  Endpoint address;
  /// Of one process; a restarted process has a higher one.
  std::uint64_t incarnation = 0;
  /// Raised by the member itself to refute a suspicion.
  std::uint32_t refutation = 0;
  ZoneNumber zone = 0;
  MemberCondition condition = MEMBER_ALIVE;
  Moment changedAt{};

  bool serving() const { return condition == MEMBER_ALIVE || condition == MEMBER_SUSPECT; }
};

/// Records sorted by address. Not thread-safe.
class MemberTable {
 public:
  const std::vector<MemberRecord>& records() const { return records_; }
  const MemberRecord* find(const Endpoint& address) const;
  MemberRecord* find(const Endpoint& address);
  /// `record.address` must not be in the table.
  MemberRecord& add(const MemberRecord& record);
  void remove(const Endpoint& address);
  void clear() { records_.clear(); }

  ZoneNumber zoneNumber(const std::string& zone);
  const std::string& zoneName(ZoneNumber zone) const { return zones_[zone]; }

 private:
  std::vector<MemberRecord> records_;
  std::vector<std::string> zones_;
};

/// True when `update` carries newer knowledge than `known`: a later process, a later refutation, or, for the
/// same refutation, the graver condition.
bool supersedes(const MemberRecord& update, const MemberRecord& known);

}  // namespace oakpier
