/// Guards against gateway processes that do not start or that end without an order.

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/header_names.h"
#include "serving/platform/gateway_process.h"
#include "support/free_endpoint.h"
#include "transport/serving/source_client.h"

namespace oakpier::serving {

namespace {

using std::chrono::milliseconds;

constexpr int kSettingsRefused = 2;

/// Ends the gateway by order and requires that it ends with success.
void requireOrderlyStop(GatewayWorld& world) {
  world.gateway.signal(SIGTERM);
  const int status = world.awaitEnd();
  CAPTURE(status, world.gateway.output());
  REQUIRE(WIFEXITED(status));
  REQUIRE(WEXITSTATUS(status) == 0);
}

/// Requires that the gateway has not ended and serves callers.
void requireServing(GatewayWorld& world) {
  const auto reply = world.get(world.gateway.callerAddress(), "/unknown/");
  CAPTURE(world.gateway.output());
  REQUIRE(!world.gateway.ended());
  REQUIRE(reply);
  REQUIRE(reply->status == 404);
}

/// A listening socket that holds an address.
class HeldAddress {
 public:
  explicit HeldAddress(const Endpoint& address) : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(address.port());
    REQUIRE(inet_pton(AF_INET, address.ip().c_str(), &bound.sin_addr) == 1);
    REQUIRE(bind(socket_, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) == 0);
    REQUIRE(listen(socket_, 1) == 0);
  }
  HeldAddress(const HeldAddress&) = delete;
  HeldAddress& operator=(const HeldAddress&) = delete;
  ~HeldAddress() { close(socket_); }

 private:
  int socket_;
};

void limitResource(__rlimit_resource resource, rlim_t limit) {
  const rlimit limits{limit, limit};
  setrlimit(resource, &limits);
}

/// A connection of a caller, on which calls block.
class CallerConnection {
 public:
  explicit CallerConnection(const Endpoint& address)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port());
    REQUIRE(inet_pton(AF_INET, address.ip().c_str(), &remote.sin_addr) == 1);
    REQUIRE(connect(socket_, reinterpret_cast<sockaddr*>(&remote), sizeof(remote)) == 0);
  }
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;
  ~CallerConnection() { close(socket_); }

  void send(const std::string& bytes) const {
    REQUIRE(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  /// Waits for bytes and returns the first of them; empty if the connection has ended.
  std::string receive() const {
    std::array<char, 64> bytes{};
    const ssize_t count = recv(socket_, bytes.data(), bytes.size(), 0);
    return count > 0 ? std::string(bytes.data(), static_cast<std::size_t>(count)) : std::string();
  }

 private:
  int socket_;
};

/// Writes a chunked body without end on a leaf's connection, once a request has arrived there.
class EndlessReply : public std::enable_shared_from_this<EndlessReply> {
 public:
  EndlessReply(std::shared_ptr<RawServer::Connection> connection, const std::string& chunk)
      : connection_(std::move(connection)), chunk_(chunk) {}

  void begin() {
    if (!std::exchange(begun_, begun_ || connection_->requests() > 0) && begun_) {
      write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
  }

 private:
  void write(const std::string& bytes) {
    boost::asio::async_write(
        connection_->socket, boost::asio::buffer(bytes_ = bytes),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
          if (!error) {
            self->write(self->chunk_);
          }
        });
  }

  std::shared_ptr<RawServer::Connection> connection_;
  const std::string& chunk_;
  std::string bytes_;
  bool begun_ = false;
};

}  // namespace

TEST_CASE("a gateway whose log has lost its reader serves on", "[process-ends]") {
  GatewayWorld world;
  std::array<int, 2> pipe{};
  REQUIRE(pipe2(pipe.data(), O_CLOEXEC) == 0);
  world.gateway.start([&] { dup2(pipe[1], STDOUT_FILENO); });
  close(pipe[1]);
  world.awaitReady();
  close(pipe[0]);
  requireServing(world);
  requireServing(world);
  const auto metrics = world.get(world.gateway.readinessAddress(), "/metrics");
  REQUIRE(metrics);
  REQUIRE(metrics->body.find("\noakpier_gateway_log_lines_unwritten_total 0\n") == std::string::npos);
  REQUIRE(metrics->body.find("\noakpier_gateway_log_lines_unwritten_total ") != std::string::npos);
  requireOrderlyStop(world);
}

TEST_CASE("a gateway whose log file may not grow serves on", "[process-ends]") {
  GatewayWorld world;
  world.gateway.start([] { limitResource(RLIMIT_FSIZE, 1); });
  world.awaitReady();
  requireServing(world);
  requireOrderlyStop(world);
}

TEST_CASE("a gateway without standard streams writes no log line into a connection", "[process-ends]") {
  GatewayWorld world;
  world.gateway.start([] { close_range(STDIN_FILENO, STDERR_FILENO, 0); });
  world.awaitReady();
  for (const char* descriptor : {"0", "1", "2"}) {
    const std::string link = "/proc/" + std::to_string(world.gateway.id()) + "/fd/" + descriptor;
    std::array<char, 64> target{};
    REQUIRE(readlink(link.c_str(), target.data(), target.size() - 1) > 0);
    REQUIRE(std::string(target.data()) == "/dev/null");
  }
  requireServing(world);
  requireOrderlyStop(world);
}

