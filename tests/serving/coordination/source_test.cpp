#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "coordination/serving/forwarding_tree.h"
#include "coordination/serving/leaf_subset.h"
#include "coordination/serving/serving_state.h"
#include "coordination/serving/source_reader.h"
#include "coordination/serving/source_relay.h"
#include "serving/support/serving_fixtures.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

std::shared_ptr<const ServingConfiguration> configurationOf(std::uint64_t version) {
  auto configuration = std::make_shared<ServingConfiguration>();
  configuration->version = version;
  return configuration;
}

SourcePage pageOf(std::uint64_t revision, bool more = false, const std::string& lastKey = "k") {
  return SourcePage{{SourceRecord{lastKey, "", revision, false}}, more, revision};
}

SourceReader readerOf() { return SourceReader(SourceReaderSettings{}, RandomEngine(3)); }

}  // namespace

TEST_CASE("the version of the configuration never decreases", "[serving]") {
  ServingState state{ServingStateSettings{}};
  REQUIRE(state.onConfiguration(configurationOf(5)).empty());
  REQUIRE(state.takeChangedView()->configuration->version == 5);
  REQUIRE(state.onConfiguration(configurationOf(4)).empty());
  REQUIRE(state.takeChangedView() == nullptr);
  REQUIRE(state.configurationVersion() == 5);
  auto wrong = std::make_shared<ServingConfiguration>();
  wrong->version = 9;
  wrong->routes = {singleRoute("unknown", true, 1)};
  REQUIRE_FALSE(state.onConfiguration(wrong).empty());
  REQUIRE(state.configurationVersion() == 5);
}

TEST_CASE("a draining leaf is removed immediately, another one after a delay", "[serving]") {
  ServingState state{ServingStateSettings{std::chrono::milliseconds(1000)}};
  state.onLeaf(leafEntry("one", "s", 1), inFirstEpoch(1));
  LeafEntry draining = leafEntry("two", "s", 2);
  draining.draining = true;
  state.onLeaf(draining, inFirstEpoch(2));
  state.onListing({"one", "two"}, inFirstEpoch(2), at(0));
  state.onLeafRemoved("two", inFirstEpoch(3), at(0));
  REQUIRE(state.leafCount() == 1);
  state.onLeafRemoved("one", inFirstEpoch(4), at(0));
  REQUIRE(state.leafCount() == 1);
  REQUIRE(state.nextDueAt() == at(1000));
  SECTION("it is listed again") {
    REQUIRE(state.onLeaf(leafEntry("one", "s", 1), inFirstEpoch(5)));
    state.onTimer(at(2000));
    REQUIRE(state.leafCount() == 1);
  }
  SECTION("an older entry does not restore it") {
    REQUIRE_FALSE(state.onLeaf(leafEntry("one", "s", 1), inFirstEpoch(3)));
    state.onTimer(at(1000));
    REQUIRE(state.leafCount() == 0);
  }
}

TEST_CASE("leafs of an evacuated zone get no requests until the evacuation ends", "[serving]") {
  ServingState state{ServingStateSettings{}};
  LeafEntry elsewhere = leafEntry("two", "s", 2);
  elsewhere.zone = "b";
  state.onLeaf(leafEntry("one", "s", 1), inFirstEpoch(1));
  state.onLeaf(elsewhere, inFirstEpoch(2));
  const auto takingWork = [&] {
    std::set<std::string> ids;
    const auto view = state.takeChangedView();
    for (const LeafEntry& leaf : view->leafs->at("s")) {
      if (leaf.acceptsRequests()) {
        ids.insert(leaf.id);
      }
    }
    return ids;
  };
  state.onEvacuation("a", true, inFirstEpoch(5));
  REQUIRE(takingWork() == std::set<std::string>{"two"});
  REQUIRE(state.evacuatedZones() == std::vector<std::string>{"a"});
  SECTION("older records do not end it") {
    state.onEvacuation("a", false, inFirstEpoch(4));
    state.onEvacuationListing({}, inFirstEpoch(4), at(0));
    REQUIRE(state.takeChangedView() == nullptr);
  }
  SECTION("it ends") {
    state.onEvacuation("a", false, inFirstEpoch(6));
    REQUIRE(takingWork() == std::set<std::string>{"one", "two"});
  }
  SECTION("a listing does not name it") {
    state.onEvacuationListing({"b"}, inFirstEpoch(6), at(0));
    REQUIRE(takingWork() == std::set<std::string>{"one", "two"});
  }
  SECTION("a leaf that starts in the zone gets none either") {
    state.onLeaf(leafEntry("three", "s", 3), inFirstEpoch(6));
    REQUIRE(takingWork() == std::set<std::string>{"two"});
  }
}

