#include "coordination/serving/zone_mergers.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

const Endpoint kNear(2, 9);
const Endpoint kFar(3, 9);

/// One send to a leaf of each of the zones.
std::vector<SendAction> sendsTo(const std::vector<std::string>& zones) {
  std::vector<SendAction> sends;
  for (const std::string& zone : zones) {
    LeafEntry entry = leafEntry("leaf-" + std::to_string(sends.size()), "s", 1);
    entry.zone = zone;
    sends.push_back(SendAction{sends.size() + 1, std::make_shared<LeafStatus>(entry, at(0)), std::nullopt});
  }
  return sends;
}

}  // namespace

TEST_CASE("requests to several leafs of another zone are routed through one merge server", "[serving]") {
  RandomEngine random(1);
  ZoneMergers mergers;
  mergers.setDaemons({{"b", {kNear, kFar}}});
  auto sends = sendsTo({"a", "b", "b", "c"});
  mergers.assign(sends, random, at(0));
  REQUIRE_FALSE(sends[0].merger);
  REQUIRE(sends[1].merger);
  REQUIRE(sends[1].merger == sends[2].merger);
  REQUIRE_FALSE(sends[3].merger);
}

TEST_CASE("a request to a single leaf of another zone is sent directly", "[serving]") {
  RandomEngine random(1);
  ZoneMergers mergers;
  mergers.setDaemons({{"b", {kNear}}, {"c", {kFar}}});
  auto sends = sendsTo({"b", "c", "c"});
  mergers.assign(sends, random, at(0));
  REQUIRE_FALSE(sends[0].merger);
  REQUIRE(sends[1].merger == kFar);
}

TEST_CASE("requests to ejected, stalled, slow and overloaded leafs are sent directly", "[serving]") {
  RandomEngine random(1);
  ZoneMergers mergers;
  mergers.setDaemons({{"b", {kNear}}});
  const auto assigned = [&](auto&& trouble) {
    auto sends = sendsTo({"b", "b", "b"});
    trouble(*sends[0].leaf);
    mergers.assign(sends, random, at(100));
    REQUIRE(sends[1].merger == kNear);
    return sends[0].merger.has_value();
  };
  REQUIRE(assigned([](LeafStatus&) {}));
  REQUIRE_FALSE(assigned([](LeafStatus& leaf) { leaf.onStarted(1, std::chrono::milliseconds(20), at(0)); }));
  REQUIRE_FALSE(assigned([](LeafStatus& leaf) { leaf.onLoad({2, 1, 2}, at(100)); }));
  REQUIRE_FALSE(assigned([](LeafStatus& leaf) {
    leaf.onStarted(1, std::chrono::milliseconds(20), at(0));
    leaf.onFinished(1, LeafOutcome::Kind::kNotSent, at(90));
  }));
  REQUIRE_FALSE(assigned([](LeafStatus& leaf) {
    leaf.onStarted(1, std::chrono::milliseconds(1), at(0));
    leaf.onFinished(1, LeafOutcome::Kind::kAnswered, at(90));
  }));
}

TEST_CASE("an unresponsive merge server is used at most once per probe interval", "[serving]") {
  RandomEngine random(1);
  ZoneMergers mergers;
  mergers.setDaemons({{"b", {kNear}}});
  mergers.onSent(kNear, at(0));
  const auto mergerAt = [&](int milliseconds) {
    auto sends = sendsTo({"b", "b"});
    mergers.assign(sends, random, at(milliseconds));
    return sends[0].merger;
  };
  REQUIRE(mergerAt(100) == kNear);
  REQUIRE_FALSE(mergerAt(200));
  REQUIRE(mergerAt(300) == kNear);
  REQUIRE_FALSE(mergerAt(310));
  mergers.onHeard(kNear, at(1000));
  REQUIRE(mergerAt(320) == kNear);
}

TEST_CASE("merge servers are chosen in proportion to their capacity", "[serving]") {
  RandomEngine random(1);
  ZoneMergers mergers;
  std::vector<ServingDaemon> zone;
  for (std::uint32_t number = 0; number < 18; ++number) {
    zone.emplace_back(Endpoint(number + 2, 9), number < 2 ? 50 : 12);
  }
  mergers.setDaemons({{"b", zone}});
  constexpr int kDraws = 60'000;
  std::map<Endpoint, int> drawn;
  for (int draw = 0; draw < kDraws; ++draw) {
    auto sends = sendsTo({"b", "b"});
    mergers.assign(sends, random, at(0));
    ++drawn[*sends[0].merger];
  }
  for (const ServingDaemon& daemon : zone) {
    const double due = kDraws * daemon.capacity / 292.0;
    REQUIRE(std::abs(drawn[daemon.address] - due) < 0.1 * due);
  }
}

TEST_CASE("the preferred zone of a query is one of the other zones", "[serving]") {
  RandomEngine random(1);
  ZoneMergers mergers;
  REQUIRE(mergers.drawZone(random).empty());
  mergers.setDaemons({{"b", {kNear}}});
  REQUIRE(mergers.drawZone(random) == "b");
}

}  // namespace oakpier::serving
