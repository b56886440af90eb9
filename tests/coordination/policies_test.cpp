#include "coordination/admission.h"
#include "coordination/budget.h"
#include "coordination/frame_age.h"
#include "coordination/latency_tracker.h"
#include "coordination/owner_health.h"
#include "support/property.h"

namespace oakpier {

TEST_CASE("extra attempts never exceed their share of regular requests plus the burst", "[coordination]") {
  OAKPIER_PROPERTY("budget", [] {
    constexpr int kBurst = 20;
    ShareBudget budget;
    const auto percent = *rc::gen::inRange(0U, 101U);
    const auto requests = *rc::gen::inRange(0, 2000);
    int spent = 0;
    for (int request = 0; request < requests; ++request) {
      budget.earn(1, percent);
      spent += budget.spend() ? 1 : 0;
    }
    RC_ASSERT(spent <= kBurst + requests * static_cast<int>(percent) / 100 + 1);
  });
}

TEST_CASE("the lowest class is refused while the highest is still admitted", "[coordination]") {
  Admission admission(10, true);
  const ClassEntry high{"high", 0, 10};
  const ClassEntry low{"low", 5, 10};
  int lowAdmitted = 0;
  while (admission.admit(low)) {
    ++lowAdmitted;
  }
  REQUIRE(lowAdmitted == 5);
  REQUIRE(admission.admit(high));
  REQUIRE(admission.retryAfter() > Duration(0));
  admission.release(low, std::chrono::milliseconds(10));
  admission.release(low, std::chrono::milliseconds(10));
  REQUIRE(admission.admit(low));
}

TEST_CASE("the latency estimate follows recent latencies", "[coordination]") {
  LatencyTracker tracker(0.9);
  Moment now{std::chrono::hours(1)};
  REQUIRE_FALSE(tracker.estimate().has_value());
  const auto feed = [&](int latencyMs) {
    for (int count = 0; count < 400; ++count) {
      now += std::chrono::milliseconds(30);
      tracker.record(std::chrono::milliseconds(latencyMs), now);
    }
  };
  feed(5);
  REQUIRE(toMilliseconds(*tracker.estimate()) == 5);
  feed(50);
  REQUIRE(toMilliseconds(*tracker.estimate()) == 50);
}

TEST_CASE("an unresponsive owner is avoided until it answers", "[coordination]") {
  OwnerHealth health;
  const Endpoint owner(1, 1);
  Moment now{std::chrono::hours(1)};
  for (int frame = 0; frame < 5; ++frame) {
    health.recordSent(owner, now);
  }
  REQUIRE_FALSE(health.unresponsive(owner, now));
  now += std::chrono::seconds(1);
  // One caller per probe period sends to the owner; the others still avoid it.
  REQUIRE_FALSE(health.unresponsive(owner, now));
  REQUIRE(health.unresponsive(owner, now));
  health.recordReply(owner);
  REQUIRE_FALSE(health.unresponsive(owner, now));
}

TEST_CASE("the age of a frame equals its queueing time, independent of clock offsets", "[coordination]") {
  OAKPIER_PROPERTY("frame age", [] {
    FrameAge age;
    const Endpoint sender(1, 1);
    const auto skew = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000);
    const auto wait = *rc::gen::inRange<std::int64_t>(0, 60'000'000);
    const Moment start{std::chrono::hours(1)};
    const auto sent = static_cast<std::uint64_t>(start.time_since_epoch().count() + skew);
    RC_ASSERT(age.ageOf(sender, 1, sent, start + Duration(500)) == Duration(0));
    RC_ASSERT(age.ageOf(sender, 1, sent, start + Duration(500 + wait)) == Duration(wait));
    // A restarted sender's clock has another origin.
    RC_ASSERT(age.ageOf(sender, 2, 5, start + Duration(500)) == Duration(0));
  });
}

}  // namespace oakpier
