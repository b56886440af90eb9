#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "coordination/serving/forwarding_tree.h"
#include "coordination/serving/leaf_subset.h"
#include "coordination/serving/serving_knowledge.h"
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

TEST_CASE("versions of the configuration never go back, whoever tells them", "[serving]") {
  ServingKnowledge knowledge{KnowledgeSettings{}};
  REQUIRE(knowledge.onConfiguration(configurationOf(5)).empty());
  REQUIRE(knowledge.takeChangedView()->configuration->version == 5);
  REQUIRE(knowledge.onConfiguration(configurationOf(4)).empty());
  REQUIRE(knowledge.takeChangedView() == nullptr);
  REQUIRE(knowledge.configurationVersion() == 5);
  auto wrong = std::make_shared<ServingConfiguration>();
  wrong->version = 9;
  wrong->routes = {singleRoute("unknown", true, 1)};
  REQUIRE_FALSE(knowledge.onConfiguration(wrong).empty());
  REQUIRE(knowledge.configurationVersion() == 5);
}

TEST_CASE("a leaf that leaves by notice goes at once, one that vanishes a little later", "[serving]") {
  ServingKnowledge knowledge{KnowledgeSettings{std::chrono::milliseconds(1000)}};
  knowledge.onLeaf(leafEntry("one", "s", 1), inFirstEpoch(1));
  LeafEntry draining = leafEntry("two", "s", 2);
  draining.draining = true;
  knowledge.onLeaf(draining, inFirstEpoch(2));
  knowledge.onListing({"one", "two"}, inFirstEpoch(2), at(0));
  knowledge.onLeafRemoved("two", inFirstEpoch(3), at(0));
  REQUIRE(knowledge.leafCount() == 1);
  knowledge.onLeafRemoved("one", inFirstEpoch(4), at(0));
  REQUIRE(knowledge.leafCount() == 1);
  REQUIRE(knowledge.nextDueAt() == at(1000));
  SECTION("it comes back") {
    REQUIRE(knowledge.onLeaf(leafEntry("one", "s", 1), inFirstEpoch(5)));
    knowledge.onTime(at(2000));
    REQUIRE(knowledge.leafCount() == 1);
  }
  SECTION("old news of it does not bring it back") {
    REQUIRE_FALSE(knowledge.onLeaf(leafEntry("one", "s", 1), inFirstEpoch(3)));
    knowledge.onTime(at(1000));
    REQUIRE(knowledge.leafCount() == 0);
  }
}

TEST_CASE("leafs of a zone that the operator evacuates take no work until that is taken back", "[serving]") {
  ServingKnowledge knowledge{KnowledgeSettings{}};
  LeafEntry elsewhere = leafEntry("two", "s", 2);
  elsewhere.zone = "b";
  knowledge.onLeaf(leafEntry("one", "s", 1), inFirstEpoch(1));
  knowledge.onLeaf(elsewhere, inFirstEpoch(2));
  const auto takingWork = [&] {
    std::set<std::string> ids;
    const auto view = knowledge.takeChangedView();
    for (const LeafEntry& leaf : view->leafs->at("s")) {
      if (leaf.acceptsRequests()) {
        ids.insert(leaf.id);
      }
    }
    return ids;
  };
  knowledge.onEvacuation("a", true, inFirstEpoch(5));
  REQUIRE(takingWork() == std::set<std::string>{"two"});
  REQUIRE(knowledge.evacuatedZones() == std::vector<std::string>{"a"});
  SECTION("old news does not end it") {
    knowledge.onEvacuation("a", false, inFirstEpoch(4));
    knowledge.onEvacuationListing({}, inFirstEpoch(4), at(0));
    REQUIRE(knowledge.takeChangedView() == nullptr);
  }
  SECTION("it is taken back") {
    knowledge.onEvacuation("a", false, inFirstEpoch(6));
    REQUIRE(takingWork() == std::set<std::string>{"one", "two"});
  }
  SECTION("a listing no longer names it") {
    knowledge.onEvacuationListing({"b"}, inFirstEpoch(6), at(0));
    REQUIRE(takingWork() == std::set<std::string>{"one", "two"});
  }
  SECTION("a leaf that starts in the zone takes none either") {
    knowledge.onLeaf(leafEntry("three", "s", 3), inFirstEpoch(6));
    REQUIRE(takingWork() == std::set<std::string>{"two"});
  }
}

