/// Enforcement of tenant limits by several daemons in one process. The test delivers, drops and counts
/// frames.

#include "programs/gateway/quota_enforcer.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "serving/support/captured_log.h"
#include "serving/support/loopback.h"
#include "serving/support/suspension.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

constexpr std::uint16_t kPort = 9;
const QuotaTolerance kTolerance{std::chrono::seconds(5), 0.25, 20};

Tenant tenantOf(const std::string& name, double perSecond, double burst) {
  Tenant tenant;
  tenant.name = name;
  tenant.limit = TenantLimit{perSecond, burst};
  return tenant;
}

class Fleet {
 public:
  Fleet(std::uint32_t daemons, const Tenant& tenant) : tenant_(tenant) {
    for (std::uint32_t number = 1; number <= daemons; ++number) {
      all_.emplace_back(Endpoint(number, kPort));
    }
    for (const auto& [self, capacity] : all_) {
      auto enforcer = std::make_unique<QuotaEnforcer>(
          context, random, self, [this, address = self](const Endpoint& to, PeerEnvelope frame) {
            deliver(address, to, std::move(frame));
          });
      enforcer->setTolerance(kTolerance);
      enforcer->setTenants(std::make_shared<const TenantTable>(std::vector<Tenant>{tenant}));
      enforcer->setDaemons(all_, daemons, true);
      enforcers_.emplace(self, std::move(enforcer));
    }
    order = rankQuotaServers(tenant.name, all_);
  }

  /// The daemons in the order of their rank as quota servers of the tenant.
  std::vector<Endpoint> order;
  QuotaEnforcer& at(const Endpoint& address) { return *enforcers_.at(address); }
  /// The daemon with the last rank, which receives no token requests.
  QuotaEnforcer& entry() { return at(order.back()); }
  void acquire(QuotaEnforcer& enforcer) {
    enforcer.acquire(tenant_, [this](const QuotaDecision& decision) { decisions.push_back(decision); });
  }
  /// Requests a decision for one caller request and waits for it.
  QuotaDecision decide(QuotaEnforcer& enforcer) {
    const std::size_t before = decisions.size();
    acquire(enforcer);
    runUntil(context, [&] { return decisions.size() > before; });
    return decisions.back();
  }
  /// Delivers all frames in transit.
  void deliverAll() {
    context.restart();
    context.poll();
  }

  boost::asio::io_context context;
  RandomEngine random{7};
  std::vector<QuotaDecision> decisions;
  std::vector<std::pair<Endpoint, PeerEnvelope>> frames;
  /// Frames to these daemons are dropped.
  std::set<Endpoint> unresponsive;
  /// Frames to these daemons are reported as undeliverable.
  std::set<Endpoint> unreachable;

 private:
  void deliver(const Endpoint& from, const Endpoint& to, PeerEnvelope frame) {
    frames.emplace_back(to, frame);
    boost::asio::post(context, [this, from, to, frame = std::move(frame)] {
      if (unreachable.count(to) != 0) {
        if (frame.has_token_request()) {
          at(from).onUndeliverable(frame.token_request());
        }
      } else if (unresponsive.count(to) != 0) {
        return;
      } else if (frame.has_token_request()) {
        at(to).onRequest(from, frame.token_request());
      } else {
        at(to).onReply(from, frame.token_reply());
      }
    });
  }

  Tenant tenant_;
  std::vector<ServingDaemon> all_;
  std::map<Endpoint, std::unique_ptr<QuotaEnforcer>> enforcers_;
};

}  // namespace

TEST_CASE("a tenant without a limit is admitted immediately and without a frame", "[serving]") {
  Fleet fleet(8, tenantOf("free", 0, 0));
  fleet.acquire(fleet.entry());
  REQUIRE(fleet.decisions.size() == 1);
  REQUIRE(fleet.decisions[0].granted);
  REQUIRE_FALSE(fleet.decisions[0].token);
  fleet.deliverAll();
  REQUIRE(fleet.frames.empty());
}

TEST_CASE("concurrent requests share one frame to the quota server", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  for (int request = 0; request < 3; ++request) {
    fleet.acquire(fleet.entry());
  }
  runUntil(fleet.context, [&] { return fleet.decisions.size() == 3; });
  REQUIRE(fleet.frames[0].first == fleet.order.front());
  REQUIRE(fleet.frames[0].second.token_request().tenants(0).wanted() == 3);
  REQUIRE(fleet.frames[0].second.time_to_live_ms() > 0);
  REQUIRE(fleet.decisions[2].granted);
  const QuotaMetrics primary = fleet.at(fleet.order.front()).metrics();
  REQUIRE(primary.server.granted == 3);
  REQUIRE(primary.buckets == 1);
  REQUIRE(fleet.entry().metrics().waits.count() == 3);
}

