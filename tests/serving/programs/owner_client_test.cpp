/// The client of shard owners: which frames it sends and which results it accepts.

#include "programs/gateway/owner_client.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "serving/support/serving_fixtures.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

const Endpoint kFirstOwner(2, 9);
const Endpoint kOtherOwner(3, 9);

struct ClientWorld : QueryWorld {
  ClientWorld()
      : QueryWorld(viewOf({gatherRoute({"s", "t", "u"}, 0.5)}, {"s", "t", "u"}, 2)),
        owners(Endpoint(1, 9)),
        client(*context, owners, [this](const Endpoint& to, PeerEnvelope envelope) {
          frames.emplace_back(to, std::move(envelope));
        }) {
    parameters.request =
        std::make_shared<const HttpRequest>(HttpRequest{"GET", "/all/", {{"X-Id", "7"}}, "body"});
    parameters.route = std::make_shared<const Route>(gatherRoute({"s", "t", "u"}, 0.5));
    parameters.leafDeadline = Moment::max();
    parameters.answerBy = Moment::max();
    parameters.listener =
        std::make_shared<const OwnerClient::Listener>([this](const std::vector<ExchangeOutcome>& received) {
          outcomes.insert(outcomes.end(), received.begin(), received.end());
        });
  }

  void sendThree() {
    client.send({{1, kFirstOwner, "s", 2}, {2, kOtherOwner, "t", 2}, {3, kFirstOwner, "u", 2}}, parameters);
  }

  OwnerResults resultOf(ExchangeId exchange, std::uint64_t run) const {
    OwnerResults results;
    results.set_receiver_run(run);
    OwnerResult* result = results.add_results();
    result->set_exchange(exchange);
    result->set_status(OWNER_ANSWERED);
    result->set_signature("signature");
    result->set_records("records");
    return results;
  }

  ShardOwners owners;
  std::vector<std::pair<Endpoint, PeerEnvelope>> frames;
  std::vector<ExchangeOutcome> outcomes;
  OwnerClient client;
  OwnerClient::RequestParameters parameters;
};

}  // namespace

TEST_CASE("shards of one owner are sent in one frame with the complete request", "[serving]") {
  ClientWorld world;
  world.sendThree();
  REQUIRE(world.frames.size() == 2);
  REQUIRE(world.frames[0].first == kFirstOwner);
  const OwnerWork& work = world.frames[0].second.owner_work();
  REQUIRE(work.parts_size() == 2);
  REQUIRE(work.parts(1).service() == "u");
  REQUIRE(work.attempts() == 2);
  REQUIRE(work.method() == "GET");
  REQUIRE(work.target() == "/all/");
  REQUIRE(work.body() == "body");
  REQUIRE(work.headers(0).name() == "X-Id");
  REQUIRE(work.top_records() == 3);
  REQUIRE(world.frames[0].second.time_to_live_ms() > 0);
}

TEST_CASE("a result is accepted once, and only by the process that sent the work", "[serving]") {
  ClientWorld world;
  world.sendThree();
  const std::uint64_t run = world.frames[0].second.owner_work().sender_run();
  world.client.onResults(kFirstOwner, world.resultOf(1, run + 1));
  REQUIRE(world.outcomes.empty());
  world.client.onResults(kFirstOwner, world.resultOf(1, run));
  world.client.onResults(kFirstOwner, world.resultOf(1, run));
  REQUIRE(world.outcomes.size() == 1);
  REQUIRE(world.outcomes[0].exchange == 1);
  REQUIRE(world.outcomes[0].outcome.kind == LeafOutcome::Kind::kAnswered);
  REQUIRE(world.outcomes[0].outcome.reply->body == "records");
}

TEST_CASE("two processes at one address use different run ids", "[serving]") {
  ClientWorld first;
  ClientWorld second;
  second.random.seed(8);
  OwnerClient later(*second.context, second.owners, [&](const Endpoint& to, PeerEnvelope envelope) {
    second.frames.emplace_back(to, std::move(envelope));
  });
  first.sendThree();
  later.send({{1, kFirstOwner, "s", 2}}, second.parameters);
  REQUIRE(first.frames[0].second.owner_work().sender_run() !=
          second.frames[0].second.owner_work().sender_run());
}

TEST_CASE("cancelled shards are cancelled at their owners and their results ignored", "[serving]") {
  ClientWorld world;
  world.sendThree();
  const std::uint64_t run = world.frames[0].second.owner_work().sender_run();
  world.frames.clear();
  world.client.cancel({3, 2, 99});
  REQUIRE(world.frames.size() == 2);
  REQUIRE(world.frames[0].first == kFirstOwner);
  REQUIRE(world.frames[0].second.owner_cancel().exchanges(0) == 3);
  REQUIRE(world.frames[0].second.owner_cancel().sender_run() == run);
  REQUIRE(world.frames[1].first == kOtherOwner);
  world.client.onResults(kFirstOwner, world.resultOf(3, run));
  REQUIRE(world.outcomes.empty());
}

TEST_CASE("undeliverable work is reported as not sent", "[serving]") {
  ClientWorld world;
  world.sendThree();
  const OwnerWork work = world.frames[0].second.owner_work();
  world.client.onUndeliverable(work);
  REQUIRE(world.outcomes.size() == 2);
  REQUIRE(world.outcomes[0].outcome.kind == LeafOutcome::Kind::kNotSent);
  REQUIRE(world.client.counters().undeliverable == 1);
}

TEST_CASE("peers of the zone are probed when they join and when they return", "[serving]") {
  ClientWorld world;
  world.client.probeNewPeers({kFirstOwner, kOtherOwner});
  REQUIRE(world.frames.size() == 2);
  REQUIRE(world.frames[0].second.owner_work().parts_size() == 0);
  world.client.probeNewPeers({kFirstOwner, kOtherOwner});
  REQUIRE(world.frames.size() == 2);
  world.client.probeNewPeers({kFirstOwner});
  world.client.probeNewPeers({kFirstOwner, kOtherOwner});
  REQUIRE(world.frames.size() == 3);
  REQUIRE(world.frames[2].first == kOtherOwner);
}

TEST_CASE("unresponsive peers are reported to the zone, and reports of others are applied", "[serving]") {
  ClientWorld world;
  const Endpoint bystander(4, 9);
  world.owners.setDaemons({Endpoint(1, 9), kFirstOwner, kOtherOwner, bystander});
  world.client.probeNewPeers({kFirstOwner, kOtherOwner, bystander});
  world.owners.onSent(kFirstOwner, steadyNow() - std::chrono::seconds(1));
  world.frames.clear();
  world.client.reportUnresponsivePeers();
  REQUIRE(world.frames.size() == 2);
  for (const auto& [to, frame] : world.frames) {
    REQUIRE(to != kFirstOwner);
    REQUIRE(frame.silent_daemons().addresses(0) == kFirstOwner.text());
  }
  world.client.reportUnresponsivePeers();
  REQUIRE(world.frames.size() == 2);

  ClientWorld notified;
  notified.client.onUnresponsivePeers(world.frames[0].second.silent_daemons());
  REQUIRE(notified.owners.isUnresponsive(kFirstOwner, steadyNow()));
  SilentDaemons unreadable;
  unreadable.add_addresses("nowhere");
  notified.client.onUnresponsivePeers(unreadable);
}

}  // namespace oakpier::serving
