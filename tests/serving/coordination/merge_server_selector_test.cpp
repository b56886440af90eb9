#include "coordination/serving/merge_server_selector.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

const Endpoint kDaemonA(2, 9);
const Endpoint kDaemonB(3, 9);

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
  MergeServerSelector mergeServers;
  mergeServers.setDaemons({{"b", {kDaemonA, kDaemonB}}});
  auto sends = sendsTo({"a", "b", "b", "c"});
  mergeServers.assign(sends, random, at(0));
  REQUIRE_FALSE(sends[0].mergeServer);
  REQUIRE(sends[1].mergeServer);
  REQUIRE(sends[1].mergeServer == sends[2].mergeServer);
  REQUIRE_FALSE(sends[3].mergeServer);
}

TEST_CASE("a request to a single leaf of another zone is sent directly", "[serving]") {
  RandomEngine random(1);
  MergeServerSelector mergeServers;
  mergeServers.setDaemons({{"b", {kDaemonA}}, {"c", {kDaemonB}}});
  auto sends = sendsTo({"b", "c", "c"});
  mergeServers.assign(sends, random, at(0));
  REQUIRE_FALSE(sends[0].mergeServer);
  REQUIRE(sends[1].mergeServer == kDaemonB);
}

TEST_CASE("requests to ejected, stalled, slow and overloaded leafs are sent directly", "[serving]") {
  RandomEngine random(1);
  MergeServerSelector mergeServers;
  mergeServers.setDaemons({{"b", {kDaemonA}}});
  const auto assigned = [&](auto&& trouble) {
    auto sends = sendsTo({"b", "b", "b"});
    trouble(*sends[0].leaf);
    mergeServers.assign(sends, random, at(100));
    REQUIRE(sends[1].mergeServer == kDaemonA);
    return sends[0].mergeServer.has_value();
  };
  REQUIRE(assigned([](LeafStatus&) {}));
  REQUIRE_FALSE(assigned([](LeafStatus& leaf) { leaf.onStarted(1, std::chrono::milliseconds(20), at(0)); }));
  REQUIRE_FALSE(assigned([](LeafStatus& leaf) { leaf.onLoadReport({2, 1, 2}, at(100)); }));
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
  MergeServerSelector mergeServers;
  mergeServers.setDaemons({{"b", {kDaemonA}}});
  mergeServers.onSent(kDaemonA, at(0));
  const auto mergeServerAt = [&](int milliseconds) {
    auto sends = sendsTo({"b", "b"});
    mergeServers.assign(sends, random, at(milliseconds));
    return sends[0].mergeServer;
  };
  REQUIRE(mergeServerAt(100) == kDaemonA);
  REQUIRE_FALSE(mergeServerAt(200));
  REQUIRE(mergeServerAt(300) == kDaemonA);
  REQUIRE_FALSE(mergeServerAt(310));
  mergeServers.onReceived(kDaemonA, at(1000));
  REQUIRE(mergeServerAt(320) == kDaemonA);
}

TEST_CASE("merge servers are chosen in proportion to their capacity", "[serving]") {
  RandomEngine random(1);
  MergeServerSelector mergeServers;
  std::vector<ServingDaemon> zone;
  for (std::uint32_t number = 0; number < 18; ++number) {
    zone.emplace_back(Endpoint(number + 2, 9), number < 2 ? 50 : 12);
  }
  mergeServers.setDaemons({{"b", zone}});
  constexpr int kDraws = 60'000;
  std::map<Endpoint, int> drawn;
  for (int draw = 0; draw < kDraws; ++draw) {
    auto sends = sendsTo({"b", "b"});
    mergeServers.assign(sends, random, at(0));
    ++drawn[*sends[0].mergeServer];
  }
  for (const ServingDaemon& daemon : zone) {
    const double expected = kDraws * daemon.capacity / 292.0;
    REQUIRE(std::abs(drawn[daemon.address] - expected) < 0.1 * expected);
  }
}

TEST_CASE("the preferred zone of a query is one of the other zones", "[serving]") {
  RandomEngine random(1);
  MergeServerSelector mergeServers;
  REQUIRE(mergeServers.chooseZone(random).empty());
  mergeServers.setDaemons({{"b", {kDaemonA}}});
  REQUIRE(mergeServers.chooseZone(random) == "b");
}

}  // namespace oakpier::serving
