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

TEST_CASE("of two different records at most one supersedes the other", "[state]") {
  OAKPIER_PROPERTY("news is a strict order", [] {
    const MemberRecord one = drawRecord();
    const MemberRecord other = drawRecord();
    RC_ASSERT(!(supersedes(one, other) && supersedes(other, one)));
    RC_ASSERT(!supersedes(one, one));
  });
}

TEST_CASE("a process that left never returns under its incarnation", "[state]") {
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
  OAKPIER_PROPERTY("digests do not depend on the way", [] {
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
