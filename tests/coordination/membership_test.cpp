/// Membership under generated crashes, process pauses, network partitions and message loss.

#include "coordination/membership.h"

#include "simulation/simulated_fleet.h"
#include "state/hashing.h"
#include "support/property.h"

namespace oakpier {

namespace {

/// Covers a probe round, the suspicion timeout and dissemination, also while failing probes slow them down.
constexpr Duration kConvergenceTimeout = std::chrono::seconds(60);

bool viewMatches(const SimulatedFleet& fleet, std::size_t observer, std::size_t subject, bool serving) {
  const MemberRecord* record = fleet.plane(observer).membership().members().find(fleet.address(subject));
  const bool shownServing =
      record != nullptr && record->serving() && record->incarnation == fleet.incarnation(subject);
  return shownServing == serving;
}

/// Whether every running daemon's member table shows exactly the running daemons as serving.
bool allViewsMatch(const SimulatedFleet& fleet) {
  for (std::size_t observer = 0; observer < fleet.size(); ++observer) {
    for (std::size_t subject = 0; subject < fleet.size(); ++subject) {
      const bool relevant = observer != subject && fleet.running(observer);
      if (relevant && !viewMatches(fleet, observer, subject, fleet.running(subject))) {
        return false;
      }
    }
  }
  return true;
}

SimulationOptions optionsFor(std::uint64_t seed, std::size_t daemons) {
  SimulationOptions options;
  options.seed = seed;
  options.daemons = daemons;
  return options;
}

}  // namespace

TEST_CASE("a joining daemon receives the complete member table in one reply", "[coordination]") {
  const Moment now(std::chrono::seconds(1));
  const Endpoint oldAddress(1, 1);
  const Endpoint newAddress(2, 1);
  Membership known(oldAddress, "a", 5, MembershipSettings{}, RandomEngine(1));
  ProbeReply others;
  for (std::uint32_t number = 10; number < 300; ++number) {
    MemberUpdate* update = others.add_updates();
    update->set_address(Endpoint(number, 1).text());
    update->set_zone(number % 2 == 0 ? "a" : "b");
    update->set_incarnation(3);
    update->set_condition(MEMBER_ALIVE);
  }
  known.onReply(Endpoint(10, 1), others, now);
  Membership started(newAddress, "b", 9, MembershipSettings{}, RandomEngine(2));
  started.onReply(oldAddress, known.fullTable(newAddress), now);
  REQUIRE(started.joined());
  REQUIRE(started.servingCount() == 291);
  REQUIRE(started.members().find(oldAddress) != nullptr);
}

namespace {

Membership memberAt(std::uint32_t number, std::uint64_t incarnation = 5) {
  return {Endpoint(number, 1), "a", incarnation, MembershipSettings{}, RandomEngine(number)};
}

std::uint32_t capacityKnown(const Membership& observer, const Membership& subject) {
  const MemberRecord* record = observer.members().find(subject.self());
  return record == nullptr ? 0 : record->capacity;
}

/// Sends the member table of `from` to `to`.
void sendTable(Membership& from, Membership& to) {
  to.onReply(from.self(), from.fullTable(to.self()), Moment(std::chrono::seconds(1)));
}

/// As `sendTable`, from a daemon of a version without capacities.
void sendTableWithoutCapacities(Membership& from, Membership& to) {
  ProbeReply reply = from.fullTable(to.self());
  for (MemberUpdate& update : *reply.mutable_updates()) {
    update.clear_capacity();
  }
  to.onReply(from.self(), reply, Moment(std::chrono::seconds(1)));
}

/// The digest in the first probe that `member` sends at `hour`, which must increase from call to call.
std::uint64_t digestSentBy(Membership& member, int hour) {
  member.setSeeds({Endpoint(9, 1)});
  const MembershipActions actions = member.onTimer(Moment(std::chrono::hours(hour)));
  REQUIRE_FALSE(actions.probes.empty());
  return actions.probes.front().probe.digest();
}

}  // namespace

TEST_CASE("a daemon with seeds is isolated until it hears another one", "[coordination]") {
  const Endpoint self(1, 1);
  const Endpoint other(2, 1);
  Membership alone(self, "a", 5, MembershipSettings{}, RandomEngine(1));
  alone.setSeeds({self});
  REQUIRE_FALSE(alone.isolated());
  alone.setSeeds({self, other});
  REQUIRE(alone.isolated());
  Membership seed(other, "a", 5, MembershipSettings{}, RandomEngine(2));
  alone.onReply(other, seed.fullTable(self), Moment(std::chrono::seconds(1)));
  REQUIRE_FALSE(alone.isolated());
}

TEST_CASE("a member's capacity reaches other members, also indirectly", "[coordination]") {
  Membership subject = memberAt(1);
  Membership between = memberAt(2);
  Membership observer = memberAt(3);
  subject.setCapacity(50);
  sendTable(subject, between);
  sendTable(between, observer);
  REQUIRE(capacityKnown(observer, subject) == 50);
  const std::uint64_t version = observer.version();
  sendTable(between, observer);
  REQUIRE(observer.version() == version);
}

TEST_CASE("a changed capacity supersedes the known one and changes the digest", "[coordination]") {
  Membership subject = memberAt(1);
  Membership observer = memberAt(2);
  Membership late = memberAt(3);
  subject.setCapacity(50);
  sendTable(subject, observer);
  sendTable(subject, late);
  const std::uint64_t before = digestSentBy(subject, 1);
  const std::uint64_t version = observer.version();
  subject.setCapacity(12);
  REQUIRE(digestSentBy(subject, 2) != before);
  sendTable(subject, observer);
  REQUIRE(capacityKnown(observer, subject) == 12);
  REQUIRE(observer.version() > version);
  // A stale record does not restore the earlier capacity.
  sendTable(late, observer);
  REQUIRE(capacityKnown(observer, subject) == 12);
  sendTable(observer, late);
  REQUIRE(capacityKnown(late, subject) == 12);
  // An unknown capacity does not replace a known one.
  subject.setCapacity(0);
  sendTable(subject, observer);
  REQUIRE(capacityKnown(observer, subject) == 12);
}

TEST_CASE("updates without capacities do not erase known capacities", "[coordination]") {
  Membership subject = memberAt(1);
  Membership old = memberAt(2);
  Membership observer = memberAt(3);
  subject.setCapacity(50);
  sendTable(subject, old);
  SECTION("first received without the capacity") {
    sendTableWithoutCapacities(old, observer);
    REQUIRE(observer.servingCount() == 2);
    REQUIRE(capacityKnown(observer, subject) == 0);
    const std::uint64_t version = observer.version();
    sendTable(subject, observer);
    REQUIRE(capacityKnown(observer, subject) == 50);
    REQUIRE(observer.version() > version);
  }
  SECTION("later received without the capacity") {
    sendTable(subject, observer);
    sendTableWithoutCapacities(old, observer);
    REQUIRE(capacityKnown(observer, subject) == 50);
  }
  SECTION("suspected by a daemon without capacities") {
    sendTable(subject, observer);
    ProbeReply suspicion;
    MemberUpdate* update = suspicion.add_updates();
    update->set_address(subject.self().text());
    update->set_zone("a");
    update->set_incarnation(5);
    update->set_condition(MEMBER_SUSPECT);
    observer.onReply(old.self(), suspicion, Moment(std::chrono::seconds(1)));
    REQUIRE(observer.members().find(subject.self())->condition == MEMBER_SUSPECT);
    REQUIRE(capacityKnown(observer, subject) == 50);
  }
  SECTION("a higher incarnation has its own capacity") {
    sendTable(subject, observer);
    Membership restarted = memberAt(1, 6);
    restarted.setCapacity(12);
    sendTable(restarted, observer);
    REQUIRE(capacityKnown(observer, restarted) == 12);
  }
}

TEST_CASE("the digest of a record without a capacity equals that of versions without capacities",
          "[coordination]") {
  MemberRecord record;
  record.address = Endpoint(1, 1);
  record.incarnation = 5;
  const std::uint64_t withoutCapacity = digestOf(record);
  REQUIRE(withoutCapacity == hashPair(record.address.packed(), record.incarnation));
  record.capacity = 12;
  const std::uint64_t withCapacity = digestOf(record);
  record.capacity = 13;
  REQUIRE(withCapacity != withoutCapacity);
  REQUIRE(withCapacity != digestOf(record));
}

TEST_CASE("member tables match the running daemons within a bounded time after faults end",
          "[coordination]") {
  OAKPIER_PROPERTY("views converge", [] {
    SimulationOptions options = optionsFor(*rc::gen::arbitrary<std::uint64_t>(), 12);
    options.loss = *rc::gen::inRange(0, 10) / 100.0;
    SimulatedFleet fleet(options);
    fleet.runFor(std::chrono::seconds(10));
    const int events = *rc::gen::inRange(1, 6);
    for (int event = 0; event < events; ++event) {
      const std::size_t daemon = *rc::gen::inRange<std::size_t>(0, fleet.size());
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          fleet.kill(daemon);
          break;
        case 1:
          fleet.start(daemon);
          break;
        case 2:
          fleet.pause(daemon);
          fleet.runFor(std::chrono::seconds(*rc::gen::inRange(1, 30)));
          fleet.resume(daemon);
          break;
        default:
          fleet.setSide(daemon, 1);
          fleet.runFor(std::chrono::seconds(*rc::gen::inRange(1, 30)));
          fleet.setSide(daemon, 0);
      }
      fleet.runFor(std::chrono::seconds(*rc::gen::inRange(0, 5)));
    }
    fleet.setLoss(0);
    RC_ASSERT(fleet.runUntil([&] { return allViewsMatch(fleet); }, kConvergenceTimeout));
  });
}

