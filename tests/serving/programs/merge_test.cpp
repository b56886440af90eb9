/// Merging in other zones: merge client, merge server and queries. The test delivers, delays and drops
/// frames.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <map>

#include "coordination/serving/merge_server.h"
#include "coordination/serving/record_merge.h"
#include "programs/gateway/merge_client.h"
#include "serving/support/serving_fixtures.h"
#include "support/property.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

using Kind = LeafOutcome::Kind;

const Endpoint kRequester(1, 9);
const Endpoint kMergeServer(2, 9);
const std::vector<std::string> kShards{"s0", "s1", "s2", "s3"};
constexpr std::size_t kTopRecords = 3;

std::string record(char letter) { return std::string(kRecordBytes, letter); }

/// One query at a merge client and the merge server that it uses.
struct MergeWorld : QueryWorld {
  MergeWorld()
      : QueryWorld(viewOf({gatherRoute(kShards, 0.5)}, kShards, 1)),
        serverSide(viewOf({gatherRoute(kShards, 0.5)}, kShards, 1)),
        server(*serverSide.context),
        client(io, *context, mergeServers, [this](const Endpoint& to, PeerEnvelope envelope) {
          REQUIRE(to == kMergeServer);
          toMergeServer.push_back(std::move(envelope));
        }) {
    parameters.request =
        std::make_shared<const HttpRequest>(HttpRequest{"GET", "/all/", {{"X-Id", "7"}}, "body"});
    parameters.route = std::make_shared<const Route>(gatherRoute(kShards, 0.5));
    const Moment now = steadyNow();
    parameters.leafDeadline = now + std::chrono::seconds(60);
    parameters.decidesAt = now + std::chrono::seconds(30);
    parameters.listener =
        std::make_shared<const MergeClient::Listener>([this](const std::vector<ExchangeOutcome>& outcomes) {
          ++calls;
          for (const ExchangeOutcome& each : outcomes) {
            received[each.exchange] = each.outcome;
          }
        });
  }

  /// Sends to the first leaf of every shard; exchange ids start at 1.
  void sendAll() {
    std::vector<SendAction> sends;
    for (std::size_t number = 0; number < kShards.size(); ++number) {
      const auto leaf = registry.leafsOf(kShards[number]).front();
      leaf->onStarted(number + 1, std::chrono::milliseconds(20), steadyNow());
      sends.push_back(SendAction{number + 1, leaf, kMergeServer});
    }
    client.send(sends, parameters);
  }

  /// Delivers the oldest frame to the merge server; returns what the server sends to leafs.
  std::vector<MergeSend> deliverWork() {
    const PeerEnvelope frame = std::move(toMergeServer.front());
    toMergeServer.pop_front();
    MergeServerActions actions = server.onWork(kRequester, frame.merge_work(), at(0));
    collectResults(actions);
    return std::move(actions.sends);
  }

  void finishAtServer(const MergeSend& send, const LeafOutcome& outcome, Moment now) {
    MergeServerActions actions = server.onOutcome(send.action.exchange, outcome, now);
    collectResults(actions);
  }

  void collectResults(MergeServerActions& actions) {
    for (OutgoingMergeResults& outgoing : actions.results) {
      REQUIRE(outgoing.to == kRequester);
      toRequester.push_back(std::move(outgoing.results));
    }
  }

  void deliverResults() {
    while (!toRequester.empty()) {
      client.onResults(kMergeServer, toRequester.front());
      toRequester.pop_front();
    }
  }

  QueryWorld serverSide;
  MergeServer server;
  boost::asio::io_context io;
  MergeServerSelector mergeServers;
  std::deque<PeerEnvelope> toMergeServer;
  std::deque<MergeResults> toRequester;
  std::map<ExchangeId, LeafOutcome> received;
  unsigned calls = 0;
  MergeClient client;
  MergeClient::RequestParameters parameters;
};

constexpr int kWithinHold = 10;

}  // namespace

TEST_CASE("one frame carries all requests for a zone, and one returns the greatest records", "[serving]") {
  MergeWorld world;
  world.sendAll();
  REQUIRE(world.toMergeServer.size() == 1);
  const auto sends = world.deliverWork();
  REQUIRE(sends.size() == kShards.size());
  REQUIRE(sends[0].task->request.body == "body");
  char letter = 'a';
  for (const MergeSend& send : sends) {
    REQUIRE(world.toRequester.empty());
    world.finishAtServer(send, outcomeOf(Kind::kAnswered, record(letter++)), at(kWithinHold));
  }
  REQUIRE(world.toRequester.size() == 1);
  REQUIRE(world.toRequester.front().records() == record('d') + record('c') + record('b'));
  world.deliverResults();
  REQUIRE(world.calls == 1);
  REQUIRE(world.received.size() == kShards.size());
  for (const auto& [exchange, outcome] : world.received) {
    REQUIRE(outcome.kind == Kind::kAnswered);
    REQUIRE(outcome.merged);
  }
}

