/// Checks the guarantees of queries under random fault schedules with the history checkers.

#include <sstream>

#include "history/checkers.h"
#include "simulation/simulated_requests.h"
#include "support/property.h"

namespace oakpier {

namespace {

std::string describe(const Violations& violations) {
  std::ostringstream text;
  for (const auto& violation : violations) {
    text << violation.promise << ": " << violation.subject << ": " << violation.text << "\n";
  }
  return text.str();
}

double randomShare(int maxPercent) { return *rc::gen::inRange(0, maxPercent + 1) / 100.0; }

std::size_t answersWith(const History& history, Outcome outcome) {
  std::size_t count = 0;
  for (const auto& entry : history.entries()) {
    count += entry.has_query() && entry.query().answer().outcome() == outcome ? 1 : 0;
  }
  return count;
}

}  // namespace

TEST_CASE("the guarantees of queries hold under random faults", "[coordination]") {
  OAKPIER_PROPERTY("no checker finds a violation", [] {
    RequestSimulationOptions options;
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    options.frameLoss = randomShare(10);
    options.exchangeBroken = randomShare(15);
    options.exchangeRefused = randomShare(15);
    options.crossedAnswers = randomShare(20);
    options.slowExecutions = randomShare(20);
    options.shedding = randomShare(20);
    options.ownerFaults = *rc::gen::arbitrary<bool>();
    options.snapshotChanges = *rc::gen::arbitrary<bool>();
    const History history = simulateRequests(options);
    const Violations violations = checkAll(history);
    RC_LOG(describe(violations));
    RC_ASSERT(violations.empty());
  });
}

TEST_CASE("without faults every query is answered completely", "[coordination]") {
  OAKPIER_PROPERTY("all complete", [] {
    RequestSimulationOptions options;
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    RC_ASSERT(answersWith(simulateRequests(options), OUTCOME_COMPLETE) == options.queries);
  });
}

TEST_CASE("the checkers detect an owner that does not verify that answers match requests", "[coordination]") {
  RequestSimulationOptions options;
  options.crossedAnswers = 0.3;
  REQUIRE(checkOwnAnswer(simulateRequests(options)).empty());
  options.trustAnswers = true;
  REQUIRE_FALSE(checkOwnAnswer(simulateRequests(options)).empty());
}

TEST_CASE("requests are replanned and answered when their snapshot is retired", "[coordination]") {
  RequestSimulationOptions options;
  options.snapshotChanges = true;
  options.queries = 60;
  const History history = simulateRequests(options);
  REQUIRE(checkAll(history).empty());
  REQUIRE(answersWith(history, OUTCOME_COMPLETE) + answersWith(history, OUTCOME_PARTIAL) >
          options.queries * 8 / 10);
}

}  // namespace oakpier
