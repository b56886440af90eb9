#include "coordination/serving/epoch_watch.h"

#include <catch2/catch.hpp>

namespace oakpier::serving {

namespace {

const ToldEpoch kMissing{};
const ToldEpoch kMalformed{ToldEpoch::Kind::kMalformed, 0};

}  // namespace

TEST_CASE("a source that tells no epoch has one for good", "[serving][epoch]") {
  EpochWatch watch;
  REQUIRE(watch.judge(kMissing) == EpochVerdict::kKnown);
  watch.adopt(0);
  REQUIRE(watch.judge(kMissing) == EpochVerdict::kKnown);
  REQUIRE(watch.counters().missing == 0);
}

TEST_CASE("an epoch is newer, known or older than the one that is known", "[serving][epoch]") {
  EpochWatch watch;
  REQUIRE(watch.judge(ToldEpoch::of(4)) == EpochVerdict::kNewer);
  watch.adopt(4);
  REQUIRE(watch.judge(ToldEpoch::of(4)) == EpochVerdict::kKnown);
  REQUIRE(watch.judge(ToldEpoch::of(5)) == EpochVerdict::kNewer);
  watch.adopt(5);
  REQUIRE(watch.judge(ToldEpoch::of(4)) == EpochVerdict::kOlder);
  REQUIRE(watch.known() == 5);
  watch.adopt(3);
  REQUIRE(watch.known() == 5);
  // The first epoch that is ever known is no restoration.
  REQUIRE(watch.counters().restorations == 1);
  REQUIRE(watch.counters().older == 1);
  REQUIRE(watch.counters().skipped == 0);
}

TEST_CASE("epochs that were never heard of are counted", "[serving][epoch]") {
  EpochWatch watch;
  watch.adopt(4);
  watch.adopt(7);
  REQUIRE(watch.counters().restorations == 1);
  REQUIRE(watch.counters().skipped == 2);
}

TEST_CASE("once told, an epoch that is missing or malformed is not taken for the known one",
          "[serving][epoch]") {
  EpochWatch watch;
  REQUIRE(watch.judge(kMalformed) == EpochVerdict::kMalformed);
  watch.judge(ToldEpoch::of(0));
  REQUIRE(watch.judge(kMissing) == EpochVerdict::kMissing);
  REQUIRE(watch.judge(kMalformed) == EpochVerdict::kMalformed);
  REQUIRE(watch.counters().missing == 1);
  REQUIRE(watch.counters().malformed == 2);
}

}  // namespace oakpier::serving
