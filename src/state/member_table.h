#pragma once

/// What this daemon believes of every daemon: one compact record each, since there are thousands.

#include <array>
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
  /// In hundredths of a processor core; 0 when the member did not tell.
  std::uint32_t capacity = 0;
  Moment changedAt{};

  bool serving() const { return condition == MEMBER_ALIVE || condition == MEMBER_SUSPECT; }
};

/// The table is compared between daemons by digests of its parts; a member belongs to the part of its
/// address.
inline constexpr std::size_t kTableParts = 64;
std::size_t partOf(const Endpoint& address);
/// What a serving member adds to the digest of its part: process and capacity, so that daemons that place
/// work by different capacities compare their tables.
std::uint64_t digestOf(const MemberRecord& record);

/// Records sorted by address. Not thread-safe.
class MemberTable {
 public:
  const std::vector<MemberRecord>& records() const { return records_; }
  const MemberRecord* find(const Endpoint& address) const;
  /// Adds the record or replaces the one of the same address.
  void put(const MemberRecord& record);
  void remove(const Endpoint& address);
  std::size_t servingCount() const { return servingCount_; }
  /// Digests of the serving members; equal tables have equal ones.
  std::uint64_t partDigest(std::size_t part) const { return digests_[part]; }

  ZoneNumber zoneNumber(const std::string& zone);
  const std::string& zoneName(ZoneNumber zone) const { return zones_[zone]; }

 private:
  void count(const MemberRecord& record, bool added);

  std::vector<MemberRecord> records_;
  std::array<std::uint64_t, kTableParts> digests_{};
  std::size_t servingCount_ = 0;
  std::vector<std::string> zones_;
};

/// True when `update` carries newer knowledge than `known`: a later process, a later refutation, or, for the
/// same refutation, the graver condition.
bool supersedes(const MemberRecord& update, const MemberRecord& known);

}  // namespace oakpier