TEST_CASE("requests to leafs of another zone carry the caller's tenant and rank", "[serving]") {
  MergeWorld world;
  HttpRequest request = *world.parameters.request;
  request.tenant = "amber";
  world.parameters.request = std::make_shared<const HttpRequest>(std::move(request));
  world.parameters.rank = 5;
  world.sendAll();
  const auto sends = world.deliverWork();
  REQUIRE(sends.at(0).task->request.tenant == "amber");
  REQUIRE(sends.at(0).task->route.rank == 5);
}

TEST_CASE("a failed attempt is reported immediately, so that another leaf can be tried", "[serving]") {
  MergeWorld world;
  world.sendAll();
  const auto sends = world.deliverWork();
  world.finishAtServer(sends[0], outcomeOf(Kind::kAnswered, record('a')), at(1));
  REQUIRE(world.toRequester.empty());
  world.finishAtServer(sends[1], outcomeOf(Kind::kNotSent), at(2));
  REQUIRE(world.toRequester.size() == 1);
  world.deliverResults();
  REQUIRE(world.received.at(1).kind == Kind::kAnswered);
  REQUIRE(world.received.at(2).kind == Kind::kNotSent);
}

TEST_CASE("results are held only until the next decision of the query", "[serving]") {
  MergeWorld world;
  world.parameters.decidesAt = steadyNow() + std::chrono::milliseconds(50);
  world.sendAll();
  const auto sends = world.deliverWork();
  world.finishAtServer(sends[0], outcomeOf(Kind::kAnswered, record('a')), at(5));
  const Moment due = world.server.nextDecisionAt();
  REQUIRE(due > at(5));
  REQUIRE(due < at(50));
  MergeServerActions actions = world.server.onTimer(due);
  REQUIRE(actions.results.size() == 1);
  world.finishAtServer(sends[1], outcomeOf(Kind::kAnswered, record('b')), at(60));
  REQUIRE(world.toRequester.size() == 1);
}

TEST_CASE("answers that depend on a lost frame are dropped", "[serving]") {
  MergeWorld world;
  world.parameters.decidesAt = steadyNow();
  world.sendAll();
  const auto sends = world.deliverWork();
  world.finishAtServer(sends[0], outcomeOf(Kind::kAnswered, record('d')), at(5));
  REQUIRE(world.toRequester.size() == 1);
  world.toRequester.clear();
  world.finishAtServer(sends[1], outcomeOf(Kind::kAnswered, record('c')), at(6));
  world.deliverResults();
  REQUIRE(world.received.at(2).kind == Kind::kNoAnswer);
  REQUIRE(world.client.counters().incomplete == 1);
}

TEST_CASE("a cancelled request is cancelled at the leaf, and its outcome still updates the leaf status",
          "[serving]") {
  MergeWorld world;
  world.sendAll();
  const auto sends = world.deliverWork();
  world.client.cancel({1});
  REQUIRE(world.toMergeServer.size() == 1);
  const auto actions = world.server.onCancel(kRequester, world.toMergeServer.front().merge_cancel());
  REQUIRE(actions.cancellations == std::vector<ExchangeId>{sends[0].action.exchange});
  const auto leaf = world.registry.leafsOf("s0").front();
  REQUIRE(leaf->inProgress() == 1);
  world.finishAtServer(sends[0], outcomeOf(Kind::kCancelled), at(7));
  world.deliverResults();
  REQUIRE(leaf->inProgress() == 0);
  REQUIRE(world.received.empty());
}

TEST_CASE("undeliverable merge work is reported as not sent", "[serving]") {
  MergeWorld world;
  world.sendAll();
  world.client.onUndeliverable(world.toMergeServer.front().merge_work());
  REQUIRE(world.received.size() == kShards.size());
  REQUIRE(world.received.at(1).kind == Kind::kNotSent);
  REQUIRE(world.registry.leafsOf("s0").front()->inProgress() == 0);
}

TEST_CASE("a request for a leaf unknown to the merge server is reported as not sent", "[serving]") {
  MergeWorld world;
  world.serverSide.registry.reconcile({}, at(0));
  world.sendAll();
  REQUIRE(world.deliverWork().empty());
  world.deliverResults();
  REQUIRE(world.received.at(4).kind == Kind::kNotSent);
  REQUIRE(world.server.inProgress() == 0);
}

