#include "coordination/serving/configuration_proof.h"

#include <catch2/catch.hpp>

#include "serving/support/source_fleet.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The operator's bound on the use of revoked keys.
constexpr Duration kBound = seconds(5);
constexpr Duration kProofBound = kBound - kProofMargin;
/// How often it is checked whether each daemon would accept a key.
constexpr Duration kCheckPeriod = milliseconds(20);
constexpr Duration kStabilizationTime = seconds(12);

SourceFleetSettings fleetOf(std::size_t daemons, std::uint64_t random = 1) {
  SourceFleetSettings settings;
  settings.daemons = daemons;
  settings.random = random;
  settings.tenants = true;
  return settings;
}

/// Results of the checks during a run.
struct Checks {
  std::size_t made = 0;
  std::size_t refused = 0;
  /// A key would have been accepted although the configuration in use had been superseded for longer than the
  /// bound.
  std::size_t unsafe = 0;
  Duration oldest{};
};

/// Runs the fleet and checks each running daemon that `counts` every `kCheckPeriod`.
Checks runChecked(
    SourceFleet& fleet, Duration span,
    const std::function<bool(std::size_t)>& counts = [](std::size_t) { return true; }) {
  Checks checks;
  for (const Moment end = fleet.now() + span; fleet.now() < end;) {
    fleet.runFor(kCheckPeriod);
    for (std::size_t number = 0; number < fleet.size(); ++number) {
      if (!fleet.alive(number) || fleet.suspended(number) || !counts(number)) {
        continue;
      }
      const bool covered = fleet.covers(number, kProofBound);
      ++checks.made;
      checks.refused += covered ? 0 : 1;
      checks.unsafe += covered && fleet.outdatedBy(number, kBound) ? 1 : 0;
      checks.oldest = std::max(checks.oldest, fleet.proofAge(number));
    }
  }
  return checks;
}

}  // namespace

TEST_CASE("without faults every daemon always has a proof, with few requests", "[serving]") {
  const auto daemons = GENERATE(1U, 3U, 74U, 300U);
  CAPTURE(daemons);
  SourceFleet fleet(fleetOf(daemons));
  fleet.runFor(kStabilizationTime);
  const std::size_t requests = fleet.proofRequests();
  const Checks checks = runChecked(fleet, seconds(20));
  CAPTURE(checks.oldest.count());
  REQUIRE(checks.refused == 0);
  REQUIRE(checks.oldest <= milliseconds(2800));
  REQUIRE(fleet.unsoundProofs() == 0);
  // Rounds begin every 1.25 s; for some seconds after a start there may be several readers.
  CAPTURE(fleet.proofRequests() - requests);
  REQUIRE(fleet.proofRequests() - requests <= std::size_t{40} * daemons);
  REQUIRE(fleet.proofReadRequests() == 0);
}

TEST_CASE("without tenants no proofs are requested", "[serving]") {
  SourceFleetSettings settings = fleetOf(74);
  settings.tenants = false;
  SourceFleet fleet(settings);
  fleet.runFor(seconds(30));
  REQUIRE(fleet.proofRequests() == 0);
}

TEST_CASE("daemons keep their proofs while frames are lost or delayed", "[serving]") {
  const auto daemons = GENERATE(74U, 300U);
  SourceFleetSettings settings = fleetOf(daemons, 3);
  settings.frameLoss = 0.05;
  // One CPU quota period.
  settings.maxFrameDelay = milliseconds(100);
  SourceFleet fleet(settings);
  fleet.runFor(kStabilizationTime);
  const Checks checks = runChecked(fleet, seconds(20));
  CAPTURE(daemons, checks.oldest.count());
  REQUIRE(checks.refused == 0);
  fleet.kill(0);
  const Checks later = runChecked(fleet, seconds(6));
  CAPTURE(later.oldest.count());
  REQUIRE(later.refused == 0);
}

TEST_CASE("no daemon loses its proof when readers crash", "[serving]") {
  const auto daemons = GENERATE(7U, 74U, 300U);
  const auto random = GENERATE(1U, 2U, 3U);
  CAPTURE(daemons, random);
  SourceFleet fleet(fleetOf(daemons, random));
  fleet.runFor(kStabilizationTime);
  for (std::size_t dead = 0; dead < 4; ++dead) {
    // At different points of a round.
    fleet.runFor(milliseconds(310) * static_cast<int>(dead));
    fleet.kill(dead);
    const Checks checks = runChecked(fleet, seconds(6));
    CAPTURE(dead, checks.oldest.count());
    REQUIRE(checks.refused == 0);
  }
}

