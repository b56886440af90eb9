/// Leafs and evacuations in effect after the source is restored from a backup that contradicts the known
/// state.

#include <catch2/catch.hpp>

#include "coordination/serving/leaf_tombstones.h"
#include "coordination/serving/serving_state.h"
#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

constexpr std::uint64_t kEpoch = 4;
/// Times in milliseconds.
constexpr int kRestoredAtMs = 20'000;
constexpr int kRewriteMs = 2500;
constexpr int kExpiryMs = 6100;

SourcePosition before(std::uint64_t revision) { return SourcePosition{kEpoch, revision}; }
SourcePosition after(std::uint64_t revision) { return SourcePosition{kEpoch + 1, revision}; }

LeafEntry leafBornAt(std::uint64_t born) {
  LeafEntry entry = leafEntry("one", "s", 1);
  entry.processStartedAt = born;
  return entry;
}

/// The state of a daemon that knows one leaf, and a source that can be restored.
class Restored {
 public:
  Restored() {
    state.onListing({}, before(1), at(0));
    state.onLeaf(leafBornAt(7), before(50));
  }
  /// The source is restored from a backup that contains `listed`.
  void restore(const std::vector<LeafEntry>& listed) {
    state.onRestored(after(30), at(kRestoredAtMs));
    std::vector<std::string> ids;
    for (const LeafEntry& entry : listed) {
      state.onLeaf(entry, after(20));
      ids.push_back(entry.id);
    }
    state.onListing(ids, after(30), at(kRestoredAtMs));
  }
  bool inUse() const { return state.leafCount() == 1; }
  LeafEntry entryInUse() {
    if (const auto view = state.takeChangedView()) {
      last_ = view->leafs->at("s").front();
    }
    return last_;
  }

  ServingState state{ServingStateSettings{}};

 private:
  LeafEntry last_;
};

}  // namespace

