#include "transport/serving/leaf_pool.h"

#include <catch2/catch.hpp>

#include "serving/support/loopback.h"
#include "serving/support/serving_fixtures.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

using Kind = LeafOutcome::Kind;

struct PoolWorld {
  PoolWorld() : server(context), pool(context, names) {
    leaf = leafEntry("leaf-1", "s", 1);
    leaf.address = server.address();
  }

  void send(ExchangeId exchange, const std::string& requestId, const std::string& body = "",
            Duration timeLeft = std::chrono::seconds(30), Duration minTimeLeft = Duration(0)) {
    HttpRequest request{"GET", "/x", {{"Host", "h"}, {names.requestId, requestId}}, body};
    LeafPool::ExchangeRequest exchangeRequest;
    exchangeRequest.exchange = exchange;
    exchangeRequest.request = std::make_shared<const LeafRequestTemplate>(request, names);
    exchangeRequest.deadline = steadyNow() + timeLeft;
    exchangeRequest.minTimeLeft = minTimeLeft;
    exchangeRequest.listener.onWriteStarted = [this] { ++written; };
    exchangeRequest.listener.onOutcome = [this](const LeafOutcome& outcome) { outcomes.push_back(outcome); };
    pool.send(leaf, 1, std::move(exchangeRequest));
  }

  std::string reply(const std::string& requestId, const std::string& body) const {
    return "HTTP/1.1 200 OK\r\n" + names.requestId + ": " + requestId + "\r\n" + names.signature +
           ": s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void awaitRequests(std::size_t count) {
    runUntil(context, [&] { return server.requests() >= count; });
  }
  void awaitOutcomes(std::size_t count) {
    runUntil(context, [&] { return outcomes.size() >= count; });
  }
  RawServer::Connection& connection(std::size_t number) { return *server.connections().at(number); }

  HeaderNames names;
  boost::asio::io_context context;
  RawServer server;
  LeafPool pool;
  LeafEntry leaf;
  std::size_t written = 0;
  std::vector<LeafOutcome> outcomes;
};

}  // namespace

TEST_CASE("a connection is reused for the next request to the leaf", "[serving]") {
  PoolWorld world;
  for (ExchangeId exchange = 1; exchange <= 3; ++exchange) {
    const std::string id = "id-" + std::to_string(exchange);
    world.send(exchange, id);
    world.awaitRequests(exchange);
    world.connection(0).write(world.reply(id, "body"));
    world.awaitOutcomes(exchange);
    REQUIRE(world.outcomes.back().kind == Kind::kAnswered);
  }
  REQUIRE(world.server.connections().size() == 1);
}

TEST_CASE("a duplicate reply is not taken for the reply to the next request", "[serving]") {
  PoolWorld world;
  world.send(1, "one");
  world.awaitRequests(1);
  world.connection(0).write(world.reply("one", "first"));
  world.awaitOutcomes(1);
  world.send(2, "two");
  world.awaitRequests(2);
  world.connection(0).write(world.reply("one", "again") + world.reply("two", "second"));
  world.awaitOutcomes(2);
  REQUIRE(world.outcomes[1].reply->body == "second");
}

TEST_CASE("bytes after a complete reply close the connection, and the reply stays valid", "[serving]") {
  PoolWorld world;
  world.send(1, "one");
  world.awaitRequests(1);
  world.connection(0).write(world.reply("one", "first") + "surplus");
  world.awaitOutcomes(1);
  REQUIRE(world.outcomes[0].reply->body == "first");
  world.send(2, "two");
  world.awaitRequests(2);
  REQUIRE(world.server.connections().size() == 2);
}

TEST_CASE("a reply without a length is complete when the connection closes, but not when it is reset",
          "[serving]") {
  PoolWorld world;
  const std::string head = "HTTP/1.1 200 OK\r\n" + world.names.requestId + ": one\r\n" +
                           world.names.signature + ": s\r\n\r\nwhole";
  SECTION("closed") {
    world.send(1, "one");
    world.awaitRequests(1);
    world.connection(0).write(head);
    world.connection(0).end();
    world.awaitOutcomes(1);
    REQUIRE(world.outcomes[0].reply->body == "whole");
  }
  SECTION("reset") {
    world.send(1, "one");
    world.awaitRequests(1);
    world.connection(0).write(head);
    world.connection(0).reset();
    world.awaitOutcomes(1);
    REQUIRE(world.outcomes[0].kind == Kind::kNoAnswer);
  }
}