TEST_CASE(
    "daemons that the source refuses, a third of the fleet, get proofs from peers while keys are revoked",
    "[serving]") {
  const auto daemons = GENERATE(3U, 74U, 300U);
  const auto random = GENERATE(1U, 2U, 3U, 4U);
  CAPTURE(daemons, random);
  SourceFleet fleet(fleetOf(daemons, random));
  fleet.runFor(kStabilizationTime);
  for (std::size_t number = 0; number < daemons; ++number) {
    // Includes the first readers.
    fleet.setRefused(number, number < daemons / 6 || number % 6 == 5);
  }
  for (int change = 0; change < 3; ++change) {
    fleet.changeConfiguration();
    const Checks checks = runChecked(fleet, seconds(3));
    CAPTURE(change, checks.oldest.count());
    REQUIRE(checks.refused == 0);
    REQUIRE(checks.unsafe == 0);
  }
}

TEST_CASE("a daemon whose frames no peer receives renews its proof by its own reads", "[serving]") {
  SourceFleet fleet(fleetOf(74, 2));
  fleet.runFor(kStabilizationTime);
  for (std::size_t other = 0; other < fleet.size(); ++other) {
    fleet.setLinkDown(40, other, true);
  }
  const Checks checks = runChecked(fleet, seconds(20), [](std::size_t number) { return number == 40; });
  CAPTURE(checks.oldest.count());
  REQUIRE(checks.refused == 0);
  // One every 3.4 to 3.8 s, by that daemon only.
  REQUIRE(fleet.proofReadRequests() <= 8);
}

TEST_CASE("an isolated daemon loses its proof, and regains it after the network recovers", "[serving]") {
  SourceFleet fleet(fleetOf(74, 2));
  fleet.runFor(kStabilizationTime);
  for (std::size_t other = 0; other < fleet.size(); ++other) {
    fleet.setLinkDown(other, 40, true);
  }
  fleet.setAnswersLost(40, true);
  fleet.runFor(kBound);
  REQUIRE_FALSE(fleet.covers(40, kProofBound));
  fleet.changeConfiguration();
  const auto last = [](std::size_t number) { return number == 40; };
  REQUIRE(runChecked(fleet, seconds(9), last).unsafe == 0);
  REQUIRE_FALSE(fleet.covers(40, kProofBound));
  fleet.restoreLinks();
  fleet.runFor(milliseconds(2000));
  REQUIRE(fleet.covers(40, kProofBound));
}

TEST_CASE("during an outage of the source proofs last two seconds, expire by the bound and are renewed later",
          "[serving]") {
  const auto daemons = GENERATE(3U, 74U, 300U);
  const auto random = GENERATE(1U, 2U, 3U);
  CAPTURE(daemons, random);
  SourceFleet fleet(fleetOf(daemons, random));
  fleet.runFor(kStabilizationTime);
  fleet.setSourceDown(true);
  REQUIRE(runChecked(fleet, seconds(2)).refused == 0);
  fleet.changeConfiguration();
  const Checks during = runChecked(fleet, seconds(8));
  REQUIRE(during.unsafe == 0);
  const Checks atEnd = runChecked(fleet, milliseconds(100));
  REQUIRE(atEnd.refused == atEnd.made);
  fleet.setSourceDown(false);
  fleet.runFor(milliseconds(2000));
  REQUIRE(runChecked(fleet, seconds(3)).refused == 0);
}

namespace {

/// A fleet with generated faults in which keys are revoked all the time.
class FaultyFleet {
 public:
  explicit FaultyFleet(const SourceFleetSettings& settings) : fleet_(settings) {}

  void run(int steps) {
    fleet_.runFor(seconds(4));
    for (int step = 0; step < steps; ++step) {
      injectFault();
      fleet_.changeConfiguration();
      check(milliseconds(*rc::gen::inRange(50, 3000)));
      if (*rc::gen::inRange(0, 3) == 0) {
        recover();
      }
      fleet_.changeConfiguration();
      check(milliseconds(*rc::gen::inRange(50, 6000)));
    }
    recover();
    check(seconds(6));
    RC_ASSERT(allCovered());
  }

 private:
  std::size_t drawDaemon() const { return *rc::gen::inRange<std::size_t>(0, fleet_.size()); }

  void check(Duration span) {
    RC_ASSERT(runChecked(fleet_, span).unsafe == 0U);
    RC_ASSERT(fleet_.unsoundProofs() == 0U);
  }

