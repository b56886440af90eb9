/// Tenant requests through a complete `RequestGateway` with raw callers and a raw leaf. Frames to peers are
/// recorded.

#include <catch2/catch.hpp>
#include <deque>

#include "programs/gateway/request_gateway.h"
#include "serving/support/captured_log.h"
#include "serving/support/loopback.h"
#include "serving/support/serving_fixtures.h"
#include "support/free_endpoint.h"
#include "transport/serving/http_service.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

const Endpoint kSelf(0x0a000001, 1);
const Endpoint kOther(0x0a000002, 1);
const std::vector<std::string> kShards{"t", "u", "v"};

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Route publicRoute() {
  Route route = singleRoute("s", true, 1);
  route.name = "open";
  route.pathPrefix = "/open/";
  route.isPublic = true;
  return route;
}

std::shared_ptr<const ServingView> viewWith(const std::vector<Tenant>& tenants, const Endpoint& leaf,
                                            unsigned connections, const std::string& shardZone) {
  Route single = singleRoute("s", false, 1);
  single.rank = 3;
  auto view = std::make_shared<ServingView>(
      *viewOf({single, publicRoute(), gatherRoute(kShards, 0.5)}, {"s", "t", "u", "v"}, 1));
  auto configuration = std::make_shared<ServingConfiguration>(*view->configuration);
  configuration->tenants = tenants;
  for (ServiceDefinition& service : configuration->services) {
    service.maximumConnections = connections;
  }
  LeafsByService leafs = *view->leafs;
  for (auto& [service, entries] : leafs) {
    entries.front().address = leaf;
    entries.front().zone = service == "s" ? "a" : shardZone;
  }
  view->tenants = std::make_shared<const TenantTable>(tenants);
  view->routes = std::make_shared<const RouteTable>(*configuration);
  view->configuration = std::move(configuration);
  view->leafs = std::make_shared<const LeafsByService>(std::move(leafs));
  return view;
}

std::vector<Tenant> twoTenants() {
  return {{"amber", {"secret-1", "secret-2"}, 5U, {}}, {"birch", {"secret-3"}, 0U, {}}};
}

struct GatewayWorld {
  explicit GatewayWorld(const std::vector<Tenant>& tenants = twoTenants(), unsigned connections = 26,
                        const std::string& shardZone = "a")
      : published(viewWith(tenants, leaf.address(), connections, shardZone)),
        gateway(context, names, published, proof, kSelf,
                QueryContext{leafs, budgets, random, QueryPolicy{}, "a", exchanges, nullptr, {}, nullptr, {}},
                ownerBudgets,
                [this](const Endpoint&, PeerEnvelope envelope) { frames.push_back(std::move(envelope)); }),
        service(context, gateway),
        address(freeEndpoint()) {
    REQUIRE(service.listen(address).empty());
    gateway.onView();
  }

  void proveFresh() {
    proof.publish(std::make_shared<const ConfigurationProof>(ConfigurationProof{1, steadyNow()}));
  }
  void demandProof() {
    AuthorizationSettings settings;
    settings.maxProofAge = std::chrono::seconds(60);
    gateway.setAuthorization(settings);
  }

  std::string head(const std::string& path, const std::string& id, const std::string& headers) const {
    return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + names.requestId + ": " + id + "\r\n" +
           headers + "\r\n";
  }
  RawClient& ask(const std::string& bytes) {
    clients.push_back(std::make_unique<RawClient>(context, address));
    clients.back()->write(bytes);
    return *clients.back();
  }
  /// Waits for the request at the leaf and returns its connection.
  RawServer::Connection& awaitAtLeaf(const std::string& id) {
    RawServer::Connection* found = nullptr;
    runUntil(context, [&] {
      for (const auto& connection : leaf.connections()) {
        found = contains(connection->received, ": " + id + "\r\n") ? connection.get() : found;
      }
      return found != nullptr;
    });
    return *found;
  }
  void answer(RawServer::Connection& connection, const std::string& id) const {
    connection.write("HTTP/1.1 200 OK\r\n" + names.requestId + ": " + id + "\r\n" + names.signature +
                     ": s\r\nContent-Length: 4\r\n\r\nbody");
  }
  void awaitAnswer(const RawClient& client, const std::string& status) {
    runUntil(context, [&] { return contains(client.received(), "HTTP/1.1 " + status); });
  }
  /// Sends a request, answers it at the leaf and returns the bytes that the leaf received.
  std::string servedAs(const std::string& path, const std::string& headers) {
    const std::string id = "id-" + std::to_string(++asked);
    const RawClient& client = ask(head(path, id, headers));
    RawServer::Connection& connection = awaitAtLeaf(id);
    std::string bytes = std::exchange(connection.received, "");
    answer(connection, id);
    awaitAnswer(client, "200");
    return bytes;
  }
  /// Sends a request that must be refused and returns the response.
  std::string refusalTo(const std::string& path, const std::string& headers) {
    const RawClient& client = ask(head(path, "id-" + std::to_string(++asked), headers));
    runUntil(context, [&] { return contains(client.received(), "\r\n\r\n"); });
    REQUIRE(leaf.requests() == 0);
    return client.received();
  }

