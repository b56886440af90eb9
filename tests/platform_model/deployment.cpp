#include "platform_model/deployment.h"

#include <nlohmann/json.hpp>

namespace oakpier::serving::model {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kSingleServiceConnections = 110;

nlohmann::json routeOf(const Deployment& deployment, const RequestClass& requestClass) {
  nlohmann::json route = {{"name", requestClass.name},
                          {"host", kHost},
                          {"path_prefix", pathOf(requestClass)},
                          {"route_type", requestClass.repeatable ? "idempotent" : "non_idempotent"},
                          {"timeout_ms", toMilliseconds(requestClass.deadline)},
                          {"target_latency_ms", toMilliseconds(requestClass.targetLatency)},
                          {"priority", requestClass.rank},
                          {"attempts", 2}};
  if (!requestClass.gather) {
    route["service"] = kSingleService;
    return route;
  }
  std::vector<std::string> shards;
  for (std::size_t number = 0; number < deployment.shards; ++number) {
    shards.push_back(shardName(number));
  }
  route["gather"] = shards;
  route["top_k"] = requestClass.topRecords;
  route["min_success_ratio"] = requestClass.minimumShare;
  return route;
}

}  // namespace

Deployment tavua() {
  Deployment deployment;
  deployment.name = "tavua";
  deployment.zones = {"nadi-a", "nadi-b", "lautoka", "ba"};
  deployment.gateways = 8;
  deployment.shards = 20;
  deployment.singleLeafs = 20;
  deployment.classes = {
      {"shelf-page", true, true, milliseconds(200), milliseconds(2000), 50, 0.89, 1, 30},
      {"typeahead", true, true, milliseconds(80), milliseconds(800), 5, 0.75, 2, 10},
      {"receipt-lookup", false, true, milliseconds(800), milliseconds(8000), 0, 1.0, 2, 10},
      {"refund", false, false, milliseconds(800), milliseconds(8000), 0, 1.0, 0, 5},
  };
  return deployment;
}

Deployment fundPrices() {
  Deployment deployment;
  deployment.name = "fund-prices";
  deployment.zones = {"sea-a", "sea-b", "sea-c"};
  deployment.gateways = 6;
  deployment.shards = 20;
  deployment.singleLeafs = 5;
  deployment.classes = {
      {"fund-screen", true, true, milliseconds(100), milliseconds(1500), 50, 0.89, 1, 30},
      {"quick-quote", true, true, milliseconds(50), milliseconds(800), 5, 0.75, 2, 10},
      {"holding-detail", false, true, milliseconds(400), milliseconds(6000), 0, 1.0, 2, 10},
      {"settlement", false, false, milliseconds(400), milliseconds(6000), 0, 1.0, 0, 5},
  };
  return deployment;
}

std::string shardName(std::size_t number) { return "shard-" + std::to_string(number); }

std::string pathOf(const RequestClass& requestClass) { return "/" + requestClass.name + "/"; }

std::string configurationText(const Deployment& deployment, std::uint64_t version, bool extraRoute) {
  nlohmann::json routes = nlohmann::json::array();
  for (const RequestClass& requestClass : deployment.classes) {
    routes.push_back(routeOf(deployment, requestClass));
  }
  if (extraRoute) {
    RequestClass added = deployment.classes.back();
    added.name = "added-later";
    added.repeatable = true;
    routes.push_back(routeOf(deployment, added));
  }
  nlohmann::json services = nlohmann::json::array();
  for (std::size_t number = 0; number < deployment.shards; ++number) {
    services.push_back({{"name", shardName(number)},
                        {"health_check_path", "/health"},
                        {"max_connections", deployment.shardConnections}});
  }
  services.push_back({{"name", kSingleService},
                      {"health_check_path", "/health"},
                      {"max_connections", kSingleServiceConnections}});
  const nlohmann::json body = {{"version", version},
                               {"routes", routes},
                               {"services", services},
                               {"limits",
                                {{"max_header_bytes", 16384},
                                 {"max_body_bytes", 262144},
                                 {"header_timeout_ms", 3000},
                                 {"idle_timeout_ms", 15000}}}};
  return body.dump();
}

}  // namespace oakpier::serving::model