TEST_CASE("a request for one incarnation of a leaf is not sent to another", "[serving][lives]") {
  MergeWorld world;
  const auto relist = [](QueryWorld& side, std::uint64_t processStartedAt) {
    LeafsByService directory = leafsOf(kShards, 1);
    directory["s0"][0].processStartedAt = processStartedAt;
    side.registry.reconcile(directory, at(0));
  };
  relist(world, 1760000060000);
  SECTION("the merge server knows the earlier incarnation") {
    relist(world.serverSide, 1760000000000);
    world.sendAll();
    REQUIRE(world.deliverWork().size() == kShards.size() - 1);
    world.deliverResults();
    REQUIRE(world.received.at(1).kind == Kind::kNotSent);
  }
  SECTION("the merge server knows the same incarnation") {
    relist(world.serverSide, 1760000060000);
    world.sendAll();
    REQUIRE(world.deliverWork().size() == kShards.size());
  }
  SECTION("the request does not specify the incarnation") {
    relist(world.serverSide, 1760000000000);
    world.sendAll();
    world.toMergeServer.front().mutable_merge_work()->mutable_parts(0)->clear_leaf_born();
    REQUIRE(world.deliverWork().size() == kShards.size());
  }
}

TEST_CASE("results for another process at the same address are ignored", "[serving]") {
  MergeWorld world;
  world.sendAll();
  const auto sends = world.deliverWork();
  world.finishAtServer(sends[0], outcomeOf(Kind::kNotSent), at(5));
  MergeResults results = world.toRequester.front();
  results.set_receiver_run(results.receiver_run() + 1);
  world.client.onResults(kMergeServer, results);
  REQUIRE(world.received.empty());
}

TEST_CASE("merged answers replace the answer of a hedge and are combined with direct answers", "[serving]") {
  const auto view = viewOf({gatherRoute(kShards, 0.5)}, kShards, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const QueryActions started = query.start(at(0));
  const QueryActions hedged = query.onTimer(query.nextDecisionAt());
  REQUIRE(hedged.sends.size() == kShards.size());
  query.onOutcome(hedged.sends[0].exchange, outcomeOf(Kind::kAnswered, record('x')), at(70));
  query.onOutcome(started.sends[2].exchange, outcomeOf(Kind::kAnswered, record('a')), at(70));
  query.onOutcome(started.sends[3].exchange, outcomeOf(Kind::kAnswered, record('a')), at(70));
  // A merge server merged both answers; the records of the second rank below those of the first.
  LeafOutcome first = outcomeOf(Kind::kAnswered, record('m'));
  LeafOutcome second = outcomeOf(Kind::kAnswered, "");
  first.merged = second.merged = true;
  const auto last =
      query.onOutcomes({{started.sends[1].exchange, second}, {started.sends[0].exchange, first}}, at(80));
  REQUIRE(std::get<MergedAnswer>(*last.answer).records == record('m') + record('a') + record('a'));
}

TEST_CASE("answers merged in any order and over any frames yield the greatest records", "[serving]") {
  OAKPIER_PROPERTY("merged records", [] {
    MergeWorld world;
    const bool hold = *rc::gen::arbitrary<bool>();
    world.parameters.decidesAt = steadyNow() + std::chrono::seconds(hold ? 30 : 0);
    world.sendAll();
    auto sends = world.deliverWork();
    std::vector<std::string> bodies;
    std::vector<std::size_t> open{0, 1, 2, 3};
    while (!open.empty()) {
      const auto index = *rc::gen::inRange<std::size_t>(0, open.size());
      std::string body;
      const auto count = *rc::gen::inRange(0, 6);
      for (int number = 0; number < count; ++number) {
        body += record(*rc::gen::inRange('a', 'h'));
      }
      bodies.push_back(body);
      world.finishAtServer(sends[open[index]], outcomeOf(Kind::kAnswered, body), at(kWithinHold));
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
    }
    world.deliverResults();
    std::vector<std::string_view> merged;
    std::vector<std::string_view> all(bodies.begin(), bodies.end());
    for (const auto& [exchange, outcome] : world.received) {
      RC_ASSERT(outcome.kind == Kind::kAnswered);
      merged.emplace_back(outcome.reply->body);
    }
    RC_ASSERT(greatestRecords(merged, kTopRecords) == greatestRecords(all, kTopRecords));
  });
}

}  // namespace oakpier::serving