  boost::asio::io_context context;
  HeaderNames names;
  RawServer leaf{context};
  Published<ServingView> published;
  Published<ConfigurationProof> proof{std::make_shared<const ConfigurationProof>()};
  RandomEngine random{7};
  LeafRegistry leafs;
  ExchangeIdSource exchanges;
  RetryBudgets budgets{DaemonRetryLimit{100, 100, std::chrono::hours(1), {}}, steadyNow(), random};
  RetryBudgets ownerBudgets{DaemonRetryLimit{100, 100, std::chrono::hours(1), {}}, steadyNow(), random};
  std::vector<PeerEnvelope> frames;
  RequestGateway gateway;
  HttpService service;
  Endpoint address;
  std::deque<std::unique_ptr<RawClient>> clients;
  int asked = 0;
};

const std::string kAmber = "Authorization: Bearer secret-1\r\n";
const std::string kBirch = "Authorization: Bearer secret-3\r\n";
const std::string kForged = "Oakpier-Tenant: forged\r\nOAKPIER-TENANT: forged\r\n";

/// Requires that `bytes` contain no key and no tenant header of the caller.
void requireClean(const std::string& bytes) {
  for (const char* unwanted : {"secret", "forged", "uthorization"}) {
    REQUIRE_FALSE(contains(bytes, unwanted));
  }
}

}  // namespace

TEST_CASE("a leaf receives a tenant's request with the tenant's name and without its key", "[serving]") {
  GatewayWorld world;
  for (const std::string header :
       {"authorization: BEARER  secret-1\r\n", "AUTHORIZATION: bearer secret-2\r\n"}) {
    const std::string bytes = world.servedAs("/one/x", header + kForged);
    requireClean(bytes);
    REQUIRE(contains(bytes, "Oakpier-Tenant: amber\r\n"));
  }
  const std::string bytes =
      world.servedAs("/one/x", kBirch + "Connection: Authorization, Oakpier-Tenant\r\n" + kForged);
  requireClean(bytes);
  REQUIRE(contains(bytes, "Oakpier-Tenant: birch\r\n"));
}

TEST_CASE("a public route serves all callers, and known tenants under their names", "[serving]") {
  GatewayWorld world;
  world.proveFresh();
  for (const std::string& headers : {std::string(), "Authorization: Bearer secret-9\r\n" + kForged,
                                     std::string("Authorization: Basic x\r\n")}) {
    const std::string bytes = world.servedAs("/open/x", headers);
    requireClean(bytes);
    REQUIRE_FALSE(contains(bytes, "Oakpier-Tenant"));
  }
  REQUIRE(world.gateway.counters().anonymousWithKey == 1);
  REQUIRE(contains(world.servedAs("/open/x", kAmber + kForged), "Oakpier-Tenant: amber\r\n"));
}

// Guards against tenants' requests that run for nobody, and count for no tenant, while the store is silent.
TEST_CASE("a public route refuses a key that cannot be decided on, with a retry time", "[serving]") {
  GatewayWorld world;
  world.demandProof();
  for (const std::string& headers : {kAmber, std::string("Authorization: Bearer secret-9\r\n")}) {
    const std::string refusal = world.refusalTo("/open/x", headers);
    REQUIRE(contains(refusal, "HTTP/1.1 503"));
    REQUIRE(contains(refusal, "Retry-After: "));
  }
  REQUIRE(world.gateway.counters().refusedUnproven == 2);
  REQUIRE_FALSE(contains(world.servedAs("/open/x", ""), "Oakpier-Tenant"));
  world.proveFresh();
  REQUIRE(contains(world.servedAs("/open/x", kAmber), "Oakpier-Tenant: amber\r\n"));
}

