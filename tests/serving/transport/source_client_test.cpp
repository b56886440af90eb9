#include "transport/serving/source_client.h"

#include <catch2/catch.hpp>

#include "serving/support/loopback.h"
#include "serving/support/suspension.h"

namespace oakpier::serving {

namespace {

const std::string kReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

struct SourceWorld {
  SourceWorld() : server(context), client(context, server.address()) {}

  void call() {
    client.call(HttpRequest{"GET", "/changes", {}, ""}, std::chrono::seconds(10),
                [this](const std::optional<HttpReply>& reply) { replies += reply ? 1 : 0; });
  }
  /// Waits for the request with this number on the connection and replies to it.
  void answer(std::size_t connection, std::size_t number) {
    const std::size_t before = replies;
    runUntil(context, [&] {
      return server.connections().size() > connection &&
             server.connections().at(connection)->requests() >= number;
    });
    server.connections().at(connection)->write(kReply);
    runUntil(context, [&] { return replies > before; });
  }

  boost::asio::io_context context;
  RawServer server;
  SourceClient client;
  std::size_t replies = 0;
};

}  // namespace

TEST_CASE("calls in quick succession use one connection", "[serving]") {
  SourceWorld world;
  for (std::size_t number = 1; number <= 3; ++number) {
    world.call();
    world.answer(0, number);
  }
  REQUIRE(world.server.connections().size() == 1);
}

// Guards against leafs that are used too long after they left: the daemon that takes over from a lost reader
// called on a connection that had gone silent while it was idle, and learned of the leaving only after the
// call's timeout.
TEST_CASE("a call does not use a connection that may have gone silent while it was idle", "[serving]") {
  SourceWorld world;
  world.call();
  world.answer(0, 1);
  const Suspension longPause;
  world.call();
  runUntil(world.context, [&] { return world.server.requests() >= 2; });
  // The first connection is silent: nothing on it is ever answered.
  REQUIRE(world.server.connections().at(0)->requests() == 1);
  world.answer(1, 1);
  REQUIRE(world.replies == 2);
  REQUIRE_FALSE(world.client.lastCallConnection().reused);
}

}  // namespace oakpier::serving