TEST_CASE("a listing removes leafs that it does not name, except newer ones", "[serving]") {
  ServingState state{ServingStateSettings{Duration(0)}};
  state.onLeaf(leafEntry("old", "s", 1), inFirstEpoch(1));
  state.onLeaf(leafEntry("new", "s", 2), inFirstEpoch(9));
  state.onListing({}, inFirstEpoch(5), at(0));
  REQUIRE(state.leafCount() == 1);
}

TEST_CASE("a listing is followed by the changes since its first page", "[serving]") {
  SourceReader reader = readerOf();
  REQUIRE(reader.takeCall(at(0))->kind == SourceCall::Kind::kList);
  REQUIRE_FALSE(reader.takeCall(at(0)));
  reader.onPage(pageOf(10, true, "b"), 0, at(1));
  const auto second = reader.takeCall(at(1));
  REQUIRE(second->afterKey == "b");
  reader.onPage(pageOf(12), 0, at(2));
  REQUIRE(reader.listingComplete());
  const auto changes = reader.takeCall(reader.nextCallAt());
  REQUIRE(changes->kind == SourceCall::Kind::kChanges);
  REQUIRE(changes->afterRevision == 10);
}

// Guards against leafs that are used too long after they left: the daemon that took over from a lost reader
// retried its first failed call only after the backoff to which an outage long ago had grown.
TEST_CASE("the backoff starts over when a call fails long after an outage that others have seen end",
          "[serving]") {
  constexpr Duration kBackoffCap = std::chrono::milliseconds(1000);
  SourceReader reader = readerOf();
  reader.takeCall(at(0));
  reader.onPage(pageOf(10), 0, at(0));
  Moment now = reader.nextCallAt();
  for (int failures = 0; failures < 8; ++failures) {
    REQUIRE(reader.takeCall(now));
    reader.onFailure(SourceFailure::kUnavailable, kBackoffCap, now);
    now = reader.nextCallAt();
  }
  for (int updates = 0; updates < 10; ++updates) {
    now += std::chrono::milliseconds(1250);
    reader.onUpdate(inFirstEpoch(10));
    reader.awaitUpdate(now, std::chrono::milliseconds(320));
  }
  now = reader.nextCallAt();
  REQUIRE(reader.takeCall(now));
  reader.onFailure(SourceFailure::kNoAnswer, kBackoffCap, now);
  REQUIRE(reader.nextCallAt() - now <= std::chrono::milliseconds(150));
  SECTION("and grows again while calls fail") {
    for (int failures = 0; failures < 3; ++failures) {
      now = reader.nextCallAt();
      REQUIRE(reader.takeCall(now));
      reader.onFailure(SourceFailure::kNoAnswer, kBackoffCap, now);
    }
    REQUIRE(reader.nextCallAt() - now >= std::chrono::milliseconds(500));
  }
}

TEST_CASE("missing history causes a new listing; the backoff after failures is bounded", "[serving]") {
  SourceReader reader = readerOf();
  reader.takeCall(at(0));
  reader.onPage(pageOf(10), 0, at(0));
  Moment now = reader.nextCallAt();
  REQUIRE(reader.takeCall(now));
  reader.onFailure(SourceFailure::kHistoryUnavailable, std::chrono::milliseconds(1000), now);
  for (int failures = 0; failures < 20; ++failures) {
    REQUIRE(reader.nextCallAt() - now <= std::chrono::milliseconds(1000));
    REQUIRE(reader.nextCallAt() - now >= std::chrono::milliseconds(75));
    now = reader.nextCallAt();
    REQUIRE(reader.takeCall(now)->kind == SourceCall::Kind::kList);
    reader.onFailure(SourceFailure::kUnavailable, std::chrono::milliseconds(1000), now);
  }
}