TEST_CASE("a leaf that the backup lacks stays in use until rewrites are due", "[serving][epoch]") {
  Restored restored;
  restored.restore({});
  REQUIRE(restored.state.leafsPendingRemoval() == 1);
  restored.state.onTimer(at(kRestoredAtMs + kRewriteMs - 1));
  REQUIRE(restored.inUse());
  SECTION("it is not rewritten") {
    restored.state.onTimer(at(kRestoredAtMs + kRewriteMs));
    REQUIRE_FALSE(restored.inUse());
  }
  SECTION("it is rewritten") {
    restored.state.onLeaf(leafBornAt(7), after(31));
    restored.state.onTimer(at(kRestoredAtMs + 60'000));
    REQUIRE(restored.inUse());
  }
}

TEST_CASE("a removed leaf in the backup is not used until its entry would have expired", "[serving][epoch]") {
  Restored restored;
  const bool tombstonedLongBefore = GENERATE(true, false);
  restored.state.onLeafRemoved("one", before(60), at(tombstonedLongBefore ? 15'000 : kRestoredAtMs - 1));
  restored.state.onTimer(at(kRestoredAtMs - 1));
  restored.restore({leafBornAt(7)});
  restored.state.onTimer(at(kRestoredAtMs + kExpiryMs - 1));
  REQUIRE_FALSE(restored.inUse());
  SECTION("its entry is still listed") {
    restored.state.onTimer(at(kRestoredAtMs + kExpiryMs));
    REQUIRE(restored.inUse());
  }
  SECTION("its entry expires") {
    restored.state.onLeafRemoved("one", after(31), at(kRestoredAtMs + 3600));
    restored.state.onTimer(at(kRestoredAtMs + 60'000));
    REQUIRE_FALSE(restored.inUse());
    REQUIRE(restored.state.leafsConflicting() == 0);
  }
  SECTION("it is rewritten") {
    restored.state.onLeaf(leafBornAt(7), after(31));
    REQUIRE(restored.inUse());
  }
  SECTION("another incarnation is listed later") {
    restored.state.onLeaf(leafBornAt(9), after(31));
    REQUIRE(restored.inUse());
  }
}

TEST_CASE("another incarnation of a removed leaf is used immediately", "[serving][epoch]") {
  Restored restored;
  restored.state.onLeafRemoved("one", before(60), at(15'000));
  restored.state.onTimer(at(kRestoredAtMs - 1));
  restored.restore({leafBornAt(9)});
  REQUIRE(restored.inUse());
}

TEST_CASE("a draining leaf keeps draining, even if the backup says otherwise", "[serving][epoch]") {
  Restored restored;
  LeafEntry draining = leafBornAt(7);
  draining.draining = true;
  restored.state.onLeaf(draining, before(60));
  restored.restore({leafBornAt(7)});
  REQUIRE_FALSE(restored.entryInUse().acceptsRequests());
  restored.state.onTimer(at(kRestoredAtMs + 60'000));
  REQUIRE_FALSE(restored.entryInUse().acceptsRequests());
  SECTION("another incarnation does not drain") {
    restored.state.onLeaf(leafBornAt(9), after(31));
    REQUIRE(restored.entryInUse().acceptsRequests());
  }
}

TEST_CASE("draining in the backup applies immediately", "[serving][epoch]") {
  Restored restored;
  LeafEntry draining = leafBornAt(7);
  draining.draining = true;
  restored.restore({draining});
  REQUIRE_FALSE(restored.entryInUse().acceptsRequests());
}

TEST_CASE("an earlier incarnation in the backup is used only if the later one is not rewritten",
          "[serving][epoch]") {
  Restored restored;
  restored.restore({leafBornAt(3)});
  REQUIRE(restored.entryInUse().processStartedAt == 7);
  SECTION("the later one is rewritten") {
    restored.state.onLeaf(leafBornAt(7), after(31));
    restored.state.onTimer(at(kRestoredAtMs + 60'000));
    REQUIRE(restored.entryInUse().processStartedAt == 7);
  }
  SECTION("the later one is not rewritten") {
    restored.state.onTimer(at(kRestoredAtMs + kRewriteMs));
    REQUIRE(restored.entryInUse().processStartedAt == 3);
  }
}

TEST_CASE("a zone evacuated by the backup or the known state stays so until rewrites are due",
          "[serving][epoch]") {
  Restored restored;
  restored.state.onEvacuation("a", true, before(60));
  restored.state.onEvacuation("b", false, before(61));
  restored.restore({leafBornAt(7)});
  restored.state.onEvacuation("b", true, after(21));
  restored.state.onEvacuationListing({"b"}, after(30), at(kRestoredAtMs));
  REQUIRE(restored.state.evacuatedZones() == std::vector<std::string>{"a", "b"});
  REQUIRE(restored.state.nextDueAt() == at(kRestoredAtMs + kRewriteMs));
  SECTION("it is not rewritten") {
    restored.state.onTimer(at(kRestoredAtMs + kRewriteMs));
    REQUIRE(restored.state.evacuatedZones() == std::vector<std::string>{"b"});
  }
  SECTION("it is rewritten") {
    restored.state.onEvacuation("a", true, after(31));
    restored.state.onTimer(at(kRestoredAtMs + 60'000));
    REQUIRE(restored.state.evacuatedZones() == std::vector<std::string>{"a", "b"});
  }
}

TEST_CASE("a second restoration drops the pending entries of the first", "[serving][epoch]") {
  Restored restored;
  restored.state.onLeafRemoved("one", before(60), at(15'000));
  restored.state.onTimer(at(kRestoredAtMs - 1));
  restored.restore({leafBornAt(7)});
  REQUIRE(restored.state.leafsConflicting() == 1);
  const SourcePosition again{kEpoch + 2, 25};
  restored.state.onRestored(again, at(kRestoredAtMs + 500));
  restored.state.onListing({}, again, at(kRestoredAtMs + 500));
  REQUIRE(restored.state.leafsConflicting() == 0);
  restored.state.onTimer(at(kRestoredAtMs + 60'000));
  REQUIRE_FALSE(restored.inUse());
}

TEST_CASE("tombstones of leafs expire and are limited in number", "[serving][epoch]") {
  LeafTombstones tombstones;
  tombstones.add(leafBornAt(7).incarnation(), at(0));
  REQUIRE(tombstones.contains(leafBornAt(7).incarnation()));
  REQUIRE_FALSE(tombstones.contains(leafBornAt(8).incarnation()));
  tombstones.add(leafBornAt(8).incarnation(), at(30'000));
  tombstones.onTimer(at(61'000));
  REQUIRE(tombstones.contains(leafBornAt(8).incarnation()));
  tombstones.onTimer(at(91'000));
  REQUIRE(tombstones.size() == 0);
  for (int leaf = 0; leaf < 10'000; ++leaf) {
    tombstones.add(leafEntry("leaf-" + std::to_string(leaf), "s", 1).incarnation(), at(100'000));
  }
  REQUIRE(tombstones.size() <= 4096);
}

}  // namespace oakpier::serving