TEST_CASE("leafs that a listing does not name are gone, newer ones excepted", "[serving]") {
  ServingKnowledge knowledge{KnowledgeSettings{Duration(0)}};
  knowledge.onLeaf(leafEntry("old", "s", 1), inFirstEpoch(1));
  knowledge.onLeaf(leafEntry("new", "s", 2), inFirstEpoch(9));
  knowledge.onListing({}, inFirstEpoch(5), at(0));
  REQUIRE(knowledge.leafCount() == 1);
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

TEST_CASE("lost history means a new listing; failures make calls rarer up to a bound", "[serving]") {
  SourceReader reader = readerOf();
  reader.takeCall(at(0));
  reader.onPage(pageOf(10), 0, at(0));
  Moment now = reader.nextCallAt();
  REQUIRE(reader.takeCall(now));
  reader.onFailure(SourceFailure::kHistoryGone, std::chrono::milliseconds(1000), now);
  for (int failures = 0; failures < 20; ++failures) {
    REQUIRE(reader.nextCallAt() - now <= std::chrono::milliseconds(1000));
    REQUIRE(reader.nextCallAt() - now >= std::chrono::milliseconds(75));
    now = reader.nextCallAt();
    REQUIRE(reader.takeCall(now)->kind == SourceCall::Kind::kList);
    reader.onFailure(SourceFailure::kUnavailable, std::chrono::milliseconds(1000), now);
  }
}

TEST_CASE("news from another daemon puts off the own call until the next is overdue", "[serving]") {
  SourceReader reader = readerOf();
  reader.takeCall(at(0));
  reader.onPage(pageOf(10), 0, at(0));
  const SourceReaderSettings settings;
  reader.onNews(inFirstEpoch(20));
  reader.leaveToOther(at(100), std::chrono::milliseconds(200));
  REQUIRE(reader.nextCallAt() == at(300) + settings.pace + settings.wait);
  const auto overdue = reader.takeCall(reader.nextCallAt());
  REQUIRE(overdue->afterRevision == 20);
  // Others wait for the answer too, so the source is not given time.
  REQUIRE(overdue->wait.count() == 0);
  reader.onPage(pageOf(20), 0, at(2000));
  REQUIRE(reader.takeCall(reader.nextCallAt())->wait == settings.wait);
  reader.onNews(inFirstEpoch(15));
  REQUIRE(reader.known() == inFirstEpoch(20));
}

TEST_CASE("every daemon gets forwarded news exactly once and passes it to few", "[serving]") {
  OAKPIER_PROPERTY("tree", [] {
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 400);
    std::vector<Endpoint> members;
    for (std::uint32_t number = 0; number < count; ++number) {
      members.emplace_back(number * 7 + 1, 1);
    }
    const Endpoint root = members[*rc::gen::inRange<std::size_t>(0, members.size())];
    std::map<Endpoint, int> told;
    for (const Endpoint& member : members) {
      const auto children = forwardTo(members, root, member);
      RC_ASSERT(children.size() <= kForwardingDegree);
      for (const Endpoint& child : children) {
        ++told[child];
      }
    }
    RC_ASSERT(told.size() == members.size() - 1);
    RC_ASSERT(told.count(root) == 0U);
    for (const auto& [member, times] : told) {
      RC_ASSERT(times == 1);
    }
  });
}