TEST_CASE("signals that carry no order do not end a gateway", "[process-ends]") {
  GatewayWorld world;
  world.gateway.start();
  world.awaitReady();
  for (const int number : {SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2, SIGALRM, SIGHUP}) {
    world.gateway.signal(number);
    requireServing(world);
  }
  requireOrderlyStop(world);
}

TEST_CASE("a gateway waits for an address that is still taken when it starts", "[process-ends]") {
  for (const int taken : {0, 1, 2}) {
    GatewayWorld world;
    const std::array<Endpoint, 3> addresses{world.gateway.callerAddress(), world.gateway.readinessAddress(),
                                            world.gateway.peerAddress()};
    CAPTURE(taken);
    {
      const HeldAddress held(addresses.at(static_cast<std::size_t>(taken)));
      world.gateway.start();
      runUntil(world.context, [&] {
        return world.gateway.ended() ||
               world.gateway.output().find(R"("cannot listen)") != std::string::npos ||
               world.gateway.output().find("not started") != std::string::npos;
      });
      world.runFor(milliseconds(300));
      CAPTURE(world.gateway.output());
      REQUIRE(!world.gateway.ended());
    }
    world.awaitReady();
    requireServing(world);
    requireOrderlyStop(world);
  }
}

TEST_CASE("a gateway that waits for its address ends on order", "[process-ends]") {
  GatewayWorld world;
  const HeldAddress held(world.gateway.callerAddress());
  world.gateway.start();
  world.runFor(milliseconds(300));
  requireOrderlyStop(world);
}

TEST_CASE("a gateway waits for settings that are being written when it starts", "[process-ends]") {
  for (const double written : {-1.0, 0.0, 0.5}) {
    GatewayWorld world;
    const std::string whole = world.gateway.settings().dump();
    std::remove(world.gateway.settingsFile().c_str());
    if (written >= 0) {
      std::ofstream(world.gateway.settingsFile())
          << whole.substr(0, static_cast<std::size_t>(static_cast<double>(whole.size()) * written));
    }
    world.gateway.start();
    world.runFor(milliseconds(300));
    CAPTURE(written, world.gateway.output());
    REQUIRE(!world.gateway.ended());
    world.gateway.writeSettings();
    world.awaitReady();
    requireOrderlyStop(world);
  }
}

TEST_CASE("deeply nested settings are refused with a message", "[process-ends]") {
  GatewayWorld world;
  constexpr std::size_t kDepth = 200000;
  std::string text = world.gateway.settings().dump();
  const std::string name = R"("gateway-1")";
  text.replace(text.find(name), name.size(), std::string(kDepth, '[') + std::string(kDepth, ']'));
  std::ofstream(world.gateway.settingsFile()) << text;
  world.gateway.start();
  const int status = world.awaitEnd();
  CAPTURE(status);
  REQUIRE(WIFEXITED(status));
  REQUIRE(WEXITSTATUS(status) == kSettingsRefused);
  REQUIRE(world.gateway.output().find("node_name") != std::string::npos);
}

TEST_CASE("an answer with an oversized trailer does not end a gateway", "[process-ends]") {
  constexpr std::size_t kTrailerBytes = 66000;
  GatewayWorld world;
  world.gateway.start();
  world.awaitReady();
  const HeaderNames names = platform::headerNames();
  world.askLeaf("/r/x", "HTTP/1.1 200 OK\r\n" + names.requestId + ": id\r\n" + names.signature +
                            ": s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: " +
                            std::string(kTrailerBytes, 'x') + "\r\n\r\n");
  requireServing(world);
  requireOrderlyStop(world);
}

TEST_CASE("a request with an oversized trailer does not end a gateway", "[process-ends]") {
  constexpr std::size_t kTrailerBytes = 66000;
  GatewayWorld world;
  world.gateway.start();
  world.awaitReady();
  const CallerConnection caller(world.gateway.callerAddress());
  caller.send(
      "POST /r/x HTTP/1.1\r\nHost: host.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: " +
      std::string(kTrailerBytes, 'x') + "\r\n\r\n");
  REQUIRE(caller.receive().substr(0, 12) == "HTTP/1.1 431");
  requireServing(world);
  requireOrderlyStop(world);
}

TEST_CASE("callers cannot take the descriptors that a gateway needs for its readiness", "[process-ends]") {
  constexpr rlim_t kDescriptors = 128;
  constexpr std::size_t kCallers = 200;
  GatewayWorld world;
  world.gateway.start([] { limitResource(RLIMIT_NOFILE, kDescriptors); });
  world.awaitReady();
  std::vector<std::unique_ptr<CallerConnection>> callers;
  while (callers.size() < kCallers) {
    callers.push_back(std::make_unique<CallerConnection>(world.gateway.callerAddress()));
  }
  const auto ready = world.get(world.gateway.readinessAddress(), "/ready");
  REQUIRE(ready);
  REQUIRE(ready->status == 200);
  REQUIRE(callers.back()->receive().substr(0, 12) == "HTTP/1.1 503");
  callers.clear();
  // The gateway sees that they have gone after a moment.
  bool served = false;
  while (!served) {
    const auto reply = world.get(world.gateway.callerAddress(), "/unknown/");
    served = reply && reply->status == 404;
    REQUIRE(!world.gateway.ended());
  }
  requireOrderlyStop(world);
}