// Guards against a request with keys of two tenants, or a key that a proxy has doubled, running for nobody.
TEST_CASE("a public route rejects credentials that cannot be read as one key", "[serving]") {
  GatewayWorld world;
  world.proveFresh();
  for (const std::string& headers : {kAmber + kBirch, kAmber + kAmber, kAmber + "Authorization: Basic x\r\n",
                                     std::string("Authorization: Bearer\r\n"),
                                     std::string("Authorization: Bearer secret-1 secret-3\r\n")}) {
    REQUIRE(contains(world.refusalTo("/open/x", headers), "HTTP/1.1 401"));
  }
  REQUIRE(world.gateway.counters().rejectedKeys == 5);
}

TEST_CASE("pipelined and chunked requests are attributed to their own tenants", "[serving]") {
  GatewayWorld world;
  const std::string chunked = "POST /one/x HTTP/1.1\r\nHost: shop.example\r\n" + world.names.requestId +
                              ": first\r\nTransfer-Encoding: chunked\r\nTrailer: Oakpier-Tenant\r\n" +
                              kAmber + "\r\n3\r\nabc\r\n0\r\nOakpier-Tenant: forged\r\n\r\n";
  const RawClient& client = world.ask(chunked + world.head("/one/x", "second", kBirch + kForged));
  RawServer::Connection& first = world.awaitAtLeaf("first");
  requireClean(first.received);
  REQUIRE(contains(first.received, "Oakpier-Tenant: amber\r\n"));
  world.answer(first, "first");
  RawServer::Connection& second = world.awaitAtLeaf("second");
  const std::string bytes = second.received.substr(second.received.find("GET "));
  requireClean(bytes);
  REQUIRE(contains(bytes, "Oakpier-Tenant: birch\r\n"));
  world.answer(second, "second");
  runUntil(world.context, [&] { return contains(client.received(), "second"); });
}

TEST_CASE("callers without a readable key get 401, and their requests reach no leaf", "[serving]") {
  GatewayWorld world;
  for (const std::string& headers :
       {std::string(), kForged, kAmber + kAmber, std::string("Authorization: secret-1\r\n"),
        std::string("Authorization: Basic secret-1\r\n"), std::string("X-Api-Key: secret-1\r\n")}) {
    REQUIRE(contains(world.refusalTo("/one/x", headers), "HTTP/1.1 401"));
  }
  REQUIRE(contains(world.refusalTo("/one/x?Authorization=Bearer%20secret-1", ""), "HTTP/1.1 401"));
  REQUIRE(world.gateway.counters().rejectedKeys == 7);
}

TEST_CASE("an unknown key is answered with 401 only under a fresh proof, otherwise with a retry time",
          "[serving]") {
  GatewayWorld world;
  const std::string unknown = "Authorization: Bearer secret-9\r\n";
  const std::string early = world.refusalTo("/one/x", unknown);
  REQUIRE(contains(early, "HTTP/1.1 503"));
  REQUIRE(contains(early, "Retry-After: "));
  REQUIRE(world.gateway.counters().refusedUnproven == 1);
  world.proveFresh();
  REQUIRE(contains(world.refusalTo("/one/x", unknown), "HTTP/1.1 401"));
  REQUIRE(world.gateway.counters().rejectedKeys == 1);
}

TEST_CASE("if keys can be revoked, a known key is accepted only under a proof", "[serving]") {
  GatewayWorld world;
  world.demandProof();
  REQUIRE(contains(world.refusalTo("/one/x", kAmber), "HTTP/1.1 503"));
  world.proveFresh();
  REQUIRE(contains(world.servedAs("/one/x", kAmber), "Oakpier-Tenant: amber\r\n"));
}

