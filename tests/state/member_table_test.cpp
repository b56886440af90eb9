#include "state/member_table.h"

#include "support/property.h"

namespace oakpier {

namespace {

MemberRecord drawRecord() {
  MemberRecord record;
  record.address = Endpoint(1, 1);
  record.incarnation = *rc::gen::inRange<std::uint64_t>(1, 3);
  record.refutation = *rc::gen::inRange(0U, 3U);
  record.condition = *rc::gen::element(MEMBER_ALIVE, MEMBER_SUSPECT, MEMBER_DEAD, MEMBER_LEFT);
  return record;
}

}  // namespace

TEST_CASE("supersedes is irreflexive and asymmetric", "[state]") {
  OAKPIER_PROPERTY("no two records supersede each other", [] {
    const MemberRecord one = drawRecord();
    const MemberRecord other = drawRecord();
    RC_ASSERT(!(supersedes(one, other) && supersedes(other, one)));
    RC_ASSERT(!supersedes(one, one));
  });
}

TEST_CASE("a member that left is alive again only under a higher incarnation", "[state]") {
  MemberRecord left;
  left.incarnation = 5;
  left.condition = MEMBER_LEFT;
  MemberRecord alive = left;
  alive.condition = MEMBER_ALIVE;
  alive.refutation = 9;
  REQUIRE_FALSE(supersedes(alive, left));
  alive.incarnation = 6;
  REQUIRE(supersedes(alive, left));
}

TEST_CASE("tables with the same serving members have the same digests", "[state]") {
  OAKPIER_PROPERTY("digests are independent of earlier records", [] {
    MemberTable one;
    MemberTable other;
    const auto count = *rc::gen::inRange(1, 20);
    for (int number = 0; number < count; ++number) {
      MemberRecord record = drawRecord();
      record.address = Endpoint(static_cast<std::uint32_t>(number), 1);
      MemberRecord former = record;
      former.condition = MEMBER_ALIVE;
      one.put(former);
      one.put(record);
      other.put(record);
    }
    for (std::size_t part = 0; part < kTableParts; ++part) {
      RC_ASSERT(one.partDigest(part) == other.partDigest(part));
    }
    RC_ASSERT(one.servingCount() == other.servingCount());
  });
}

}  // namespace oakpier
