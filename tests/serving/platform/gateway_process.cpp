#include "serving/platform/gateway_process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "fleet/process.h"
#include "platform/header_names.h"
#include "support/free_endpoint.h"
#include "transport/serving/source_client.h"

namespace oakpier::serving {

namespace {

/// Not the address of any other process, so that no outgoing connection takes one of the ports.
constexpr std::uint32_t kGatewayIp = 0x7f000301;
constexpr const char* kHost = "host.example";
constexpr Duration kCallTimeout = std::chrono::seconds(5);

std::string newFolder() {
  std::array<char, 32> folder{"/tmp/oakpier-process-XXXXXX"};
  REQUIRE(mkdtemp(folder.data()) != nullptr);
  return folder.data();
}

nlohmann::json settingsOf(const Endpoint& store, const Endpoint& callers, const Endpoint& readiness,
                          const Endpoint& peers) {
  return {{"node_name", "gateway-1"},
          {"zone", "zone-a"},
          {"ip", callers.ip()},
          {"bind_addresses", {{"http", callers.text()}, {"readiness", readiness.text()}}},
          {"internal_port_range", {peers.port(), peers.port()}},
          {"seeds", {peers.text()}},
          {"bounds",
           {{"grace_s", 6}, {"retry_budget_ratio", 0.2}, {"budget_slack", 56}, {"budget_window_s", 10}}},
          {"limits", {{"cpu_share", 0.25}, {"memory_mb", 260}, {"max_open_files", 4100}}},
          {"platform", {{"address", store.text()}}}};
}

}  // namespace

GatewayProcess::GatewayProcess(const Endpoint& store) : folder_(newFolder()) {
  const auto ports = freePorts(3);
  callerAddress_ = Endpoint(kGatewayIp, ports[0]);
  readinessAddress_ = Endpoint(kGatewayIp, ports[1]);
  peerAddress_ = Endpoint(kGatewayIp, ports[2]);
  settingsFile_ = folder_ + "/settings.json";
  outputFile_ = folder_ + "/output.log";
  settings_ = settingsOf(store, callerAddress_, readinessAddress_, peerAddress_);
}

GatewayProcess::~GatewayProcess() {
  if (id_ > 0 && !ended()) {
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void GatewayProcess::writeSettings() const { std::ofstream(settingsFile_) << settings_.dump(); }

void GatewayProcess::start(const Preparation& prepare) {
  id_ = fork();
  REQUIRE(id_ >= 0);
  if (id_ == 0) {
    constexpr mode_t kOutputMode = 0644;
    const int file = open(outputFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND, kOutputMode);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    // Descriptors of the test, such as the listening sockets of leafs, are not to outlive it in the child.
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    prepare();
    execl(OAKPIER_GATEWAY_PROGRAM, OAKPIER_GATEWAY_PROGRAM, "--settings", settingsFile_.c_str(), nullptr);
    _exit(EXIT_FAILURE);
  }
}

void GatewayProcess::signal(int number) const { REQUIRE(kill(id_, number) == 0); }

std::optional<int> GatewayProcess::ended() {
  int status = 0;
  if (!status_ && waitpid(id_, &status, WNOHANG) == id_) {
    status_ = status;
  }
  return status_;
}

std::string GatewayProcess::output() const {
  std::stringstream text;
  text << std::ifstream(outputFile_).rdbuf();
  return text.str();
}

std::size_t GatewayProcess::memoryMegabytes(const std::string& name) const {
  constexpr std::size_t kKilobytesPerMegabyte = 1024;
  std::ifstream file("/proc/" + std::to_string(id_) + "/status");
  for (std::string word; file >> word;) {
    std::size_t kilobytes = 0;
    if (word == name + ":" && file >> kilobytes) {
      return kilobytes / kKilobytesPerMegabyte;
    }
  }
  return 0;
}

GatewayWorld::GatewayWorld()
    : store(context), storeAddress(listen(store)), leaf(context), gateway(storeAddress) {
  putConfiguration(1);
  addLeaf("leaf-1", leaf.address());
  gateway.writeSettings();
}

Endpoint GatewayWorld::listen(model::StoreStandin& store) {
  const Endpoint address = freeEndpoint();
  REQUIRE(store.listen(address).empty());
  return address;
}

nlohmann::json GatewayWorld::configuration(std::uint64_t version) {
  const nlohmann::json route = {{"name", "route"},      {"host", kHost},
                                {"path_prefix", "/r/"}, {"route_type", "idempotent"},
                                {"timeout_ms", 3000},   {"target_latency_ms", 400},
                                {"priority", 1},        {"attempts", 2},
                                {"service", kService}};
  const nlohmann::json service = {
      {"name", kService}, {"health_check_path", "/health"}, {"max_connections", 110}};
  return {{"version", version},
          {"routes", nlohmann::json::array({route})},
          {"services", nlohmann::json::array({service})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 262144},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

void GatewayWorld::putConfiguration(std::uint64_t version) {
  store.put("op/config", configuration(version).dump());
}

void GatewayWorld::addLeaf(const std::string& id, const Endpoint& address) {
  const nlohmann::json entry = {
      {"service", kService}, {"address", address.text()}, {"zone", "zone-a"},    {"version", "v1"},
      {"capacity", 4},       {"state", "ready"},          {"warmup_left_ms", 0}, {"sequence", 1}};
  store.put("servers/" + id, entry.dump());
}

void GatewayWorld::awaitReady() {
  bool ready = false;
  while (!ready) {
    CAPTURE(gateway.output());
    REQUIRE(!gateway.ended());
    const auto reply = get(gateway.readinessAddress(), "/ready");
    ready = reply && reply->status == 200;
    runFor(std::chrono::milliseconds(10));
  }
}

int GatewayWorld::awaitEnd() {
  runUntil(context, [this] { return gateway.ended().has_value(); });
  return *gateway.ended();
}

void GatewayWorld::runFor(Duration duration) {
  context.restart();
  context.run_for(duration);
}

std::optional<HttpReply> GatewayWorld::get(const Endpoint& address, const std::string& target,
                                           const HeaderList& headers) {
  const HeaderNames names = platform::headerNames();
  SourceClient client(context, address);
  bool done = false;
  std::optional<HttpReply> answer;
  HttpRequest request{"GET",
                      target,
                      {{"Host", kHost},
                       {names.requestId, "request-" + std::to_string(++requests_)},
                       {names.deadline, "3000"}},
                      ""};
  request.headers.insert(request.headers.end(), headers.begin(), headers.end());
  client.call(request, kCallTimeout, [&](std::optional<HttpReply> reply) {
    answer = std::move(reply);
    done = true;
  });
  runUntil(context, [&] { return done; });
  return answer;
}

std::optional<HttpReply> GatewayWorld::askLeaf(const std::string& target, const std::string& answer,
                                               AfterAnswer after) {
  const HeaderNames names = platform::headerNames();
  SourceClient client(context, gateway.callerAddress());
  bool done = false;
  std::optional<HttpReply> reply;
  client.call({"GET", target, {{"Host", kHost}, {names.requestId, "id"}, {names.deadline, "500"}}, ""},
              kCallTimeout, [&](std::optional<HttpReply> received) {
                reply = std::move(received);
                done = true;
              });
  runUntil(context, [&] {
    for (const auto& connection : leaf.connections()) {
      if (!connection->ended && connection->requests() > 0) {
        connection->received.clear();
        connection->write(answer);
        if (after == AfterAnswer::kClose) {
          connection->end();
        }
      }
    }
    return done;
  });
  return reply;
}

}  // namespace oakpier::serving
