/// The HTTP library resends a request when a kept-alive connection turns out to be closed. Non-repeatable
/// requests must not be resent.

#include <arpa/inet.h>
#include <cxxtools/eventloop.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "oakpier/caller.pb.h"
#include "transport/http_channel.h"
#include "transport/leaf_connections.h"

namespace oakpier {

namespace {

/// Answers the first request of each connection; reads the second one and closes without an answer.
class StaleServer {
 public:
  explicit StaleServer(bool answerFirst)
      : answerFirst_(answerFirst), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), length) == 0);
    REQUIRE(listen(listener_, 16) == 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    endpoint_ = Endpoint(INADDR_LOOPBACK, ntohs(address.sin_port));
    thread_ = std::thread([this] { accept(); });
  }
  ~StaleServer() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    for (auto& connection : connections_) {
      connection.join();
    }
    close(listener_);
  }

  const Endpoint& endpoint() const { return endpoint_; }
  int requests() const { return requests_; }

 private:
  void accept() {
    for (int peer = ::accept(listener_, nullptr, nullptr); peer >= 0;
         peer = ::accept(listener_, nullptr, nullptr)) {
      connections_.emplace_back([this, peer] { serve(peer); });
    }
  }

  void serve(int peer) {
    char buffer[4096];
    bool first = answerFirst_;
    while (recv(peer, buffer, sizeof(buffer), 0) > 0) {
      ++requests_;
      if (!first) {
        break;
      }
      first = false;
      constexpr char kReply[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      send(peer, kReply, sizeof(kReply) - 1, MSG_NOSIGNAL);
    }
    close(peer);
  }

  bool answerFirst_;
  int listener_;
  Endpoint endpoint_;
  std::atomic<int> requests_{0};
  std::vector<std::thread> connections_;
  std::thread thread_;
};

SendToLeaf requestTo(const Endpoint& leaf, ExchangeId exchange, bool notRepeatable) {
  WorkBatch batch;
  batch.set_request_id("r");
  batch.set_not_repeatable(notRepeatable);
  batch.add_items()->set_shard("s");
  SendToLeaf send;
  send.exchange = exchange;
  send.leaf = leaf;
  send.task.batch = std::make_shared<const WorkBatch>(batch);
  send.remainingMs = 1000;
  return send;
}

/// Runs the exchanges one after the other, each until it has ended.
void exchangeAll(const Endpoint& leaf, const std::vector<bool>& notRepeatable,
                 std::vector<ExchangeFailure>& failures) {
  cxxtools::EventLoop loop;
  LeafConnections connections(loop, {[&](ExchangeId, const LeafAnswer&) { loop.exit(); },
                                     [&](ExchangeId, const LeafState&) { loop.exit(); },
                                     [&](ExchangeId, ExchangeFailure failure) {
                                       failures.push_back(failure);
                                       loop.exit();
                                     }});
  ExchangeId exchange = 1;
  for (const bool once : notRepeatable) {
    connections.send(requestTo(leaf, exchange++, once));
    loop.run();
  }
}

}  // namespace

TEST_CASE("a non-repeatable request reaches the leaf once, also after a kept-alive exchange", "[transport]") {
  StaleServer server(false);
  std::vector<ExchangeFailure> failures;
  exchangeAll(server.endpoint(), {true}, failures);
  REQUIRE(server.requests() == 1);
  REQUIRE(failures == std::vector<ExchangeFailure>{ExchangeFailure::kBroken});

  StaleServer keptAlive(true);
  exchangeAll(keptAlive.endpoint(), {false, true}, failures);
  // Each request used a new connection and was answered.
  REQUIRE(keptAlive.requests() == 2);
}

TEST_CASE("a refused connection is reported as not connected", "[transport]") {
  std::unique_ptr<StaleServer> server = std::make_unique<StaleServer>(false);
  const Endpoint closedEndpoint = server->endpoint();
  server.reset();
  std::vector<ExchangeFailure> failures;
  exchangeAll(closedEndpoint, {true}, failures);
  REQUIRE(failures == std::vector<ExchangeFailure>{ExchangeFailure::kNotConnected});
}

TEST_CASE("a call on a fresh connection is sent once", "[transport]") {
  StaleServer server(false);
  HttpChannel channel(server.endpoint(), std::chrono::seconds(2));
  channel.useFreshConnection();
  Caller_Stub caller(&channel);
  CallController call;
  QueryAnswer answer;
  const QueryRequest request;
  caller.Query(&call, &request, &answer, nullptr);
  REQUIRE(call.Failed());
  REQUIRE(server.requests() == 1);
}

}  // namespace oakpier
