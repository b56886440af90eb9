/// Agreement on configuration changes and their propagation under generated faults.

#include "simulation/simulated_fleet.h"
#include "state/configuration_change.h"
#include "support/property.h"

namespace oakpier {

namespace {

/// Checks after every step that no daemon's revision decreases and that no revision has two contents.
class ConfigurationChecker {
 public:
  explicit ConfigurationChecker(SimulatedFleet& fleet) : fleet_(fleet) {
    fleet.onStep = [this](std::size_t daemon) { checkRevision(daemon); };
    fleet.onResult = [this](std::size_t, const ChangeResult& result) { recordResult(result); };
  }

  std::string violation() const { return violation_; }
  std::uint64_t highestAccepted() const { return highestAccepted_; }
  std::size_t accepted() const { return accepted_; }
  std::size_t ended() const { return ended_; }

 private:
  void checkRevision(std::size_t daemon) {
    if (!fleet_.running(daemon)) {
      return;
    }
    const ConfigurationStore& store = fleet_.plane(daemon).store();
    std::uint64_t& before = revisions_[fleet_.incarnation(daemon)];
    if (store.revision() == before) {
      return;
    }
    if (store.revision() < before) {
      violation_ = "the revision of a daemon decreased";
    }
    before = store.revision();
    const std::string content = store.configuration().SerializeAsString();
    if (contents_.emplace(store.revision(), content).first->second != content) {
      violation_ = "revision " + std::to_string(store.revision()) + " has two different contents";
    }
  }

  void recordResult(const ChangeResult& result) {
    ++ended_;
    if (result.outcome == ChangeOutcome::kAccepted) {
      ++accepted_;
      highestAccepted_ = std::max(highestAccepted_, result.revision);
    }
  }

  SimulatedFleet& fleet_;
  std::map<std::uint64_t, std::uint64_t> revisions_;
  std::map<std::uint64_t, std::string> contents_;
  std::string violation_;
  std::uint64_t highestAccepted_ = 0;
  std::size_t accepted_ = 0;
  std::size_t ended_ = 0;
};

bool allReady(const SimulatedFleet& fleet) {
  for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
    if (!fleet.running(daemon) || !fleet.plane(daemon).ready()) {
      return false;
    }
  }
  return true;
}

bool allAt(const SimulatedFleet& fleet, std::uint64_t revision) {
  for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
    if (!fleet.running(daemon) || fleet.plane(daemon).store().revision() < revision) {
      return false;
    }
  }
  return true;
}

bool sameRevision(const SimulatedFleet& fleet) {
  return allReady(fleet) && allAt(fleet, fleet.plane(0).store().revision()) && [&] {
    for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
      if (fleet.plane(daemon).store().revision() != fleet.plane(0).store().revision()) {
        return false;
      }
    }
    return true;
  }();
}

SimulationOptions optionsFor(std::uint64_t seed) {
  SimulationOptions options;
  options.daemons = 7;
  options.seed = seed;
  return options;
}

/// Injects one random fault that leaves a majority of the voters running and connected.
void injectFault(SimulatedFleet& fleet) {
  const std::size_t daemon = *rc::gen::inRange<std::size_t>(0, fleet.size());
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      fleet.pause(daemon);
      fleet.runFor(std::chrono::milliseconds(*rc::gen::inRange(100, 8000)));
      fleet.resume(daemon);
      return;
    case 1:
      fleet.kill(daemon);
      fleet.runFor(std::chrono::milliseconds(*rc::gen::inRange(100, 3000)));
      fleet.start(daemon);
      fleet.runFor(std::chrono::seconds(10));
      return;
    case 2:
      fleet.setSide(daemon, 1);
      fleet.setSide((daemon + 1) % fleet.size(), 1);
      fleet.runFor(std::chrono::milliseconds(*rc::gen::inRange(500, 12000)));
      fleet.setSide(daemon, 0);
      fleet.setSide((daemon + 1) % fleet.size(), 0);
      return;
    case 3:
      fleet.leave(daemon, true);
      fleet.runFor(std::chrono::seconds(10));
      return;
    default:
      fleet.runFor(std::chrono::milliseconds(*rc::gen::inRange(10, 1000)));
  }
}

}  // namespace

TEST_CASE("accepted changes are never lost, have one order, and reach all daemons once faults end",
          "[coordination]") {
  OAKPIER_PROPERTY("configuration", [] {
    SimulationOptions options = optionsFor(*rc::gen::arbitrary<std::uint64_t>());
    options.loss = *rc::gen::inRange(0, 15) / 100.0;
    options.duplicated = *rc::gen::inRange(0, 15) / 100.0;
    options.straggling = *rc::gen::inRange(0, 10) / 100.0;
    SimulatedFleet fleet(options);
    ConfigurationChecker checker(fleet);
    RC_ASSERT(fleet.runUntil([&] { return allReady(fleet); }, std::chrono::seconds(60)));
    std::uint32_t mark = 1;
    const int rounds = *rc::gen::inRange(3, 8);
    for (int round = 0; round < rounds; ++round) {
      // Two concurrent requests of operators.
      for (int number = 0; number < 2; ++number) {
        const std::size_t daemon = *rc::gen::inRange<std::size_t>(0, fleet.size());
        if (fleet.running(daemon) && !fleet.paused(daemon)) {
          fleet.submit(daemon, markedChange(++mark), fleet.plane(daemon).store().revision());
        }
      }
      injectFault(fleet);
      RC_ASSERT(checker.violation().empty());
    }
    fleet.setLoss(0);
    RC_ASSERT(fleet.runUntil([&] { return sameRevision(fleet); }, std::chrono::seconds(60)));
    RC_ASSERT(allAt(fleet, checker.highestAccepted()));
    RC_ASSERT(checker.violation().empty());
  });
}