TEST_CASE("news that nothing has changed is passed on as well, but not twice", "[serving]") {
  const Endpoint root(1, 1);
  std::vector<Endpoint> members;
  for (std::uint32_t number = 1; number <= 100; ++number) {
    members.emplace_back(number, 1);
  }
  SourceRelay relay(members[1]);
  relay.setMembers(members);
  SourceNews news;
  news.set_after_revision(8);
  news.set_revision(8);
  news.set_reader(root.text());
  const std::size_t children = forwardTo(members, root, members[1]).size();
  REQUIRE(children > 0);
  REQUIRE(relay.onNews(root, news, inFirstEpoch(8), at(1000)).news.size() == children);
  REQUIRE(relay.onNews(root, news, inFirstEpoch(8), at(1001)).news.empty());
  REQUIRE(relay.onNews(root, news, inFirstEpoch(8), at(2000)).news.size() == children);
  REQUIRE(relay.freshAt() == at(2000));
}

TEST_CASE("whole states are told to a bounded number of daemons in a time", "[serving]") {
  SourceRelay relay(Endpoint(1, 1));
  std::size_t told = 0;
  for (std::uint32_t number = 2; number < 102; ++number) {
    told += relay.missedBy(Endpoint(number, 1), inFirstEpoch(0), inFirstEpoch(8), at(1000)) ? 1 : 0;
  }
  REQUIRE(told > 0);
  REQUIRE(told < 30);
  REQUIRE(relay.missedBy(Endpoint(200, 1), inFirstEpoch(0), inFirstEpoch(8), at(2000)));
  // Changes are small, so whoever missed some is told them.
  REQUIRE(relay.missedBy(Endpoint(201, 1), inFirstEpoch(7), inFirstEpoch(8), at(1001)));
}

