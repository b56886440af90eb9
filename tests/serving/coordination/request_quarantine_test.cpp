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
/// After the interval without crashes that a trial waits for.
constexpr int kLater = 5000;

Verdict verdictOf(const RequestQuarantine& quarantine, int milliseconds) {
  return quarantine.assess(kRequest, at(milliseconds)).verdict;
}

/// A quarantine in which `kRequest` has crashed this many leafs.
RequestQuarantine quarantineWithCrashes(std::uint64_t crashedLeafs) {
  RequestQuarantine quarantine;
  for (std::uint64_t leaf = 1; leaf <= crashedLeafs; ++leaf) {
    quarantine.onLeafCrashed(kRequest, leaf, at(1000));
  }
  return quarantine;
}

}  // namespace

TEST_CASE("one crashed leaf, even if its crash is reported twice, does not make a request suspect",
          "[serving]") {
  RequestQuarantine quarantine = quarantineWithCrashes(1);
  quarantine.onLeafCrashed(kRequest, 1, at(1100));
  REQUIRE(verdictOf(quarantine, kLater) == Verdict::kUnsuspected);
}

TEST_CASE("a suspect request gets a trial once there was no crash for some time", "[serving]") {
  RequestQuarantine quarantine = quarantineWithCrashes(20);
  const auto early = quarantine.assess(kRequest, at(1100));
  REQUIRE(early.verdict == Verdict::kDeferred);
  REQUIRE(early.retryAfter == std::chrono::milliseconds(200));
  quarantine.onLeafCrashed(kOther, 77, at(1200));
  REQUIRE(verdictOf(quarantine, 1400) == Verdict::kDeferred);
  REQUIRE(verdictOf(quarantine, 1600) == Verdict::kTrial);
}

TEST_CASE("a trial that crashes its leaf quarantines the request until the next trial", "[serving]") {
  RequestQuarantine quarantine = quarantineWithCrashes(2);
  quarantine.onTrial(kRequest, at(kLater));
  REQUIRE(verdictOf(quarantine, kLater + 1) == Verdict::kDeferred);
  quarantine.onLeafCrashed(kRequest, 3, at(kLater + 10));
  REQUIRE(verdictOf(quarantine, kLater + 10) == Verdict::kQuarantined);
  REQUIRE(quarantine.quarantinedCount(at(kLater + 10)) == 1);
  constexpr int kHour = 3600 * 1000;
  REQUIRE(verdictOf(quarantine, kLater + kHour) == Verdict::kQuarantined);
  REQUIRE(verdictOf(quarantine, kLater + 10 + kHour) == Verdict::kTrial);
  quarantine.onTrial(kRequest, at(kLater + 10 + kHour));
  REQUIRE(verdictOf(quarantine, kLater + 10 + kHour) == Verdict::kDeferred);
  quarantine.onLeafCrashed(kRequest, 4, at(kLater + 20 + kHour));
  REQUIRE(verdictOf(quarantine, kLater + 20 + kHour) == Verdict::kQuarantined);
}

TEST_CASE("trials without an answer or a crash become rarer and do not quarantine the request", "[serving]") {
  RequestQuarantine quarantine = quarantineWithCrashes(20);
  int now = kLater;
  for (const int pause : {2000, 8000, 32000}) {
    REQUIRE(verdictOf(quarantine, now) == Verdict::kTrial);
    quarantine.onTrial(kRequest, at(now));
    REQUIRE(verdictOf(quarantine, now + pause - 1) == Verdict::kDeferred);
    now += pause;
  }
}

TEST_CASE("an answer clears a request, also of earlier evidence that a peer reports later", "[serving]") {
  RequestQuarantine quarantine = quarantineWithCrashes(3);
  const QuarantineRecord old = quarantine.newest(1).front();
  quarantine.onTrial(kRequest, at(kLater));
  quarantine.onAnswered(kRequest, at(kLater + 5));
  REQUIRE(verdictOf(quarantine, kLater + 10) == Verdict::kUnsuspected);
  quarantine.merge(old);
  REQUIRE(verdictOf(quarantine, kLater + 10) == Verdict::kUnsuspected);
}

TEST_CASE("evidence of several daemons adds up, and changes are reported once", "[serving]") {
  RequestQuarantine here = quarantineWithCrashes(1);
  RequestQuarantine there;
  there.onLeafCrashed(kRequest, 9, at(1000));
  const auto reported = there.takeChanged();
  REQUIRE(reported.size() == 1);
  REQUIRE(there.takeChanged().empty());
  here.takeChanged();
  here.merge(reported.front());
  REQUIRE(verdictOf(here, kLater) == Verdict::kTrial);
  REQUIRE(here.takeChanged().size() == 1);
  here.merge(reported.front());
  REQUIRE(here.takeChanged().empty());
}

TEST_CASE("the number of records is limited, and records expire", "[serving]") {
  RequestQuarantine quarantine;
  for (std::uint64_t number = 0; number < RequestQuarantine::kMaxRecords + 10; ++number) {
    quarantine.onLeafCrashed({number, number}, number, at(static_cast<int>(number)));
  }
  REQUIRE(quarantine.size() == RequestQuarantine::kMaxRecords);
  REQUIRE(quarantine.newest(1).front().fingerprint.high == RequestQuarantine::kMaxRecords + 9);
  quarantine.dropExpired(at(20 * 60 * 1000));
  REQUIRE(quarantine.empty());
}

TEST_CASE("daemons with the same evidence give the same verdict, whatever the order", "[serving]") {
  OAKPIER_PROPERTY("order of evidence", [] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<RequestQuarantine> observers(3);
    int now = 1000;
    for (std::size_t step = 0; step < count; ++step) {
      RequestQuarantine& observer = observers[*rc::gen::inRange<std::size_t>(0, 3)];
      now += *rc::gen::inRange(0, 400);
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          observer.onTrial(kRequest, at(now));
          break;
        case 1:
          observer.onAnswered(kRequest, at(now));
          break;
        default:
          observer.onLeafCrashed(kRequest, *rc::gen::inRange<std::uint64_t>(1, 9), at(now));
      }
    }
    std::vector<QuarantineRecord> reported;
    for (const RequestQuarantine& observer : observers) {
      for (const QuarantineRecord& record : observer.newest(4)) {
        reported.push_back(record);
      }
    }
    RequestQuarantine one;
    RequestQuarantine other;
    for (const QuarantineRecord& record : reported) {
      one.merge(record);
    }
    std::reverse(reported.begin(), reported.end());
    for (const QuarantineRecord& record : reported) {
      // Encoded as on the wire, and delivered twice.
      for (int time = 0; time < 2; ++time) {
        for (const QuarantineRecord& decoded :
             decodeQuarantineRecords(encodeQuarantineRecords({record}, at(now)), at(now))) {
          other.merge(decoded);
        }
      }
    }
    RC_ASSERT(one.assess(kRequest, at(now + 400)).verdict == other.assess(kRequest, at(now + 400)).verdict);
  });
}

TEST_CASE("records outside the limits are dropped when decoded", "[serving]") {
  EndingRequests message = encodeQuarantineRecords({quarantineWithCrashes(3).newest(1)}, at(2000));
  REQUIRE(decodeQuarantineRecords(message, at(2000)).size() == 1);
  SECTION("an age beyond the retention") {
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
