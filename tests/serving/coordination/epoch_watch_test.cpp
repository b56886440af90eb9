#include "coordination/serving/epoch_watch.h"

#include <catch2/catch.hpp>

namespace oakpier::serving {

namespace {

const ToldEpoch kUnanswered{ToldEpoch::Kind::kUnanswered, 0};
const ToldEpoch kMissing{};
const ToldEpoch kMalformed{ToldEpoch::Kind::kMalformed, 0};

}  // namespace

TEST_CASE("answers without an epoch are accepted if none was ever reported", "[serving][epoch]") {
  EpochWatch watch;
  REQUIRE(ToldEpoch{}.kind == ToldEpoch::Kind::kMissing);
  REQUIRE(watch.judge(kMissing, 0) == EpochVerdict::kKnown);
  REQUIRE(watch.judge(kMissing, 0) == EpochVerdict::kKnown);
  REQUIRE(watch.counters().missing == 0);
}

TEST_CASE("a reported epoch is newer than, equal to or older than the known one", "[serving][epoch]") {
  EpochWatch watch;
  REQUIRE(watch.judge(ToldEpoch::of(4), 0) == EpochVerdict::kNewer);
  REQUIRE(watch.judge(ToldEpoch::of(4), 4) == EpochVerdict::kKnown);
  REQUIRE(watch.judge(ToldEpoch::of(5), 4) == EpochVerdict::kNewer);
  REQUIRE(watch.judge(ToldEpoch::of(4), 5) == EpochVerdict::kOlder);
  REQUIRE(watch.counters().older == 1);
  REQUIRE(watch.counters().told == 4);
}

TEST_CASE("skipped epochs are counted", "[serving][epoch]") {
  EpochWatch watch;
  watch.onRestored(4, 5);
  REQUIRE(watch.counters().restorations == 1);
  REQUIRE(watch.counters().skipped == 0);
  watch.onRestored(5, 8);
  REQUIRE(watch.counters().restorations == 2);
  REQUIRE(watch.counters().skipped == 2);
}

TEST_CASE("after an epoch was reported, a missing or malformed one does not count as known",
          "[serving][epoch]") {
  EpochWatch watch;
  REQUIRE(watch.judge(kMalformed, 0) == EpochVerdict::kMalformed);
  watch.judge(ToldEpoch::of(0), 0);
  REQUIRE(watch.judge(kMissing, 0) == EpochVerdict::kMissing);
  REQUIRE(watch.judge(kMalformed, 0) == EpochVerdict::kMalformed);
  // Without an answer there is nothing to compare.
  REQUIRE(watch.judge(kUnanswered, 0) == EpochVerdict::kKnown);
  REQUIRE(watch.counters().missing == 1);
  REQUIRE(watch.counters().malformed == 2);
}

TEST_CASE("an epoch received from a peer counts as reported", "[serving][epoch]") {
  EpochWatch watch;
  REQUIRE(watch.judge(kMissing, 3) == EpochVerdict::kMissing);
}

}  // namespace oakpier::serving