TEST_CASE("the quota server decides its own requests without a frame", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  REQUIRE(fleet.decide(fleet.at(fleet.order.front())).granted);
  REQUIRE(fleet.frames.empty());
}

TEST_CASE("over its limit a tenant is refused immediately, without a frame, and with a growing retry time",
          "[serving]") {
  Fleet fleet(8, tenantOf("t", 1, 1));
  // Exhausts the limit, waiting for each decision.
  while (fleet.decide(fleet.entry()).granted) {
  }
  const Duration first = fleet.decisions.back().retryAfter;
  REQUIRE(first > Duration{});
  fleet.deliverAll();
  const std::size_t framesBefore = fleet.frames.size();
  const std::size_t decisionsBefore = fleet.decisions.size();
  constexpr std::size_t kMore = 50;
  for (std::size_t request = 0; request < kMore; ++request) {
    fleet.acquire(fleet.entry());
  }
  REQUIRE(fleet.decisions.size() == decisionsBefore + kMore);
  fleet.deliverAll();
  REQUIRE(fleet.frames.size() == framesBefore);
  REQUIRE(fleet.decisions.back().retryAfter > first);
  REQUIRE(fleet.entry().metrics().client.refusedImmediately >= kMore);
}

TEST_CASE("a refusal over a limit is logged with the tenant, the retry time and the quota server",
          "[serving]") {
  const CapturedLog captured;
  Fleet fleet(8, tenantOf("t", 1, 1));
  while (fleet.decide(fleet.entry()).granted) {
  }
  const std::string start = R"("message":"tenant beyond its limit","tenant":"t","retry_after_ms":)";
  const std::string primary = R"(,"home":")" + fleet.order.front().text() + "\"";
  const std::string atEntry = captured.text();
  CAPTURE(atEntry);
  REQUIRE(atEntry.find(start) != std::string::npos);
  REQUIRE(atEntry.find(primary + "}") != std::string::npos);
  while (fleet.decide(fleet.at(fleet.order.front())).granted) {
  }
  // The quota server also logs the remaining tokens.
  REQUIRE(captured.text().find(primary + R"(,"tokens_left":)") != std::string::npos);
}

TEST_CASE("a token request goes to the successor if the primary quota server is unresponsive", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  fleet.unresponsive.insert(fleet.order.front());
  REQUIRE(fleet.decide(fleet.entry()).granted);
  REQUIRE(fleet.decisions.back().token->server == fleet.order[1]);
  REQUIRE(fleet.entry().metrics().client.unanswered == 1);
}

TEST_CASE("a token request goes to the successor immediately if its frame is undeliverable", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  fleet.unreachable.insert(fleet.order.front());
  fleet.acquire(fleet.entry());
  fleet.deliverAll();
  REQUIRE(fleet.decisions.size() == 1);
  REQUIRE(fleet.decisions[0].token->server == fleet.order[1]);
  // Later requests skip the unreachable daemon.
  fleet.frames.clear();
  fleet.acquire(fleet.entry());
  fleet.deliverAll();
  REQUIRE(fleet.decisions.size() == 2);
  REQUIRE(fleet.frames[0].first == fleet.order[1]);
}

TEST_CASE("a request is refused with a retry time if no quota server answers", "[serving]") {
  const CapturedLog captured;
  Fleet fleet(8, tenantOf("t", 8, 8));
  for (const Endpoint& daemon : fleet.order) {
    fleet.unresponsive.insert(daemon);
  }
  // It may ask itself in the end, so it must not know the tenant's limit either.
  fleet.entry().setTenants(nullptr);
  const QuotaDecision decision = fleet.decide(fleet.entry());
  REQUIRE_FALSE(decision.granted);
  REQUIRE(decision.retryAfter > Duration{});
  REQUIRE(decision.refusal == RefusalCause::kUnanswered);
  REQUIRE(captured.text().find(R"("message":"no daemon counted for the tenant","tenant":"t")") !=
          std::string::npos);
  REQUIRE(fleet.entry().metrics().client.refusedUnanswered == 1);
}