TEST_CASE("an update from a peer postpones the next call until the next update is overdue", "[serving]") {
  SourceReader reader = readerOf();
  reader.takeCall(at(0));
  reader.onPage(pageOf(10), 0, at(0));
  const SourceReaderSettings settings;
  reader.onUpdate(inFirstEpoch(20));
  reader.awaitUpdate(at(100), std::chrono::milliseconds(200));
  REQUIRE(reader.nextCallAt() == at(300) + settings.minCallInterval + settings.maxWait);
  const auto overdue = reader.takeCall(reader.nextCallAt());
  REQUIRE(overdue->afterRevision == 20);
  // Peers wait for the answer too, so that the source must not hold the call open.
  REQUIRE(overdue->wait.count() == 0);
  reader.onPage(pageOf(20), 0, at(2000));
  REQUIRE(reader.takeCall(reader.nextCallAt())->wait == settings.maxWait);
  reader.onUpdate(inFirstEpoch(15));
  REQUIRE(reader.known() == inFirstEpoch(20));
}

TEST_CASE("every daemon receives an update once and forwards it to few", "[serving]") {
  OAKPIER_PROPERTY("tree", [] {
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 400);
    std::vector<Endpoint> members;
    for (std::uint32_t number = 0; number < count; ++number) {
      members.emplace_back(number * 7 + 1, 1);
    }
    const Endpoint root = members[*rc::gen::inRange<std::size_t>(0, members.size())];
    std::map<Endpoint, int> received;
    for (const Endpoint& member : members) {
      const auto children = forwardingChildren(members, root, member);
      RC_ASSERT(children.size() <= kForwardingDegree);
      for (const Endpoint& child : children) {
        ++received[child];
      }
    }
    RC_ASSERT(received.size() == members.size() - 1);
    RC_ASSERT(received.count(root) == 0U);
    for (const auto& [member, times] : received) {
      RC_ASSERT(times == 1);
    }
  });
}

TEST_CASE("updates without changes are forwarded once per read", "[serving]") {
  const Endpoint root(1, 1);
  std::vector<Endpoint> members;
  for (std::uint32_t number = 1; number <= 100; ++number) {
    members.emplace_back(number, 1);
  }
  SourceRelay relay(members[1]);
  relay.setMembers(members);
  SourceNews update;
  update.set_after_revision(8);
  update.set_revision(8);
  update.set_reader(root.text());
  const std::size_t children = forwardingChildren(members, root, members[1]).size();
  REQUIRE(children > 0);
  REQUIRE(relay.onUpdate(root, update, inFirstEpoch(8), at(1000)).updates.size() == children);
  REQUIRE(relay.onUpdate(root, update, inFirstEpoch(8), at(1001)).updates.empty());
  REQUIRE(relay.onUpdate(root, update, inFirstEpoch(8), at(2000)).updates.size() == children);
  REQUIRE(relay.confirmedAt() == at(2000));
}

TEST_CASE("the rate of complete states sent to peers is limited", "[serving]") {
  SourceRelay relay(Endpoint(1, 1));
  std::size_t received = 0;
  for (std::uint32_t number = 2; number < 102; ++number) {
    received += relay.catchUpFor(Endpoint(number, 1), inFirstEpoch(0), inFirstEpoch(8), at(1000)) ? 1 : 0;
  }
  REQUIRE(received > 0);
  REQUIRE(received < 30);
  REQUIRE(relay.catchUpFor(Endpoint(200, 1), inFirstEpoch(0), inFirstEpoch(8), at(2000)));
  // Changes are small and not limited.
  REQUIRE(relay.catchUpFor(Endpoint(201, 1), inFirstEpoch(7), inFirstEpoch(8), at(1001)));
}

