#pragma once

/// Minimal configurations, leafs and outcomes for tests of the gateway.

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/serving/query.h"
#include "state/serving/leaf_directory.h"
#include "state/serving/source_position.h"

namespace oakpier::serving {

/// The position of a source that reports no epoch.
inline SourcePosition inFirstEpoch(std::uint64_t revision) { return SourcePosition{0, revision}; }

inline Moment at(int milliseconds) { return Moment(std::chrono::milliseconds(milliseconds)); }

inline Route singleRoute(const std::string& service, bool repeatable, unsigned attempts) {
  Route route;
  route.name = "single";
  route.host = "shop.example";
  route.pathPrefix = "/one/";
  route.repeatable = repeatable;
  route.timeout = std::chrono::seconds(2);
  route.targetLatency = std::chrono::milliseconds(200);
  route.attempts = attempts;
  route.target = SingleTarget{{{service, 1.0}}};
  return route;
}

inline Route gatherRoute(const std::vector<std::string>& shards, double minimumShare) {
  Route route = singleRoute("", true, 2);
  route.name = "gather";
  route.pathPrefix = "/all/";
  route.target = GatherTarget{shards, 3, minimumShare};
  return route;
}

inline LeafEntry leafEntry(const std::string& id, const std::string& service, std::uint16_t port) {
  LeafEntry entry;
  entry.id = id;
  entry.service = service;
  entry.address = Endpoint(0x7f000001, port);
  entry.zone = "a";
  entry.slots = 2;
  return entry;
}

/// Returns `replicas` leafs for each service, with ids of the form "service/number".
inline LeafsByService leafsOf(const std::vector<std::string>& services, std::size_t replicas) {
  LeafsByService leafs;
  std::uint16_t port = 1;
  for (const std::string& service : services) {
    for (std::size_t number = 0; number < replicas; ++number) {
      leafs[service].push_back(leafEntry(service + "/" + std::to_string(number), service, port++));
    }
  }
  return leafs;
}

inline std::shared_ptr<const ServingView> viewOf(std::vector<Route> routes,
                                                 const std::vector<std::string>& services,
                                                 std::size_t replicas) {
  auto configuration = std::make_shared<ServingConfiguration>();
  configuration->version = 1;
  configuration->routes = std::move(routes);
  for (const std::string& service : services) {
    configuration->services.push_back({service, 26});
  }
  auto view = std::make_shared<ServingView>();
  view->routes = std::make_shared<const RouteTable>(*configuration);
  view->configuration = std::move(configuration);
  view->leafs = std::make_shared<const LeafsByService>(leafsOf(services, replicas));
  return view;
}

inline LeafOutcome outcomeOf(LeafOutcome::Kind kind, const std::string& body = "") {
  LeafOutcome outcome;
  outcome.kind = kind;
  if (kind == LeafOutcome::Kind::kAnswered || kind == LeafOutcome::Kind::kLeafFailed) {
    auto reply = std::make_shared<HttpReply>();
    reply->status = kind == LeafOutcome::Kind::kAnswered ? 200 : 500;
    reply->body = body;
    outcome.reply = std::move(reply);
    outcome.signature = "signature";
  }
  return outcome;
}

/// The shared state of queries, with its own registry. `retryBudget`: hedges and retries that may be sent.
class QueryWorld {
 public:
  explicit QueryWorld(const std::shared_ptr<const ServingView>& view, double retryBudget = 100)
      : random(7),
        budgets(DaemonRetryLimit{retryBudget, retryBudget, std::chrono::hours(1), {}}, at(0), random) {
    registry.reconcile(*view->leafs, at(0));
    context = std::make_unique<QueryContext>(
        QueryContext{registry, budgets, random, QueryPolicy{}, "a", exchanges, nullptr, {}, nullptr});
  }

  LeafRegistry registry;
  RandomEngine random;
  ExchangeIdSource exchanges;
  RetryBudgets budgets;
  std::unique_ptr<QueryContext> context;
};

}  // namespace oakpier::serving
