/// Starts real daemons whose addresses are still taken.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "fleet/fleet.h"
#include "fleet/process.h"

namespace oakpier {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

/// A listening socket on a free port.
class HeldPort {
 public:
  HeldPort() : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    REQUIRE(bind(socket_, reinterpret_cast<sockaddr*>(&address), length) == 0);
    REQUIRE(listen(socket_, 1) == 0);
    REQUIRE(getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length) == 0);
    port_ = ntohs(address.sin_port);
  }
  HeldPort(const HeldPort&) = delete;
  HeldPort& operator=(const HeldPort&) = delete;
  ~HeldPort() { release(); }

  unsigned short port() const { return port_; }
  void release() {
    if (socket_ >= 0) {
      close(socket_);
    }
    socket_ = -1;
  }

 private:
  int socket_;
  unsigned short port_ = 0;
};

std::string contentOf(const std::string& path) {
  std::stringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

}  // namespace

TEST_CASE("a daemon waits for an address that is still taken when it starts", "[programs]") {
  std::array<char, 32> folder{"/tmp/oakpier-start-XXXXXX"};
  REQUIRE(mkdtemp(folder.data()) != nullptr);
  for (std::size_t taken = 0; taken < 3; ++taken) {
    HeldPort held;
    auto ports = freePorts(3);
    ports[taken] = held.port();
    const std::string log = std::string(folder.data()) + "/log-" + std::to_string(taken);
    const auto address = [&](std::size_t index) { return "127.0.0.1:" + std::to_string(ports[index]); };
    Process daemon(ownFolder() + "/oakpierd",
                   {"--caller-address", address(0), "--operator-address", address(1), "--peer-address",
                    address(2), "--zone", "a", "--peers", "127.0.0.1:1"},
                   log);
    const auto logged = [&](const std::string& text) {
      return contentOf(log).find(text) != std::string::npos;
    };
    CAPTURE(taken);
    REQUIRE(waitUntil([&] { return logged("trying again") || !daemon.running(); }, kTimeout));
    REQUIRE(daemon.running());
    held.release();
    REQUIRE(waitUntil([&] { return logged(R"("message":"started")") || !daemon.running(); }, kTimeout));
    CAPTURE(contentOf(log));
    REQUIRE(daemon.running());
    daemon.signal(SIGTERM);
    REQUIRE(daemon.wait() == 0);
  }
  std::filesystem::remove_all(folder.data());
}

}  // namespace oakpier