TEST_CASE("a daemon that misses news asks for everything and then knows it", "[serving]") {
  const Endpoint one(1, 1);
  const Endpoint other(2, 1);
  SourceRelay reader(one);
  SourceRelay receiver(other);
  reader.setMembers(std::vector<Endpoint>{one, other});
  receiver.setMembers(std::vector<Endpoint>{one, other});
  reader.setFreshAt(at(1000));
  reader.keep({"servers/x", "value", 7, false});
  const auto sent = reader.onRead(5, inFirstEpoch(8), {{"servers/x", "value", 7, false}}, at(1100));
  REQUIRE(sent.news.size() == 1);
  const SourceNews news = sent.news[0].news;
  REQUIRE(news.age_us() == 100'000);

  SECTION("nothing is missing") {
    const auto taken = receiver.onNews(one, news, inFirstEpoch(6), at(5000));
    REQUIRE(taken.accepted);
    REQUIRE(receiver.freshAt() == at(4900));
  }
  SECTION("something is missing") {
    const auto refused = receiver.onNews(one, news, inFirstEpoch(3), at(5000));
    REQUIRE_FALSE(refused.accepted);
    REQUIRE(*refused.ask == one);
    const auto whole = reader.missedBy(other, inFirstEpoch(0), inFirstEpoch(8), at(1200));
    REQUIRE(whole->news.whole());
    REQUIRE(receiver.onNews(one, whole->news, inFirstEpoch(3), at(5100)).accepted);
    REQUIRE(recordsOf(whole->news).size() == 1);
  }
  SECTION("it is older than what is known") {
    REQUIRE_FALSE(receiver.onNews(one, news, inFirstEpoch(9), at(5000)).accepted);
  }
}

TEST_CASE("leafs whose records go by mistake for a moment stay in use", "[serving]") {
  KnowledgeSettings settings;
  settings.removalDelay = removalDelayFor(std::chrono::seconds(5));
  ServingKnowledge knowledge(settings);
  knowledge.onLeaf(leafEntry("x", "s", 1), inFirstEpoch(1));
  knowledge.onLeaf(leafEntry("y", "s", 2), inFirstEpoch(2));
  knowledge.onListing({"x", "y"}, inFirstEpoch(2), at(0));
  knowledge.onLeafRemoved("x", inFirstEpoch(3), at(0));
  knowledge.onLeafRemoved("y", inFirstEpoch(4), at(0));
  knowledge.onTime(at(2400));
  REQUIRE(knowledge.leafCount() == 2);
  knowledge.onLeaf(leafEntry("x", "s", 1), inFirstEpoch(5));
  knowledge.onTime(at(2600));
  // "y" did not come back.
  REQUIRE(knowledge.leafCount() == 1);
}

TEST_CASE("a leaf that went is never used beyond the operator's bound", "[serving]") {
  for (const int bound : {600, 2500, 3000, 5000, 60'000}) {
    const Duration leaveBound = std::chrono::milliseconds(bound);
    REQUIRE(removalDelayFor(leaveBound) <= leaveBound / 2);
    REQUIRE(removalDelayFor(leaveBound) > Duration(0));
  }
  REQUIRE(removalDelayFor(std::chrono::seconds(3)) == std::chrono::seconds(1));
  REQUIRE(removalDelayFor(std::chrono::seconds(5)) == std::chrono::milliseconds(2500));
}

TEST_CASE("a daemon that has missed a little is told only that", "[serving]") {
  SourceRelay relay(Endpoint(1, 1));
  const Endpoint asker(2, 1);
  for (std::uint64_t revision = 1; revision <= 100; ++revision) {
    relay.keep({"servers/" + std::to_string(revision), "value", revision, false});
  }
  relay.keep({"servers/7", "", 101, true});
  relay.keep({"servers/8", "", 102, true});
  relay.keep({"servers/8", "again", 103, false});

  const SourceNews missed = relay.missedBy(asker, inFirstEpoch(99), inFirstEpoch(103), at(1000))->news;
  REQUIRE_FALSE(missed.whole());
  REQUIRE(missed.after_revision() == 99);
  REQUIRE(missed.revision() == 103);
  REQUIRE(missed.reader().empty());
  std::set<std::string> told;
  for (const SourceRecord& record : recordsOf(missed)) {
    told.insert(record.key + (record.gone ? " gone" : ""));
  }
  REQUIRE(told == std::set<std::string>{"servers/100", "servers/7 gone", "servers/8"});

  // After a listing nobody knows what went before it.
  relay.dropUnlisted({"servers/100"}, inFirstEpoch(103));
  REQUIRE(relay.missedBy(asker, inFirstEpoch(99), inFirstEpoch(104), at(1000))->news.whole());
  REQUIRE_FALSE(relay.missedBy(asker, inFirstEpoch(103), inFirstEpoch(104), at(1000))->news.whole());
}

TEST_CASE("news of one revision is forwarded once", "[serving]") {
  std::vector<Endpoint> members;
  for (std::uint32_t number = 1; number <= 30; ++number) {
    members.emplace_back(number, 1);
  }
  SourceRelay relay(members[1]);
  relay.setMembers(members);
  SourceNews news;
  news.set_after_revision(1);
  news.set_revision(2);
  news.set_reader(members[0].text());
  REQUIRE(relay.onNews(members[0], news, inFirstEpoch(1), at(1)).news.size() == kForwardingDegree);
  REQUIRE(relay.onNews(members[5], news, inFirstEpoch(2), at(2)).news.empty());
}

TEST_CASE("leafs' connections suffice for any number of daemons", "[serving]") {
  OAKPIER_PROPERTY("subsets", [] {
    const auto daemons = *rc::gen::inRange<std::uint32_t>(1, 200);
    const std::size_t maximum = *rc::gen::element<std::size_t>(26, 70, 110);
    // Enough leafs that every daemon can have two connections.
    const std::size_t leafs = std::max<std::size_t>(2, std::size_t{daemons} * 4 / maximum + 1);
    const LeafsByService directory = leafsOf({"s"}, leafs);
    const ConnectionShare share = shareOf(leafs, maximum, daemons);
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
