#include "coordination/serving/epoch_watch.h"

#include <catch2/catch.hpp>

namespace oakpier::serving {

namespace {

const ToldEpoch kUnanswered{ToldEpoch::Kind::kUnanswered, 0};
const ToldEpoch kMissing{};
const ToldEpoch kMalformed{ToldEpoch::Kind::kMalformed, 0};

}  // namespace

TEST_CASE("a source that tells no epoch has one for good", "[serving][epoch]") {
  EpochWatch watch;
  REQUIRE(ToldEpoch{}.kind == ToldEpoch::Kind::kMissing);
  REQUIRE(watch.judge(kMissing, 0) == EpochVerdict::kKnown);
  REQUIRE(watch.judge(kMissing, 0) == EpochVerdict::kKnown);
  REQUIRE(watch.counters().missing == 0);
}

TEST_CASE("an epoch is newer, known or older than the one that is known", "[serving][epoch]") {
  EpochWatch watch;
  REQUIRE(watch.judge(ToldEpoch::of(4), 0) == EpochVerdict::kNewer);
  REQUIRE(watch.judge(ToldEpoch::of(4), 4) == EpochVerdict::kKnown);
  REQUIRE(watch.judge(ToldEpoch::of(5), 4) == EpochVerdict::kNewer);
  REQUIRE(watch.judge(ToldEpoch::of(4), 5) == EpochVerdict::kOlder);
  REQUIRE(watch.counters().older == 1);
  REQUIRE(watch.counters().told == 4);
}

TEST_CASE("epochs that were never heard of are counted", "[serving][epoch]") {
  EpochWatch watch;
  watch.onRestored(4, 5);
  REQUIRE(watch.counters().restorations == 1);
  REQUIRE(watch.counters().skipped == 0);
  watch.onRestored(5, 8);
  REQUIRE(watch.counters().restorations == 2);
  REQUIRE(watch.counters().skipped == 2);
}

TEST_CASE("once told, an epoch that is missing or malformed is not taken for the known one",
          "[serving][epoch]") {
  EpochWatch watch;
  REQUIRE(watch.judge(kMalformed, 0) == EpochVerdict::kMalformed);
  watch.judge(ToldEpoch::of(0), 0);
  REQUIRE(watch.judge(kMissing, 0) == EpochVerdict::kMissing);
  REQUIRE(watch.judge(kMalformed, 0) == EpochVerdict::kMalformed);
  // The lack of an answer says nothing.
  REQUIRE(watch.judge(kUnanswered, 0) == EpochVerdict::kKnown);
  REQUIRE(watch.counters().missing == 1);
  REQUIRE(watch.counters().malformed == 2);
}

TEST_CASE("an epoch that another daemon has told counts as told", "[serving][epoch]") {
  EpochWatch watch;
  REQUIRE(watch.judge(kMissing, 3) == EpochVerdict::kMissing);
}

}  // namespace oakpier::serving
