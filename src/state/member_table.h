#pragma once

/// The membership list of this daemon: one compact record per daemon, since there are thousands.

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "oakpier/operator.pb.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier {

/// Index into the table's zone names.
using ZoneNumber = std::uint16_t;

struct MemberRecord {
  Endpoint address;
  /// Identifies one process; higher after a restart.
  std::uint64_t incarnation = 0;
  /// Raised by the member itself to refute a suspicion.
  std::uint32_t refutation = 0;
  ZoneNumber zone = 0;
  MemberCondition condition = MEMBER_ALIVE;
  /// In hundredths of a processor core; 0 if not reported.
  std::uint32_t capacity = 0;
  Moment changedAt{};

  bool serving() const { return condition == MEMBER_ALIVE || condition == MEMBER_SUSPECT; }
};

/// Daemons compare their tables by digests of its parts; a member's address determines its part.
inline constexpr std::size_t kTableParts = 64;
std::size_t partOf(const Endpoint& address);
/// A serving member's contribution to the digest of its part: a hash of its address, incarnation and
/// capacity. With the capacity, daemons that would place work by different capacities detect the difference.
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
  /// XOR of the digests of the part's serving members; independent of the order of updates.
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

/// True when `update` replaces `known`: it has a higher incarnation or, within one incarnation, a higher
/// refutation or, for the same refutation, the more severe condition. Within one incarnation, MEMBER_LEFT
/// replaces every other condition whatever the refutation, and is final.
bool supersedes(const MemberRecord& update, const MemberRecord& known);

}  // namespace oakpier