TEST_CASE("a truncated reply counts as no answer, and the request is not resent", "[serving]") {
  PoolWorld world;
  world.send(1, "one");
  world.awaitRequests(1);
  const std::string complete = world.reply("one", "0123456789");
  world.connection(0).write(complete.substr(0, complete.size() - 4));
  world.connection(0).end();
  world.awaitOutcomes(1);
  REQUIRE(world.outcomes[0].kind == Kind::kNoAnswer);
  REQUIRE(world.server.requests() == 1);
  REQUIRE(world.written == 1);
}

TEST_CASE("a request is not resent when the reused connection under it is reset", "[serving]") {
  PoolWorld world;
  world.send(1, "one");
  world.awaitRequests(1);
  world.connection(0).write(world.reply("one", ""));
  world.awaitOutcomes(1);
  world.send(2, "two");
  world.awaitRequests(2);
  world.connection(0).reset();
  world.awaitOutcomes(2);
  REQUIRE(world.outcomes[1].kind == Kind::kNoAnswer);
  REQUIRE(world.server.requests() == 2);
}

TEST_CASE("bytes that are not HTTP count as no answer", "[serving]") {
  PoolWorld world;
  world.send(1, "one");
  world.awaitRequests(1);
  world.connection(0).write("garbage garbage\r\n\r\n");
  world.awaitOutcomes(1);
  REQUIRE(world.outcomes[0].kind == Kind::kNoAnswer);
}

TEST_CASE("a request to a leaf that refuses connections is not sent", "[serving]") {
  PoolWorld world;
  {
    RawServer closedServer(world.context);
    world.leaf.address = closedServer.address();
  }
  world.send(1, "one");
  world.awaitOutcomes(1);
  REQUIRE(world.outcomes[0].kind == Kind::kNotSent);
  REQUIRE(world.written == 0);
}

TEST_CASE("a request to a leaf that resets new connections immediately is not sent", "[serving]") {
  PoolWorld world;
  world.server.resetNewConnections();
  world.send(1, "one");
  world.awaitOutcomes(1);
  REQUIRE(world.outcomes[0].kind == Kind::kNotSent);
  REQUIRE(world.written == 0);
}

TEST_CASE("a queued request that is cancelled is not sent", "[serving]") {
  PoolWorld world;
  world.send(1, "one");
  world.send(2, "two");
  world.awaitRequests(1);
  world.pool.cancel(2);
  REQUIRE(world.outcomes.size() == 1);
  REQUIRE(world.outcomes[0].kind == Kind::kCancelled);
  world.connection(0).write(world.reply("one", ""));
  world.awaitOutcomes(2);
  REQUIRE(world.server.requests() == 1);
}

TEST_CASE("a queued request with too little time left is dropped", "[serving]") {
  PoolWorld world;
  world.send(1, "one");
  world.awaitRequests(1);
  world.send(2, "two", "", std::chrono::milliseconds(500), std::chrono::milliseconds(400));
  const Moment tooLate = steadyNow() + std::chrono::milliseconds(101);
  runUntil(world.context, [&] { return steadyNow() >= tooLate; });
  world.connection(0).write(world.reply("one", ""));
  world.awaitOutcomes(2);
  REQUIRE(world.outcomes[0].kind == Kind::kAnswered);
  REQUIRE(world.outcomes[1].kind == Kind::kExpired);
  REQUIRE(world.written == 1);
  REQUIRE(world.server.requests() == 1);
  REQUIRE(world.pool.counters().expiredUnsent == 1);
}

TEST_CASE("a request is not sent after its deadline", "[serving]") {
  PoolWorld world;
  world.send(1, "one", "", Duration(-1));
  world.awaitOutcomes(1);
  REQUIRE(world.outcomes[0].kind == Kind::kExpired);
  REQUIRE(world.written == 0);
}