TEST_CASE("logs name tenants and never a key", "[serving]") {
  const CapturedLog log;
  GatewayWorld world;
  world.demandProof();
  world.refusalTo("/one/x", kAmber);
  REQUIRE(contains(log.text(), R"("tenant":"amber")"));
  world.refusalTo("/one/x", "Authorization: Bearer secret-9\r\n");
  world.proveFresh();
  world.refusalTo("/one/x", "Authorization: Bearer secret-9\r\n");
  world.refusalTo("/one/x?key=secret-8", "X-Api-Key: secret-7\r\n");
  world.refusalTo("/nowhere/", kAmber);
  world.refusalTo("/one/x", kAmber + kBirch);
  // A caller that disconnects is logged with the decisions of its request.
  RawClient& leaving = world.ask(world.head("/one/x", "leaving", kBirch));
  world.awaitAtLeaf("leaving");
  leaving.reset();
  runUntil(world.context, [&] { return world.gateway.counters().callersDisconnected == 1; });
  const std::string text = log.text();
  REQUIRE(contains(text, "no readable key"));
  REQUIRE(contains(text, "key unknown"));
  REQUIRE(contains(text, R"("tenant":"birch")"));
  REQUIRE_FALSE(contains(text, "secret"));
}

TEST_CASE("without tenants, credentials are forwarded to the leaf and tenant headers of callers are removed",
          "[serving]") {
  GatewayWorld world(std::vector<Tenant>{});
  const std::string bytes = world.servedAs("/one/x", kAmber + kForged);
  REQUIRE(contains(bytes, kAmber));
  REQUIRE_FALSE(contains(bytes, "Oakpier-Tenant"));
  world.servedAs("/one/x", "");
}

// Guards against daemons that start while they can reach no other one and each grant a tenant's whole limit.
TEST_CASE("a daemon that has heard no other one grants a tenant a part of its limit", "[serving]") {
  std::vector<Tenant> tenants = twoTenants();
  tenants.front().limit = TenantLimit{8, 8};
  GatewayWorld world(tenants);
  world.gateway.setQuotaTolerance(QuotaTolerance{std::chrono::seconds(5), 0.25, 20});
  DaemonGroup alone{{kSelf}, {kSelf}, {}, 1};
  SECTION("it is the only one") {
    world.gateway.setDaemons(alone, 1, true);
    world.servedAs("/one/x", kAmber);
  }
  SECTION("there are others") {
    alone.isolated = true;
    world.gateway.setDaemons(alone, 1, true);
    REQUIRE(contains(world.refusalTo("/one/x", kAmber), "HTTP/1.1 429"));
  }
}

TEST_CASE("a tenant's rank overrides its route's rank among requests that wait for a connection",
          "[serving]") {
  // A single connection to the leaf.
  GatewayWorld world(twoTenants(), 1);
  world.gateway.setDaemons(DaemonGroup{{kSelf}, {kSelf}, {}, 1}, 1, true);
  world.ask(world.head("/one/x", "running", kAmber));
  RawServer::Connection& connection = world.awaitAtLeaf("running");
  world.ask(world.head("/one/x", "later", kAmber));
  runUntil(world.context, [&] { return world.gateway.counters().received == 2; });
  world.ask(world.head("/one/x", "sooner", kBirch));
  runUntil(world.context, [&] { return world.gateway.counters().received == 3; });
  connection.received.clear();
  world.answer(connection, "running");
  runUntil(world.context, [&] { return contains(connection.received, "\r\n\r\n"); });
  REQUIRE(contains(connection.received, ": sooner\r\n"));
}

TEST_CASE("owners and merge servers receive the tenant and its rank, but no key", "[serving]") {
  SECTION("owners") {
    // With fewer connections per leaf than daemons, shards have owners.
    GatewayWorld world(twoTenants(), 2);
    world.gateway.setDaemons(DaemonGroup{{kSelf, kOther}, {kOther}, {}, 1}, 40, true);
    world.frames.clear();
    world.ask(world.head("/all/x", "shards", kAmber + kForged));
    runUntil(world.context, [&] { return !world.frames.empty(); });
    const OwnerWork& work = world.frames.front().owner_work();
    REQUIRE(work.tenant() == "amber");
    REQUIRE(work.rank() == 5);
    requireClean(world.frames.front().SerializeAsString());
  }
  SECTION("merge servers") {
    GatewayWorld world(twoTenants(), 100, "b");
    world.gateway.setDaemons(DaemonGroup{{kSelf, kOther}, {kSelf}, {{"b", {kOther}}}, 2}, 2, true);
    world.frames.clear();
    world.ask(world.head("/all/x", "shards", kAmber + kForged));
    runUntil(world.context, [&] { return !world.frames.empty(); });
    const MergeWork& work = world.frames.front().merge_work();
    REQUIRE(work.tenant() == "amber");
    REQUIRE(work.rank() == 5);
    requireClean(world.frames.front().SerializeAsString());
  }
}

}  // namespace oakpier::serving