  void injectFault() {
    switch (*rc::gen::inRange(0, 9)) {
      case 0:
        fleet_.kill(*rc::gen::inRange<std::size_t>(0, std::min<std::size_t>(5, fleet_.size())));
        break;
      case 1:
        fleet_.kill(drawDaemon());
        fleet_.start(drawDaemon());
        break;
      case 2:
        isolate(drawDaemon(), *rc::gen::inRange(0, 3));
        break;
      case 3:
        separateGroups();
        break;
      case 4:
        fleet_.setAnswersLost(drawDaemon(), true);
        break;
      case 5:
        suspendSome();
        break;
      case 6:
        fleet_.setSourceDown(true);
        break;
      case 7:
        fleet_.forgetHistory();
        break;
      default:
        refuseReads();
        break;
    }
  }

  /// `way` 0: blocks frames to the daemon; 1: frames from it; 2: both.
  void isolate(std::size_t number, int way) {
    for (std::size_t other = 0; other < fleet_.size(); ++other) {
      if (way != 1) {
        fleet_.setLinkDown(other, number, true);
      }
      if (way != 0) {
        fleet_.setLinkDown(number, other, true);
      }
    }
  }

  /// Separates two groups, in half of the cases in one direction only.
  void separateGroups() {
    const std::size_t first = drawDaemon();
    const bool bothWays = *rc::gen::arbitrary<bool>();
    for (std::size_t from = 0; from < first; ++from) {
      for (std::size_t to = first; to < fleet_.size(); ++to) {
        fleet_.setLinkDown(from, to, true);
        if (bothWays) {
          fleet_.setLinkDown(to, from, true);
        }
      }
    }
  }

  void suspendSome() {
    const int share = *rc::gen::inRange(1, 6);
    for (std::size_t number = 0; number < fleet_.size(); ++number) {
      if (fleet_.alive(number) && *rc::gen::inRange(0, 10) < share) {
        fleet_.suspend(number);
      }
    }
  }

  void refuseReads() {
    for (std::size_t number = 0; number < fleet_.size(); ++number) {
      fleet_.setRefused(number, *rc::gen::inRange(0, 3) == 0);
    }
  }

  void recover() {
    fleet_.setSourceDown(false);
    fleet_.restoreLinks();
    for (std::size_t number = 0; number < fleet_.size(); ++number) {
      fleet_.setRefused(number, false);
      fleet_.setAnswersLost(number, false);
      if (fleet_.suspended(number)) {
        fleet_.resume(number);
      }
      if (!fleet_.alive(number)) {
        fleet_.start(number);
      }
    }
  }

  bool allCovered() const {
    for (std::size_t number = 0; number < fleet_.size(); ++number) {
      if (!fleet_.covers(number, kProofBound)) {
        return false;
      }
    }
    return true;
  }

  SourceFleet fleet_;
};

}  // namespace

TEST_CASE("no revoked key is accepted beyond the bound under generated faults", "[serving]") {
  OAKPIER_PROPERTY("proofs", [] {
    SourceFleetSettings settings =
        fleetOf(*rc::gen::element<std::size_t>(3, 4, 7, 12, 30, 74), *rc::gen::arbitrary<std::uint64_t>());
    settings.frameLoss = *rc::gen::element(0.0, 0.02);
    settings.delayedFrames = *rc::gen::element(0.0, 0.05, 0.3);
    settings.duplicatedFrames = *rc::gen::element(0.0, 0.05, 0.3);
    FaultyFleet(settings).run(*rc::gen::inRange(1, 6));
  });
}

TEST_CASE("no revoked key is accepted beyond the bound in a large fleet", "[serving]") {
  SourceFleetSettings settings = fleetOf(300, 11);
  settings.delayedFrames = 0.1;
  settings.duplicatedFrames = 0.1;
  SourceFleet fleet(settings);
  fleet.runFor(kStabilizationTime);
  for (std::size_t number = 0; number < 300; number += 7) {
    fleet.suspend(number);
  }
  for (std::size_t number = 0; number < 300; number += 3) {
    fleet.setRefused(number, true);
  }
  for (std::size_t to = 100; to < 300; ++to) {
    fleet.setLinkDown(to % 50, to, true);
  }
  for (int change = 0; change < 6; ++change) {
    fleet.changeConfiguration();
    REQUIRE(runChecked(fleet, milliseconds(1300)).unsafe == 0);
  }
  for (std::size_t number = 0; number < 300; number += 7) {
    fleet.resume(number);
    fleet.changeConfiguration();
  }
  REQUIRE(runChecked(fleet, seconds(6)).unsafe == 0);
  REQUIRE(fleet.unsoundProofs() == 0);
}

}  // namespace oakpier::serving
