/// What is believed of leafs and evacuations when the source comes back from a copy that contradicts it.

#include <catch2/catch.hpp>

#include "coordination/serving/departed_leafs.h"
#include "coordination/serving/serving_knowledge.h"
#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

constexpr std::uint64_t kEpoch = 4;
/// In milliseconds.
constexpr int kRestoredAt = 20'000;
constexpr int kWrittenAgain = 2500;
constexpr int kLapsed = 6100;

SourcePosition before(std::uint64_t revision) { return SourcePosition{kEpoch, revision}; }
SourcePosition after(std::uint64_t revision) { return SourcePosition{kEpoch + 1, revision}; }

LeafEntry leafBorn(std::uint64_t born) {
  LeafEntry entry = leafEntry("one", "s", 1);
  entry.bornAt = born;
  return entry;
}

/// A daemon that knows one leaf, and a source that is listed when it has come back.
class Restored {
 public:
  Restored() {
    knowledge.onListing({}, before(1), at(0));
    knowledge.onLeaf(leafBorn(7), before(50));
  }
  /// The source comes back; `listed` are the leafs that its copy names.
  void restore(const std::vector<LeafEntry>& listed) {
    knowledge.onRestored(after(30), at(kRestoredAt));
    std::vector<std::string> ids;
    for (const LeafEntry& entry : listed) {
      knowledge.onLeaf(entry, after(20));
      ids.push_back(entry.id);
    }
    knowledge.onListing(ids, after(30), at(kRestoredAt));
  }
  bool used() const { return knowledge.leafCount() == 1; }
  LeafEntry believed() {
    if (const auto view = knowledge.takeChangedView()) {
      last_ = view->leafs->at("s").front();
    }
    return last_;
  }

  ServingKnowledge knowledge{KnowledgeSettings{}};

 private:
  LeafEntry last_;
};

}  // namespace