TEST_CASE("a token request goes to the successor if the quota server does not know the tenant", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  fleet.at(fleet.order.front()).setTenants(nullptr);
  fleet.acquire(fleet.entry());
  fleet.deliverAll();
  REQUIRE(fleet.decisions.size() == 1);
  REQUIRE(fleet.decisions[0].granted);
  REQUIRE(fleet.decisions[0].token->server == fleet.order[1]);
}

TEST_CASE("a successor of a responsive quota server grants only its initial tokens, and probes that server",
          "[serving]") {
  Fleet fleet(8, tenantOf("t", 1, 1));
  const QuotaPlan plan = planQuota(TenantLimit{1, 1}, kTolerance);
  QuotaEnforcer& successor = fleet.at(fleet.order[1]);
  // As sent by a daemon that cannot reach the primary.
  TokenRequest request;
  request.set_sender_run(5);
  TenantTokens* tokens = request.add_tenants();
  tokens->set_tenant("t");
  tokens->set_wanted(100);
  request.set_number(1);
  successor.onRequest(fleet.order.back(), request);
  fleet.deliverAll();
  REQUIRE(successor.metrics().server.granted == static_cast<std::uint64_t>(plan.initialLevel));
  const bool probed = std::any_of(fleet.frames.begin(), fleet.frames.end(), [&](const auto& frame) {
    return frame.first == fleet.order.front() && frame.second.token_request().tenants().empty();
  });
  REQUIRE(probed);
}

TEST_CASE("the token of a request that did not run is returned to the quota server that granted it",
          "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  const QuotaDecision decision = fleet.decide(fleet.entry());
  fleet.entry().release("t", decision.token);
  fleet.deliverAll();
  REQUIRE(fleet.at(fleet.order.front()).metrics().server.returned == 1);
  fleet.entry().release("t", std::nullopt);
  fleet.deliverAll();
  REQUIRE(fleet.at(fleet.order.front()).metrics().server.returned == 1);
}

TEST_CASE("duplicate frames count once, and replies to other processes are ignored", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  QuotaEnforcer& primary = fleet.at(fleet.order.front());
  fleet.acquire(fleet.entry());
  fleet.deliverAll();
  REQUIRE(fleet.decisions.size() == 1);
  primary.onRequest(fleet.order.back(), fleet.frames[0].second.token_request());
  REQUIRE(primary.metrics().server.granted == 1);
  REQUIRE(primary.metrics().server.framesIgnored == 1);

  fleet.unresponsive.insert(fleet.order.front());
  fleet.acquire(fleet.entry());
  TokenReply reply;
  reply.set_receiver_run(fleet.frames[0].second.token_request().sender_run() + 1);
  reply.set_number(fleet.frames[0].second.token_request().number() + 1);
  TokenGrant* grant = reply.add_grants();
  grant->set_tenant("t");
  grant->set_granted(1);
  fleet.deliverAll();
  fleet.entry().onReply(fleet.order.front(), reply);
  REQUIRE(fleet.decisions.size() == 1);
  runUntil(fleet.context, [&] { return fleet.decisions.size() == 2; });
}

// Guards against a window limit that is exceeded because a suspended server and its successor both refill.
TEST_CASE("a quota server does not refill for the time in which it was suspended", "[serving][suspension]") {
  const CapturedLog captured;
  Fleet fleet(8, tenantOf("t", 8, 8));
  QuotaEnforcer& primary = fleet.at(fleet.order.front());
  while (fleet.decide(primary).granted) {
  }
  const Suspension suspension;
  REQUIRE_FALSE(fleet.decide(primary).granted);
  REQUIRE(captured.text().find("quota server was suspended") != std::string::npos);
}

TEST_CASE("a lowered limit takes effect at the quota server immediately", "[serving]") {
  // The initial bucket holds far more than the capacity under the lowered limit.
  Fleet fleet(8, tenantOf("t", 80, 80));
  REQUIRE(fleet.decide(fleet.entry()).granted);
  const Tenant lowered = tenantOf("t", 0.1, 1);
  QuotaEnforcer& primary = fleet.at(fleet.order.front());
  primary.setTenants(std::make_shared<const TenantTable>(std::vector<Tenant>{lowered}));
  const QuotaPlan plan = planQuota(lowered.limit, kTolerance);
  std::size_t granted = 0;
  while (fleet.decide(fleet.entry()).granted) {
    ++granted;
  }
  REQUIRE(granted <= static_cast<std::size_t>(plan.capacity) + 1);
}

}  // namespace oakpier::serving
