/// Guards against requests that run for the wrong tenant while the store is silent.

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <utility>

#include "platform/header_names.h"
#include "serving/platform/gateway_process.h"

namespace oakpier::serving {

namespace {

constexpr const char* kTenant = "acme";
constexpr const char* kKey = "key-of-acme";
constexpr int kKeyRevocationBoundMs = 4000;

/// A gateway with a public route and one tenant whose key can be revoked, and a leaf that answers all
/// requests.
class TenantWorld {
 public:
  TenantWorld() {
    nlohmann::json configuration = GatewayWorld::configuration(2);
    configuration["routes"][0]["public"] = true;
    configuration["tenants"] = {{{"name", kTenant}, {"api_keys", {kKey}}}};
    world.store.put("op/config", configuration.dump());
    world.gateway.settings()["bounds"]["revoke_strict"] = true;
    world.gateway.settings()["bounds"]["revoke_ms"] = kKeyRevocationBoundMs;
    world.gateway.writeSettings();
    world.gateway.start();
    world.awaitReady();
    answerAtLeaf();
  }

  /// The status of the answer to one request with the tenant's key.
  unsigned statusWithKey() {
    const auto reply =
        world.get(world.gateway.callerAddress(), "/r/x", {{"Authorization", std::string("Token ") + kKey}});
    REQUIRE(reply);
    return reply->status;
  }

  GatewayWorld world;
  /// Requests that the leaf ran, by the name of their tenant.
  std::map<std::string, int> runs;

 private:
  /// Answers the requests that have arrived at the leaf, again and again.
  void answerAtLeaf() {
    for (const auto& connection : world.leaf.connections()) {
      if (!connection->ended && connection->requests() > 0) {
        const std::string request = std::exchange(connection->received, "");
        ++runs[valueOf(request, names_.tenant)];
        connection->write("HTTP/1.1 200 OK\r\n" + names_.requestId + ": " +
                          valueOf(request, names_.requestId) + "\r\n" + names_.signature +
                          ": s\r\nContent-Length: 2\r\n\r\nok");
      }
    }
    timer_.expires_after(std::chrono::milliseconds(1));
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        answerAtLeaf();
      }
    });
  }

  /// The value of a header of a request, or nothing.
  static std::string valueOf(const std::string& request, const std::string& header) {
    const std::string begin = "\r\n" + header + ": ";
    const std::size_t place = request.find(begin);
    if (place == std::string::npos) {
      return "";
    }
    const std::size_t value = place + begin.size();
    return request.substr(value, request.find("\r\n", value) - value);
  }

  HeaderNames names_ = platform::headerNames();
  boost::asio::steady_timer timer_{world.context};
};

}  // namespace

TEST_CASE("while the store is silent, no request of a tenant on a public route runs for nobody",
          "[serving]") {
  constexpr unsigned kOk = 200;
  constexpr unsigned kNotRun = 503;
  TenantWorld tenants;
  REQUIRE(tenants.statusWithKey() == kOk);
  tenants.world.store.setSilent(true);
  const auto end = std::chrono::steady_clock::now() + 2 * std::chrono::milliseconds(kKeyRevocationBoundMs);
  unsigned status = kOk;
  while (status == kOk && std::chrono::steady_clock::now() < end) {
    status = tenants.statusWithKey();
  }
  const auto metrics = tenants.world.get(tenants.world.gateway.readinessAddress(), "/metrics");
  REQUIRE(metrics);
  CAPTURE(tenants.runs, metrics->body);
  REQUIRE(status == kNotRun);
  REQUIRE(metrics->body.find("\noakpier_gateway_anonymous_with_key_total 0\n") != std::string::npos);
  tenants.world.store.setSilent(false);
  while (status == kNotRun) {
    status = tenants.statusWithKey();
  }
  REQUIRE(status == kOk);
  REQUIRE(tenants.runs.size() == 1);
  REQUIRE(tenants.runs.count(kTenant) == 1);
}

}  // namespace oakpier::serving