TEST_CASE("a leaf that the copy lacks is used on until it would have been written again",
          "[serving][epoch]") {
  Restored restored;
  restored.restore({});
  REQUIRE(restored.knowledge.leafsLeaving() == 1);
  restored.knowledge.onTime(at(kRestoredAt + kWrittenAgain - 1));
  REQUIRE(restored.used());
  SECTION("it is not") {
    restored.knowledge.onTime(at(kRestoredAt + kWrittenAgain));
    REQUIRE_FALSE(restored.used());
  }
  SECTION("it is") {
    restored.knowledge.onLeaf(leafBorn(7), after(31));
    restored.knowledge.onTime(at(kRestoredAt + 60'000));
    REQUIRE(restored.used());
  }
}

TEST_CASE("a leaf that had gone is not brought back by a copy until it must have lapsed",
          "[serving][epoch]") {
  Restored restored;
  const bool removedLongBefore = GENERATE(true, false);
  restored.knowledge.onLeafRemoved("one", before(60), at(removedLongBefore ? 15'000 : kRestoredAt - 1));
  restored.knowledge.onTime(at(kRestoredAt - 1));
  restored.restore({leafBorn(7)});
  restored.knowledge.onTime(at(kRestoredAt + kLapsed - 1));
  REQUIRE_FALSE(restored.used());
  SECTION("it is still listed: it writes on") {
    restored.knowledge.onTime(at(kRestoredAt + kLapsed));
    REQUIRE(restored.used());
  }
  SECTION("it lapses") {
    restored.knowledge.onLeafRemoved("one", after(31), at(kRestoredAt + 3600));
    restored.knowledge.onTime(at(kRestoredAt + 60'000));
    REQUIRE_FALSE(restored.used());
    REQUIRE(restored.knowledge.leafsDisputed() == 0);
  }
  SECTION("it writes again") {
    restored.knowledge.onLeaf(leafBorn(7), after(31));
    REQUIRE(restored.used());
  }
  SECTION("another life of it is listed later") {
    restored.knowledge.onLeaf(leafBorn(9), after(31));
    REQUIRE(restored.used());
  }
}

TEST_CASE("another life of a leaf that had gone is used at once", "[serving][epoch]") {
  Restored restored;
  restored.knowledge.onLeafRemoved("one", before(60), at(15'000));
  restored.knowledge.onTime(at(kRestoredAt - 1));
  restored.restore({leafBorn(9)});
  REQUIRE(restored.used());
}

TEST_CASE("a leaf that drained drains on, whatever the copy says", "[serving][epoch]") {
  Restored restored;
  LeafEntry draining = leafBorn(7);
  draining.draining = true;
  restored.knowledge.onLeaf(draining, before(60));
  restored.restore({leafBorn(7)});
  REQUIRE_FALSE(restored.believed().acceptsRequests());
  restored.knowledge.onTime(at(kRestoredAt + 60'000));
  REQUIRE_FALSE(restored.believed().acceptsRequests());
  SECTION("another life does not") {
    restored.knowledge.onLeaf(leafBorn(9), after(31));
    REQUIRE(restored.believed().acceptsRequests());
  }
}

TEST_CASE("a copy's word that a leaf drains is believed at once", "[serving][epoch]") {
  Restored restored;
  LeafEntry draining = leafBorn(7);
  draining.draining = true;
  restored.restore({draining});
  REQUIRE_FALSE(restored.believed().acceptsRequests());
}

TEST_CASE("an earlier life that the copy tells waits for the later one to be written again",
          "[serving][epoch]") {
  Restored restored;
  restored.restore({leafBorn(3)});
  REQUIRE(restored.believed().bornAt == 7);
  SECTION("it is") {
    restored.knowledge.onLeaf(leafBorn(7), after(31));
    restored.knowledge.onTime(at(kRestoredAt + 60'000));
    REQUIRE(restored.believed().bornAt == 7);
  }
  SECTION("it is not") {
    restored.knowledge.onTime(at(kRestoredAt + kWrittenAgain));
    REQUIRE(restored.believed().bornAt == 3);
  }
}

TEST_CASE("a zone that either calls evacuated is, until it would have been written again",
          "[serving][epoch]") {
  Restored restored;
  restored.knowledge.onEvacuation("a", true, before(60));
  restored.knowledge.onEvacuation("b", false, before(61));
  restored.restore({leafBorn(7)});
  restored.knowledge.onEvacuation("b", true, after(21));
  restored.knowledge.onEvacuationListing({"b"}, after(30), at(kRestoredAt));
  REQUIRE(restored.knowledge.evacuatedZones() == std::vector<std::string>{"a", "b"});
  REQUIRE(restored.knowledge.nextDueAt() == at(kRestoredAt + kWrittenAgain));
  SECTION("it is not") {
    restored.knowledge.onTime(at(kRestoredAt + kWrittenAgain));
    REQUIRE(restored.knowledge.evacuatedZones() == std::vector<std::string>{"b"});
  }
  SECTION("it is") {
    restored.knowledge.onEvacuation("a", true, after(31));
    restored.knowledge.onTime(at(kRestoredAt + 60'000));
    REQUIRE(restored.knowledge.evacuatedZones() == std::vector<std::string>{"a", "b"});
  }
}

TEST_CASE("a source that comes back twice leaves nothing of the first time waiting", "[serving][epoch]") {
  Restored restored;
  restored.knowledge.onLeafRemoved("one", before(60), at(15'000));
  restored.knowledge.onTime(at(kRestoredAt - 1));
  restored.restore({leafBorn(7)});
  REQUIRE(restored.knowledge.leafsDisputed() == 1);
  const SourcePosition again{kEpoch + 2, 25};
  restored.knowledge.onRestored(again, at(kRestoredAt + 500));
  restored.knowledge.onListing({}, again, at(kRestoredAt + 500));
  REQUIRE(restored.knowledge.leafsDisputed() == 0);
  restored.knowledge.onTime(at(kRestoredAt + 60'000));
  REQUIRE_FALSE(restored.used());
}

TEST_CASE("lives that have ended are remembered for a while, and not too many", "[serving][epoch]") {
  DepartedLeafs departed;
  departed.add(leafBorn(7).life(), at(0));
  REQUIRE(departed.include(leafBorn(7).life()));
  REQUIRE_FALSE(departed.include(leafBorn(8).life()));
  departed.add(leafBorn(8).life(), at(30'000));
  departed.onTime(at(61'000));
  REQUIRE(departed.include(leafBorn(8).life()));
  departed.onTime(at(91'000));
  REQUIRE(departed.size() == 0);
  for (int leaf = 0; leaf < 10'000; ++leaf) {
    departed.add(leafEntry("leaf-" + std::to_string(leaf), "s", 1).life(), at(100'000));
  }
  REQUIRE(departed.size() <= 4096);
}

}  // namespace oakpier::serving