TEST_CASE("a cancelled request in progress is aborted after the grace period", "[serving]") {
  PoolWorld world;
  world.send(1, "one");
  world.awaitRequests(1);
  world.pool.cancel(1);
  runUntil(world.context, [&] { return world.connection(0).ended; });
  REQUIRE(world.outcomes[0].kind == Kind::kCancelled);
}

TEST_CASE("a connection whose reply came before the request was fully written is not reused", "[serving]") {
  PoolWorld world;
  // Larger than the socket buffers, so that the write does not complete before the server replies.
  world.send(1, "one", std::string(32U << 20U, 'x'));
  runUntil(world.context,
           [&] { return !world.server.connections().empty() && !world.connection(0).received.empty(); });
  world.connection(0).write(world.reply("one", "early"));
  world.awaitOutcomes(1);
  REQUIRE(world.outcomes[0].reply->body == "early");
  world.send(2, "two");
  runUntil(world.context, [&] { return world.server.connections().size() == 2; });
}

TEST_CASE("requests queued for a leaf that is not kept fail or are sent by mode, those in progress complete",
          "[serving]") {
  PoolWorld world;
  world.send(1, "one");
  world.awaitRequests(1);
  world.send(2, "two");
  const auto retainAs = [&](LeafPool::RetainMode mode) {
    world.pool.retain([mode](const LeafIncarnation&) { return mode; });
  };
  SECTION("the leaf accepts no new requests") {
    retainAs(LeafPool::RetainMode::kFailQueued);
    world.awaitOutcomes(1);
    REQUIRE(world.outcomes[0].kind == Kind::kNotSent);
    world.connection(0).write(world.reply("one", "body"));
    world.awaitOutcomes(2);
    REQUIRE(world.outcomes[1].kind == Kind::kAnswered);
    REQUIRE(world.written == 1);
  }
  SECTION("the leaf is now assigned to another daemon") {
    retainAs(LeafPool::RetainMode::kSendQueued);
    world.connection(0).write(world.reply("one", "body"));
    world.awaitRequests(2);
    REQUIRE(world.outcomes[0].kind == Kind::kAnswered);
  }
}

TEST_CASE("a connection to an earlier incarnation of a leaf carries no requests for the next one",
          "[serving][lives]") {
  PoolWorld world;
  LeafRegistry registry;
  const auto reconcile = [&] {
    registry.reconcile(LeafsByService{{"s", {world.leaf}}}, steadyNow());
    world.pool.retain([&](const LeafIncarnation& incarnation) {
      return world.leaf.isOf(incarnation) ? LeafPool::RetainMode::kKeep : LeafPool::RetainMode::kFailQueued;
    });
  };
  world.leaf.processStartedAt = 1760000000000;
  reconcile();
  world.send(1, "one");
  world.awaitRequests(1);
  world.connection(0).write(world.reply("one", "body"));
  world.awaitOutcomes(1);
  RawServer otherServer(world.context);
  const bool newAddress = GENERATE(false, true);
  RawServer& server = newAddress ? otherServer : world.server;
  SECTION("the earlier connection is idle") {}
  SECTION("one request is in progress there and one is queued") {
    world.send(2, "two");
    world.awaitRequests(2);
    world.send(3, "three");
  }
  const std::size_t sentBefore = world.written;
  const std::size_t connectionsBefore = server.connections().size();
  world.leaf.processStartedAt = 1760000060000;
  world.leaf.address = server.address();
  world.leaf.warmupLeft = std::chrono::seconds(3);
  reconcile();
  world.send(4, "four");
  runUntil(world.context, [&] { return server.connections().size() > connectionsBefore; });
  RawServer::Connection& newest = *server.connections().back();
  runUntil(world.context, [&] { return !newest.received.empty(); });
  REQUIRE(newest.received.find("four") != std::string::npos);
  REQUIRE(newest.received.find(world.names.expectedInstance + ": leaf-1\r\n") != std::string::npos);
  REQUIRE(world.connection(0).received.find("four") == std::string::npos);
  // The request queued for the earlier incarnation was never written.
  REQUIRE(world.written == sentBefore + 1);
  REQUIRE(registry.leafsOf("s").front()->warmingUp(steadyNow()));
  REQUIRE(registry.leafsOf("s").front()->inProgress() == 0);
}