TEST_CASE("a daemon with a gap requests the complete state and can apply it", "[serving]") {
  const Endpoint one(1, 1);
  const Endpoint other(2, 1);
  SourceRelay reader(one);
  SourceRelay receiver(other);
  reader.setMembers(std::vector<Endpoint>{one, other});
  receiver.setMembers(std::vector<Endpoint>{one, other});
  reader.setConfirmedAt(at(1000));
  reader.store({"servers/x", "value", 7, false});
  const auto sent = reader.onRead(5, inFirstEpoch(8), {{"servers/x", "value", 7, false}}, at(1100));
  REQUIRE(sent.updates.size() == 1);
  const SourceNews update = sent.updates[0].update;
  REQUIRE(update.age_us() == 100'000);

  SECTION("there is no gap") {
    const auto taken = receiver.onUpdate(one, update, inFirstEpoch(6), at(5000));
    REQUIRE(taken.accepted);
    REQUIRE(receiver.confirmedAt() == at(4900));
  }
  SECTION("there is a gap") {
    const auto refused = receiver.onUpdate(one, update, inFirstEpoch(3), at(5000));
    REQUIRE_FALSE(refused.accepted);
    REQUIRE(*refused.requestFrom == one);
    const auto whole = reader.catchUpFor(other, inFirstEpoch(0), inFirstEpoch(8), at(1200));
    REQUIRE(whole->update.whole());
    REQUIRE(receiver.onUpdate(one, whole->update, inFirstEpoch(3), at(5100)).accepted);
    REQUIRE(recordsOf(whole->update).size() == 1);
  }
  SECTION("the known position is later") {
    REQUIRE_FALSE(receiver.onUpdate(one, update, inFirstEpoch(9), at(5000)).accepted);
  }
}

TEST_CASE("leafs whose records are deleted briefly stay in use", "[serving]") {
  ServingStateSettings settings;
  settings.removalDelay = removalDelayFor(std::chrono::seconds(5));
  ServingState state(settings);
  state.onLeaf(leafEntry("x", "s", 1), inFirstEpoch(1));
  state.onLeaf(leafEntry("y", "s", 2), inFirstEpoch(2));
  state.onListing({"x", "y"}, inFirstEpoch(2), at(0));
  state.onLeafRemoved("x", inFirstEpoch(3), at(0));
  state.onLeafRemoved("y", inFirstEpoch(4), at(0));
  state.onTimer(at(2400));
  REQUIRE(state.leafCount() == 2);
  state.onLeaf(leafEntry("x", "s", 1), inFirstEpoch(5));
  state.onTimer(at(2600));
  // "y" was not listed again.
  REQUIRE(state.leafCount() == 1);
}

// Guards against a leaf that is used beyond the operator's bound because its deletion was learned of late.
TEST_CASE("a deletion that is learned of late shortens the removal delay", "[serving]") {
  ServingState state(stateSettingsFor(std::chrono::seconds(3), kDefaultLeafHeartbeat));
  state.onLeaf(leafEntry("x", "s", 1), inFirstEpoch(1));
  const auto removedAt = [&](Moment changedAfter, Moment now) {
    state.setChangedAfter(changedAfter);
    state.onLeafRemoved("x", inFirstEpoch(2), now);
    return state.nextDueAt();
  };
  SECTION("soon enough for the whole delay") { REQUIRE(removedAt(at(1000), at(2500)) == at(3500)); }
  SECTION("later, within the bound") { REQUIRE(removedAt(at(1000), at(3500)) == at(3900)); }
  SECTION("at the end of the bound: at once") {
    removedAt(at(1000), at(3950));
    REQUIRE(state.leafCount() == 0);
  }
  // Records that lapsed during an outage may be written again.
  SECTION("after the bound") { REQUIRE(removedAt(at(1000), at(4000)) == at(5000)); }
  SECTION("the source was unavailable") { REQUIRE(removedAt(kNever, at(3500)) == at(4500)); }
}

TEST_CASE("the removal delay is at most half of the operator's bound", "[serving]") {
  for (const int bound : {600, 2500, 3000, 5000, 60'000}) {
    const Duration leaveBound = std::chrono::milliseconds(bound);
    REQUIRE(removalDelayFor(leaveBound) <= leaveBound / 2);
    REQUIRE(removalDelayFor(leaveBound) > Duration(0));
  }
  REQUIRE(removalDelayFor(std::chrono::seconds(3)) == std::chrono::seconds(1));
  REQUIRE(removalDelayFor(std::chrono::seconds(5)) == std::chrono::milliseconds(2500));
}

TEST_CASE("a daemon that lacks a few changes is sent only these", "[serving]") {
  SourceRelay relay(Endpoint(1, 1));
  const Endpoint requester(2, 1);
  for (std::uint64_t revision = 1; revision <= 100; ++revision) {
    relay.store({"servers/" + std::to_string(revision), "value", revision, false});
  }
  relay.store({"servers/7", "", 101, true});
  relay.store({"servers/8", "", 102, true});
  relay.store({"servers/8", "again", 103, false});

  const SourceNews missed =
      relay.catchUpFor(requester, inFirstEpoch(99), inFirstEpoch(103), at(1000))->update;
  REQUIRE_FALSE(missed.whole());
  REQUIRE(missed.after_revision() == 99);
  REQUIRE(missed.revision() == 103);
  REQUIRE(missed.reader().empty());
  std::set<std::string> received;
  for (const SourceRecord& record : recordsOf(missed)) {
    received.insert(record.key + (record.deleted ? " deleted" : ""));
  }
  REQUIRE(received == std::set<std::string>{"servers/100", "servers/7 deleted", "servers/8"});

  // After a listing, earlier deletions are not known.
  relay.removeUnlisted({"servers/100"}, inFirstEpoch(103));
  REQUIRE(relay.catchUpFor(requester, inFirstEpoch(99), inFirstEpoch(104), at(1000))->update.whole());
  REQUIRE_FALSE(relay.catchUpFor(requester, inFirstEpoch(103), inFirstEpoch(104), at(1000))->update.whole());
}

TEST_CASE("an update that arrives from two peers is forwarded once", "[serving]") {
  std::vector<Endpoint> members;
  for (std::uint32_t number = 1; number <= 30; ++number) {
    members.emplace_back(number, 1);
  }
  SourceRelay relay(members[1]);
  relay.setMembers(members);
  SourceNews update;
  update.set_after_revision(1);
  update.set_revision(2);
  update.set_reader(members[0].text());
  REQUIRE(relay.onUpdate(members[0], update, inFirstEpoch(1), at(1)).updates.size() == kForwardingDegree);
  REQUIRE(relay.onUpdate(members[5], update, inFirstEpoch(2), at(2)).updates.empty());
}

TEST_CASE("connections to a leaf stay within its limit for any number of daemons", "[serving]") {
  OAKPIER_PROPERTY("subsets", [] {
    const auto daemons = *rc::gen::inRange<std::uint32_t>(1, 200);
    const std::size_t maximum = *rc::gen::element<std::size_t>(26, 70, 110);
    // Enough leafs for two connections per daemon.
    const std::size_t leafs = std::max<std::size_t>(2, std::size_t{daemons} * 4 / maximum + 1);
    const LeafsByService directory = leafsOf({"s"}, leafs);
    const ConnectionShare share = connectionShare(leafs, maximum, daemons);
    std::map<std::string, std::size_t> connections;
    for (std::uint32_t number = 0; number < daemons; ++number) {
      const auto subset = chooseSubset(directory.at("s"), share.leafs, Endpoint(number + 1, 9));
      RC_ASSERT(subset.size() >= 2U);
      for (const LeafEntry& leaf : subset) {
        connections[leaf.id] += share.connections;
      }
    }
    for (const auto& [leaf, count] : connections) {
      RC_ASSERT(count <= maximum);
    }
  });
}

}  // namespace oakpier::serving