TEST_CASE("of two concurrent changes with the same base revision exactly one is accepted", "[coordination]") {
  OAKPIER_PROPERTY("race", [] {
    SimulatedFleet fleet(optionsFor(*rc::gen::arbitrary<std::uint64_t>()));
    ConfigurationChecker checker(fleet);
    RC_ASSERT(fleet.runUntil([&] { return sameRevision(fleet); }, std::chrono::seconds(30)));
    fleet.runFor(std::chrono::seconds(5));
    const std::uint64_t base = fleet.plane(0).store().revision();
    fleet.submit(0, markedChange(1), base);
    fleet.submit(3, markedChange(2), base);
    RC_ASSERT(fleet.runUntil([&] { return checker.ended() == 2; }, std::chrono::seconds(20)));
    RC_ASSERT(checker.accepted() == 1U);
  });
}

TEST_CASE("a minority accepts no change and adopts those of the majority when the network partition heals",
          "[coordination]") {
  SimulatedFleet fleet(optionsFor(5));
  ConfigurationChecker checker(fleet);
  REQUIRE(fleet.runUntil([&] { return sameRevision(fleet); }, std::chrono::seconds(30)));
  fleet.runFor(std::chrono::seconds(5));
  for (const std::size_t daemon : {0U, 1U}) {
    fleet.setSide(daemon, 1);
  }
  fleet.submit(0, markedChange(1), 0);
  fleet.runFor(std::chrono::seconds(30));
  REQUIRE(checker.accepted() == 0);
  REQUIRE(checker.ended() == 1);
  fleet.submit(4, markedChange(2), 0);
  REQUIRE(fleet.runUntil([&] { return checker.accepted() == 1; }, std::chrono::seconds(20)));
  for (const std::size_t daemon : {0U, 1U}) {
    fleet.setSide(daemon, 0);
  }
  REQUIRE(fleet.runUntil([&] { return allAt(fleet, checker.highestAccepted()); }, std::chrono::seconds(30)));
  REQUIRE(checker.violation().empty());
}

TEST_CASE("the configuration survives when all daemons crash and restart one after another",
          "[coordination]") {
  SimulatedFleet fleet(optionsFor(11));
  ConfigurationChecker checker(fleet);
  REQUIRE(fleet.runUntil([&] { return sameRevision(fleet); }, std::chrono::seconds(30)));
  fleet.submit(2, markedChange(77), 0);
  REQUIRE(fleet.runUntil([&] { return checker.accepted() == 1; }, std::chrono::seconds(20)));
  // Meanwhile the platform serves a stale configuration.
  PlatformReport stale;
  stale.configuration = smallConfiguration(5);
  for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
    stale.daemons.push_back(fleet.address(daemon));
  }
  fleet.setPlatform(stale);
  for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
    fleet.kill(daemon);
    fleet.runFor(std::chrono::seconds(20));
    fleet.start(daemon);
    REQUIRE(fleet.runUntil([&] { return fleet.plane(daemon).ready(); }, std::chrono::seconds(20)));
  }
  REQUIRE(allAt(fleet, checker.highestAccepted()));
  REQUIRE(fleet.plane(0).store().configuration().leaves_size() == 2);
  fleet.submit(6, markedChange(78), 0);
  REQUIRE(fleet.runUntil([&] { return checker.accepted() == 2; }, std::chrono::seconds(20)));
  REQUIRE(checker.violation().empty());
}

TEST_CASE("a daemon that resumes after a pause is ready only with the current configuration",
          "[coordination]") {
  SimulatedFleet fleet(optionsFor(8));
  ConfigurationChecker checker(fleet);
  REQUIRE(fleet.runUntil([&] { return sameRevision(fleet); }, std::chrono::seconds(30)));
  fleet.runFor(std::chrono::seconds(5));
  fleet.pause(0);
  fleet.runFor(std::chrono::seconds(3));
  fleet.submit(4, markedChange(1), 0);
  REQUIRE(fleet.runUntil([&] { return checker.accepted() == 1; }, std::chrono::seconds(20)));
  bool readyWithStaleRevision = false;
  fleet.onStep = [&](std::size_t daemon) {
    const ControlPlane& resumed = fleet.plane(0);
    readyWithStaleRevision =
        readyWithStaleRevision ||
        (daemon == 0 && resumed.ready() && resumed.store().revision() < checker.highestAccepted());
  };
  fleet.runFor(std::chrono::seconds(2));
  fleet.resume(0);
  REQUIRE(fleet.runUntil([&] { return fleet.plane(0).ready(); }, std::chrono::seconds(10)));
  REQUIRE_FALSE(readyWithStaleRevision);
}

TEST_CASE("a change whose proposer crashes takes effect completely or not at all", "[coordination]") {
  OAKPIER_PROPERTY("proposer crashes", [] {
    SimulatedFleet fleet(optionsFor(*rc::gen::arbitrary<std::uint64_t>()));
    ConfigurationChecker checker(fleet);
    RC_ASSERT(fleet.runUntil([&] { return sameRevision(fleet); }, std::chrono::seconds(30)));
    fleet.runFor(std::chrono::seconds(5));
    fleet.submit(1, markedChange(9), 0);
    fleet.runFor(Duration(*rc::gen::inRange(100, 8000)));
    fleet.kill(1);
    fleet.runFor(std::chrono::seconds(20));
    fleet.start(1);
    RC_ASSERT(fleet.runUntil([&] { return sameRevision(fleet); }, std::chrono::seconds(30)));
    fleet.submit(2, markedChange(10), 0);
    RC_ASSERT(fleet.runUntil([&] { return checker.accepted() >= 1; }, std::chrono::seconds(20)));
    RC_ASSERT(checker.violation().empty());
  });
}

}  // namespace oakpier