TEST_CASE("both sides of a network partition keep their own view and merge when it heals", "[coordination]") {
  SimulatedFleet fleet(optionsFor(3, 12));
  fleet.runFor(std::chrono::seconds(10));
  for (std::size_t daemon = 0; daemon < fleet.size(); daemon += 3) {
    fleet.setSide(daemon, 1);
  }
  fleet.runFor(std::chrono::minutes(3));
  REQUIRE(viewMatches(fleet, 0, 3, true));
  REQUIRE(viewMatches(fleet, 0, 1, false));
  REQUIRE(viewMatches(fleet, 1, 0, false));
  for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
    fleet.setSide(daemon, 0);
  }
  REQUIRE(fleet.runUntil([&] { return allViewsMatch(fleet); }, kConvergenceTimeout));
}

TEST_CASE("a daemon that resumes after a pause does not revive dead members", "[coordination]") {
  OAKPIER_PROPERTY("pause", [] {
    SimulatedFleet fleet(optionsFor(*rc::gen::arbitrary<std::uint64_t>(), 8));
    fleet.runFor(std::chrono::seconds(10));
    fleet.pause(0);
    fleet.kill(1);
    fleet.runFor(std::chrono::seconds(60));
    RC_ASSERT(viewMatches(fleet, 2, 1, false));
    fleet.resume(0);
    for (int second = 0; second < 20; ++second) {
      fleet.runFor(std::chrono::seconds(1));
      for (std::size_t observer = 2; observer < fleet.size(); ++observer) {
        RC_ASSERT(viewMatches(fleet, observer, 1, false));
      }
    }
    RC_ASSERT(fleet.runUntil([&] { return allViewsMatch(fleet); }, kConvergenceTimeout));
  });
}

TEST_CASE("daemons that start simultaneously know each other within 15 s without suspicions",
          "[coordination]") {
  SimulatedFleet fleet(optionsFor(1, 60));
  REQUIRE(fleet.runUntil([&] { return allViewsMatch(fleet); }, std::chrono::seconds(15)));
  std::uint64_t suspicions = 0;
  for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
    suspicions += fleet.plane(daemon).membership().counters().suspicionsRaised;
  }
  REQUIRE(suspicions == 0);
}

TEST_CASE("control messages per daemon do not grow with the number of daemons", "[coordination]") {
  const auto messagesPerSecond = [](std::size_t daemons) {
    SimulatedFleet fleet(optionsFor(1, daemons));
    fleet.runFor(std::chrono::seconds(30));
    const std::uint64_t before = fleet.traffic(0).messages;
    fleet.runFor(std::chrono::seconds(60));
    return static_cast<double>(fleet.traffic(0).messages - before) / 60.0;
  };
  REQUIRE(messagesPerSecond(80) < 1.5 * messagesPerSecond(10));
}

}  // namespace oakpier
