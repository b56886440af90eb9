#include "coordination/serving/request_quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "protocol/serving/quarantine_codec.h"
#include "serving/support/serving_fixtures.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

using Verdict = RequestQuarantine::Verdict;

const RequestFingerprint kRequest{1, 2};
const RequestFingerprint kOther{3, 4};
/// Well after the calm that a trial waits for.
constexpr int kLater = 5000;

Verdict verdictOf(const RequestQuarantine& quarantine, int milliseconds) {
  return quarantine.judge(kRequest, at(milliseconds)).verdict;
}

/// With evidence that makes a trial due.
RequestQuarantine suspecting(std::uint64_t endedLeafs) {
  RequestQuarantine quarantine;
  for (std::uint64_t leaf = 1; leaf <= endedLeafs; ++leaf) {
    quarantine.onLeafEnded(kRequest, leaf, at(1000));
  }
  return quarantine;
}

}  // namespace

TEST_CASE("one leaf that ends, or one that ends twice, does not accuse a request", "[serving]") {
  RequestQuarantine quarantine = suspecting(1);
  quarantine.onLeafEnded(kRequest, 1, at(1100));
  REQUIRE(verdictOf(quarantine, kLater) == Verdict::kOrdinary);
}

TEST_CASE("a request under which leafs ended is tried on one leaf once no leaf ends any more", "[serving]") {
  RequestQuarantine quarantine = suspecting(20);
  const auto early = quarantine.judge(kRequest, at(1100));
  REQUIRE(early.verdict == Verdict::kNotYet);
  REQUIRE(early.retryAfter == std::chrono::milliseconds(200));
  quarantine.onLeafEnded(kOther, 77, at(1200));
  REQUIRE(verdictOf(quarantine, 1400) == Verdict::kNotYet);
  REQUIRE(verdictOf(quarantine, 1600) == Verdict::kTrial);
}

TEST_CASE("a trial that ends its leaf condemns the request until it is tried again", "[serving]") {
  RequestQuarantine quarantine = suspecting(2);
  quarantine.onTrial(kRequest, at(kLater));
  REQUIRE(verdictOf(quarantine, kLater + 1) == Verdict::kNotYet);
  quarantine.onLeafEnded(kRequest, 3, at(kLater + 10));
  REQUIRE(verdictOf(quarantine, kLater + 10) == Verdict::kCondemned);
  REQUIRE(quarantine.condemned(at(kLater + 10)) == 1);
  constexpr int kHour = 3600 * 1000;
  REQUIRE(verdictOf(quarantine, kLater + kHour) == Verdict::kCondemned);
  REQUIRE(verdictOf(quarantine, kLater + 10 + kHour) == Verdict::kTrial);
  quarantine.onTrial(kRequest, at(kLater + 10 + kHour));
  REQUIRE(verdictOf(quarantine, kLater + 10 + kHour) == Verdict::kNotYet);
  quarantine.onLeafEnded(kRequest, 4, at(kLater + 20 + kHour));
  REQUIRE(verdictOf(quarantine, kLater + 20 + kHour) == Verdict::kCondemned);
}

TEST_CASE("trials that tell nothing become rarer and condemn nobody", "[serving]") {
  RequestQuarantine quarantine = suspecting(20);
  int now = kLater;
  for (const int pause : {2000, 8000, 32000}) {
    REQUIRE(verdictOf(quarantine, now) == Verdict::kTrial);
    quarantine.onTrial(kRequest, at(now));
    REQUIRE(verdictOf(quarantine, now + pause - 1) == Verdict::kNotYet);
    now += pause;
  }
}

TEST_CASE("an answer clears a request, also against evidence that comes from elsewhere later", "[serving]") {
  RequestQuarantine quarantine = suspecting(3);
  const QuarantineRecord old = quarantine.newest(1).front();
  quarantine.onTrial(kRequest, at(kLater));
  quarantine.onAnswered(kRequest, at(kLater + 5));
  REQUIRE(verdictOf(quarantine, kLater + 10) == Verdict::kOrdinary);
  quarantine.merge(old);
  REQUIRE(verdictOf(quarantine, kLater + 10) == Verdict::kOrdinary);
}