TEST_CASE("replies without end keep within the memory of the machine", "[process-ends]") {
  constexpr std::size_t kMachineMegabytes = 130;
  constexpr std::size_t kRequests = 40;
  constexpr std::size_t kChunkBytes = std::size_t{1024} * 1024;
  const std::string chunk = "100000\r\n" + std::string(kChunkBytes, 'x') + "\r\n";
  const HeaderNames names = platform::headerNames();
  GatewayWorld world;
  world.gateway.settings()["limits"]["memory_mb"] = kMachineMegabytes;
  world.gateway.writeSettings();
  world.gateway.start();
  world.awaitReady();
  std::vector<std::unique_ptr<SourceClient>> callers;
  std::size_t done = 0;
  for (std::size_t number = 0; number < kRequests; ++number) {
    callers.push_back(std::make_unique<SourceClient>(world.context, world.gateway.callerAddress()));
    callers.back()->call(
        {"GET", "/r/x", {{"Host", "host.example"}, {names.requestId, std::to_string(number)}}, ""},
        std::chrono::seconds(10), [&](const std::optional<HttpReply>&) { ++done; });
  }
  std::vector<std::shared_ptr<EndlessReply>> replies;
  runUntil(world.context, [&] {
    for (std::size_t index = replies.size(); index < world.leaf.connections().size(); ++index) {
      replies.push_back(std::make_shared<EndlessReply>(world.leaf.connections()[index], chunk));
    }
    for (const auto& reply : replies) {
      reply->begin();
    }
    return done == kRequests || world.gateway.ended();
  });
  CAPTURE(world.gateway.memoryMegabytes("VmHWM"), world.gateway.output());
  REQUIRE(!world.gateway.ended());
  REQUIRE(world.gateway.memoryMegabytes("VmHWM") < kMachineMegabytes);
  requireOrderlyStop(world);
}

TEST_CASE("odd entries among the leafs end no gateway, and it follows what comes after", "[process-ends]") {
  constexpr std::size_t kDepth = 100000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string beginning =
      R"({"service":"single","zone":"a","version":"v","state":"ready","sequence":1,)";
  const std::vector<std::string> odd{
      nested,
      std::string(kDepth, '['),
      beginning + R"("address":"127.0.0.1:1","capacity":1,"warmup_left_ms":0,"more":)" + nested + "}",
      beginning + R"("address":)" + nested + R"(,"capacity":1,"warmup_left_ms":0})",
      beginning + R"("address":"127.0.0.1:1","capacity":1e999,"warmup_left_ms":0})",
      beginning + R"("address":"127.0.0.1:1","capacity":123456789012345678901234567890,"warmup_left_ms":0})",
      beginning + R"("address":"127.0.0.1:1","capacity":1,"warmup_left_ms":1e308})",
      beginning + R"("address":"127.0.0.1:99999","capacity":1,"warmup_left_ms":0})",
      beginning + R"("address":"127.0.0.1:-1","capacity":1,"warmup_left_ms":0})",
      beginning + R"("address":"127.0.0.1:0","capacity":1,"warmup_left_ms":0})",
      "\xff\xfe",
      ""};
  GatewayWorld world;
  for (std::size_t number = 0; number < odd.size(); ++number) {
    world.store.put("servers/odd-before-" + std::to_string(number), odd[number]);
  }
  world.gateway.start();
  world.awaitReady();
  for (std::size_t number = 0; number < odd.size(); ++number) {
    world.store.put("servers/odd-after-" + std::to_string(number), odd[number]);
  }
  constexpr std::uint64_t kNextVersion = 2;
  world.putConfiguration(kNextVersion);
  bool followed = false;
  while (!followed) {
    const auto metrics = world.get(world.gateway.readinessAddress(), "/metrics");
    REQUIRE(!world.gateway.ended());
    followed =
        metrics && metrics->body.find("\noakpier_gateway_configuration_version 2\n") != std::string::npos;
  }
  requireServing(world);
  requireOrderlyStop(world);
}

TEST_CASE("an answer that is cut in its head is no success", "[process-ends]") {
  const HeaderNames names = platform::headerNames();
  const std::string head = "HTTP/1.1 200 OK\r\n" + names.requestId + ": id\r\n" + names.signature + ": s\r\n";
  constexpr std::size_t kStep = 7;
  GatewayWorld world;
  world.gateway.start();
  world.awaitReady();
  for (std::size_t length = 1; length <= head.size(); length += kStep) {
    const auto reply = world.askLeaf("/r/x", head.substr(0, length), GatewayWorld::AfterAnswer::kClose);
    CAPTURE(length);
    REQUIRE(reply);
    REQUIRE(reply->status >= 500);
  }
  requireOrderlyStop(world);
}

}  // namespace oakpier::serving
