#include "coordination/serving/epoch_classifier.h"

#include <catch2/catch.hpp>

namespace oakpier::serving {

namespace {

const ReportedEpoch kUnanswered{ReportedEpoch::Kind::kUnanswered, 0};
const ReportedEpoch kMissing{};
const ReportedEpoch kMalformed{ReportedEpoch::Kind::kMalformed, 0};

}  // namespace

TEST_CASE("answers without an epoch are accepted if none was ever reported", "[serving][epoch]") {
  EpochClassifier classifier;
  REQUIRE(ReportedEpoch{}.kind == ReportedEpoch::Kind::kMissing);
  REQUIRE(classifier.classify(kMissing, 0) == EpochVerdict::kKnown);
  REQUIRE(classifier.classify(kMissing, 0) == EpochVerdict::kKnown);
  REQUIRE(classifier.counters().missing == 0);
}

TEST_CASE("a reported epoch is newer than, equal to or older than the known one", "[serving][epoch]") {
  EpochClassifier classifier;
  REQUIRE(classifier.classify(ReportedEpoch::of(4), 0) == EpochVerdict::kNewer);
  REQUIRE(classifier.classify(ReportedEpoch::of(4), 4) == EpochVerdict::kKnown);
  REQUIRE(classifier.classify(ReportedEpoch::of(5), 4) == EpochVerdict::kNewer);
  REQUIRE(classifier.classify(ReportedEpoch::of(4), 5) == EpochVerdict::kOlder);
  REQUIRE(classifier.counters().older == 1);
  REQUIRE(classifier.counters().reported == 4);
}

TEST_CASE("skipped epochs are counted", "[serving][epoch]") {
  EpochClassifier classifier;
  classifier.onRestored(4, 5);
  REQUIRE(classifier.counters().restorations == 1);
  REQUIRE(classifier.counters().skipped == 0);
  classifier.onRestored(5, 8);
  REQUIRE(classifier.counters().restorations == 2);
  REQUIRE(classifier.counters().skipped == 2);
}

TEST_CASE("after an epoch was reported, a missing or malformed one does not count as known",
          "[serving][epoch]") {
  EpochClassifier classifier;
  REQUIRE(classifier.classify(kMalformed, 0) == EpochVerdict::kMalformed);
  classifier.classify(ReportedEpoch::of(0), 0);
  REQUIRE(classifier.classify(kMissing, 0) == EpochVerdict::kMissing);
  REQUIRE(classifier.classify(kMalformed, 0) == EpochVerdict::kMalformed);
  // Without an answer there is nothing to compare.
  REQUIRE(classifier.classify(kUnanswered, 0) == EpochVerdict::kKnown);
  REQUIRE(classifier.counters().missing == 1);
  REQUIRE(classifier.counters().malformed == 2);
}

TEST_CASE("an epoch received from a peer counts as reported", "[serving][epoch]") {
  EpochClassifier classifier;
  REQUIRE(classifier.classify(kMissing, 3) == EpochVerdict::kMissing);
}

}  // namespace oakpier::serving