TEST_CASE("evidence of several daemons adds up, and changes are told once", "[serving]") {
  RequestQuarantine here = suspecting(1);
  RequestQuarantine there;
  there.onLeafEnded(kRequest, 9, at(1000));
  const auto told = there.takeChanged();
  REQUIRE(told.size() == 1);
  REQUIRE(there.takeChanged().empty());
  here.takeChanged();
  here.merge(told.front());
  REQUIRE(verdictOf(here, kLater) == Verdict::kTrial);
  REQUIRE(here.takeChanged().size() == 1);
  here.merge(told.front());
  REQUIRE(here.takeChanged().empty());
}

TEST_CASE("what is known is bounded and forgotten in the end", "[serving]") {
  RequestQuarantine quarantine;
  for (std::uint64_t number = 0; number < RequestQuarantine::kMostRecords + 10; ++number) {
    quarantine.onLeafEnded({number, number}, number, at(static_cast<int>(number)));
  }
  REQUIRE(quarantine.size() == RequestQuarantine::kMostRecords);
  REQUIRE(quarantine.newest(1).front().fingerprint.high == RequestQuarantine::kMostRecords + 9);
  quarantine.forgetOld(at(20 * 60 * 1000));
  REQUIRE(quarantine.empty());
}

TEST_CASE("daemons that know the same evidence judge alike, in whatever order it came", "[serving]") {
  OAKPIER_PROPERTY("order of evidence", [] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<RequestQuarantine> witnesses(3);
    int now = 1000;
    for (std::size_t step = 0; step < count; ++step) {
      RequestQuarantine& witness = witnesses[*rc::gen::inRange<std::size_t>(0, 3)];
      now += *rc::gen::inRange(0, 400);
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          witness.onTrial(kRequest, at(now));
          break;
        case 1:
          witness.onAnswered(kRequest, at(now));
          break;
        default:
          witness.onLeafEnded(kRequest, *rc::gen::inRange<std::uint64_t>(1, 9), at(now));
      }
    }
    std::vector<QuarantineRecord> told;
    for (const RequestQuarantine& witness : witnesses) {
      for (const QuarantineRecord& record : witness.newest(4)) {
        told.push_back(record);
      }
    }
    RequestQuarantine one;
    RequestQuarantine other;
    for (const QuarantineRecord& record : told) {
      one.merge(record);
    }
    std::reverse(told.begin(), told.end());
    for (const QuarantineRecord& record : told) {
      // Also by way of a frame, and twice.
      for (int time = 0; time < 2; ++time) {
        for (const QuarantineRecord& decoded :
             decodeQuarantineRecords(encodeQuarantineRecords({record}, at(now)), at(now))) {
          other.merge(decoded);
        }
      }
    }
    RC_ASSERT(one.judge(kRequest, at(now + 400)).verdict == other.judge(kRequest, at(now + 400)).verdict);
  });
}

TEST_CASE("records that break a bound are not believed", "[serving]") {
  EndingRequests message = encodeQuarantineRecords({suspecting(3).newest(1)}, at(2000));
  REQUIRE(decodeQuarantineRecords(message, at(2000)).size() == 1);
  SECTION("an age beyond all memory") {
    message.mutable_requests(0)->set_last_ended_age_us(std::uint64_t{1} << 62);
    REQUIRE(decodeQuarantineRecords(message, at(2000)).empty());
  }
  SECTION("too many leafs") {
    for (std::uint64_t leaf = 0; leaf < 9; ++leaf) {
      message.mutable_requests(0)->add_ended_leafs(leaf);
    }
    REQUIRE(decodeQuarantineRecords(message, at(2000)).empty());
  }
}

}  // namespace oakpier::serving