TEST_CASE("connections to an unreachable leaf are attempted until it accepts one", "[serving]") {
  PoolWorld world;
  std::vector<bool> reports;
  world.pool.setReachabilityListener([&](const LeafEntry&, bool reachable) { reports.push_back(reachable); });
  world.server.close();
  world.send(1, "one");
  runUntil(world.context, [&] { return reports.size() >= 2; });
  REQUIRE(reports == std::vector<bool>{false, false});
  REQUIRE(world.outcomes.size() == 1);
  REQUIRE(world.outcomes[0].kind == Kind::kNotSent);
  world.server.reopen();
  runUntil(world.context, [&] { return reports.back(); });
  REQUIRE(world.outcomes.size() == 1);
}

TEST_CASE("a leaf that accepts and resets connections counts as reachable", "[serving]") {
  PoolWorld world;
  std::vector<bool> reports;
  world.pool.setReachabilityListener([&](const LeafEntry&, bool reachable) { reports.push_back(reachable); });
  world.server.resetNewConnections();
  world.send(1, "one");
  world.awaitOutcomes(1);
  REQUIRE(world.outcomes[0].kind == Kind::kNotSent);
  REQUIRE(reports.empty());
}

TEST_CASE("a leaf counts as crashed only if connections are refused after requests were interrupted",
          "[serving]") {
  PoolWorld world;
  std::vector<std::shared_ptr<RequestRecord>> interrupted;
  world.pool.setLeafCrashListener(
      [&](const LeafEntry&, const std::vector<std::shared_ptr<RequestRecord>>& records) {
        interrupted = records;
      });
  world.send(1, "one");
  world.awaitRequests(1);
  SECTION("the process has crashed") {
    world.server.close();
    world.connection(0).reset();
    runUntil(world.context, [&] { return world.pool.counters().leafCrashes == 1; });
    const HttpRequest same{"GET", "/x", {{"Host", "h"}, {world.names.requestId, "another"}}, ""};
    REQUIRE(interrupted.size() == 1);
    REQUIRE(interrupted[0]->fingerprint == fingerprintOf(same));
  }
  SECTION("only the connection was reset") {
    world.connection(0).reset();
    world.awaitOutcomes(1);
    runUntil(world.context, [&] { return world.server.connections().size() == 2; });
    world.send(2, "two");
    world.awaitRequests(2);
    world.server.close();
    world.connection(1).write(world.reply("two", "body"));
    world.connection(1).end();
    runUntil(world.context, [&] { return world.pool.counters().closedIdleByLeaf == 1; });
    world.send(3, "three");
    world.awaitOutcomes(3);
    REQUIRE(world.pool.counters().leafCrashes == 0);
  }
  SECTION("the process resets its connections, including a new one, before it stops listening") {
    world.server.resetNewConnections();
    world.connection(0).reset();
    runUntil(world.context, [&] { return world.server.resets() == 1; });
    world.server.close();
    world.awaitOutcomes(1);
    REQUIRE(world.outcomes[0].kind == Kind::kLeafCrashed);
    REQUIRE(interrupted.size() == 1);
  }
  SECTION("the leaf is running and resets all new connections") {
    world.server.resetNewConnections();
    world.connection(0).reset();
    world.awaitOutcomes(1);
    REQUIRE(world.outcomes[0].kind == Kind::kNoAnswer);
    REQUIRE(world.server.resets() == 2);
    world.server.close();
    world.send(2, "two");
    world.awaitOutcomes(2);
    REQUIRE(world.pool.counters().leafCrashes == 0);
  }
  SECTION("part of a reply had arrived") {
    world.server.close();
    world.connection(0).write("HTTP/1.1 200 OK\r\n");
    world.connection(0).end();
    world.awaitOutcomes(1);
    world.send(2, "two");
    world.awaitOutcomes(2);
    REQUIRE(world.pool.counters().leafCrashes == 0);
  }
}

}  // namespace oakpier::serving
