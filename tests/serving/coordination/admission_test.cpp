#include "coordination/serving/admission.h"

#include <catch2/catch.hpp>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

void occupy(const LeafRegistry& leafs, const std::string& service, std::size_t requests) {
  for (const auto& leaf : leafs.leafsOf(service)) {
    for (std::size_t number = 0; number < requests; ++number) {
      leaf->onStarted(number + 1, std::chrono::milliseconds(60), at(0));
    }
  }
}

}  // namespace

TEST_CASE("a request is refused if the queues make its answer far too late", "[serving]") {
  const auto view = viewOf({singleRoute("s", true, 2)}, {"s"}, 2);
  QueryWorld world(view);
  const Route& route = view->configuration->routes[0];
  REQUIRE_FALSE(refuseIfOverloaded(route, *world.context, at(1)));
  occupy(world.registry, "s", 40);
  const auto refusal = refuseIfOverloaded(route, *world.context, at(1));
  REQUIRE(refusal);
  REQUIRE(refusal->retryAfter >= world.context->policy.retryAfter);
  REQUIRE(refusal->retryAfter <= std::chrono::seconds(1));
}

TEST_CASE("overloaded shards that an answer may omit do not lead to a refusal", "[serving]") {
  const std::vector<std::string> shards{"s0", "s1", "s2", "s3"};
  const auto view = viewOf({gatherRoute(shards, 0.75)}, shards, 2);
  QueryWorld world(view);
  const Route& route = view->configuration->routes[0];
  occupy(world.registry, "s0", 40);
  REQUIRE_FALSE(refuseIfOverloaded(route, *world.context, at(1)));
  occupy(world.registry, "s1", 40);
  REQUIRE(refuseIfOverloaded(route, *world.context, at(1)));
}

TEST_CASE("a service without a reachable leaf is not refused as overloaded but tried", "[serving]") {
  const auto view = viewOf({singleRoute("s", true, 2)}, {"s"}, 1);
  QueryWorld world(view);
  const auto leaf = world.registry.leafsOf("s").front();
  leaf->onStarted(1, std::chrono::milliseconds(10), at(0));
  leaf->onFinished(1, LeafOutcome::Kind::kNotSent, at(0));
  REQUIRE(leaf->ejected(at(1)));
  REQUIRE_FALSE(refuseIfOverloaded(view->configuration->routes[0], *world.context, at(1)));
}

namespace {

/// Makes this daemon treat the leaf as unreachable.
void makeUnreachable(const std::shared_ptr<LeafStatus>& leaf) {
  leaf->onReachability(false, at(0));
  leaf->onReachability(false, at(0));
}

}  // namespace

TEST_CASE("a request is refused while too few of its shards have a reachable leaf", "[serving]") {
  const std::vector<std::string> shards{"s0", "s1", "s2", "s3"};
  const auto view = viewOf({gatherRoute(shards, 0.75)}, shards, 2);
  QueryWorld world(view);
  const Route& route = view->configuration->routes[0];
  const auto refusal = [&](int moment) {
    return refuseIfUnservable(route, *view, *world.context, at(moment));
  };
  for (const std::string shard : {"s0", "s1"}) {
    makeUnreachable(world.registry.leafsOf(shard)[0]);
  }
  REQUIRE_FALSE(refusal(1));
  makeUnreachable(world.registry.leafsOf("s0")[1]);
  REQUIRE_FALSE(refusal(1));
  makeUnreachable(world.registry.leafsOf("s1")[1]);
  REQUIRE(refusal(1));
  REQUIRE(refusal(1)->retryAfter >= world.context->policy.retryAfter);
  REQUIRE(refusal(1)->retryAfter <= std::chrono::milliseconds(1500));
  REQUIRE_FALSE(refusal(10'000));
}

TEST_CASE("a request is refused if too few of its shards have a listed leaf that takes work", "[serving]") {
  const std::vector<std::string> shards{"s0", "s1", "s2", "s3"};
  const auto view = viewOf({gatherRoute(shards, 0.75), singleRoute("s0", true, 2)}, shards, 1);
  ServingView changed = *view;
  LeafsByService leafs = *view->leafs;
  leafs["s0"][0].evacuated = true;
  changed.leafs = std::make_shared<const LeafsByService>(leafs);
  QueryWorld world(view);
  const auto& routes = view->configuration->routes;
  REQUIRE_FALSE(refuseIfUnservable(routes[0], changed, *world.context, at(1)));
  REQUIRE(refuseIfUnservable(routes[1], changed, *world.context, at(1)));
  leafs["s1"].clear();
  changed.leafs = std::make_shared<const LeafsByService>(leafs);
  REQUIRE(refuseIfUnservable(routes[0], changed, *world.context, at(1)));
}

TEST_CASE("shards whose leafs are known only to peers count as servable", "[serving]") {
  const auto view = viewOf({gatherRoute({"s0", "s1"}, 1.0)}, {"s0", "s1"}, 1);
  QueryWorld world(view);
  world.registry.reconcile({}, at(0));
  REQUIRE_FALSE(refuseIfUnservable(view->configuration->routes[0], *view, *world.context, at(1)));
}

}  // namespace oakpier::serving
