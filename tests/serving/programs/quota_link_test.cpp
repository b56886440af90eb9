/// Enforcement of tenant limits by several daemons in one process. The test delivers, drops and counts
/// frames.

#include "programs/gateway/quota_link.h"

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
      auto link = std::make_unique<QuotaLink>(context, random, self,
                                              [this, address = self](const Endpoint& to, PeerEnvelope frame) {
                                                carry(address, to, std::move(frame));
                                              });
      link->setTolerance(kTolerance);
      link->setTenants(std::make_shared<const TenantTable>(std::vector<Tenant>{tenant}));
      link->setDaemons(all_, daemons, true);
      links_.emplace(self, std::move(link));
    }
    order = rankHomes(tenant.name, all_);
  }

  /// The daemons in the order of their rank as quota servers of the tenant.
  std::vector<Endpoint> order;
  QuotaLink& at(const Endpoint& address) { return *links_.at(address); }
  /// The daemon with the last rank, which receives no token requests.
  QuotaLink& entry() { return at(order.back()); }
  void take(QuotaLink& link) {
    link.take(tenant_, [this](const QuotaDecision& decision) { decisions.push_back(decision); });
  }
  /// Requests a decision for one caller request and waits for it.
  QuotaDecision decide(QuotaLink& link) {
    const std::size_t before = decisions.size();
    take(link);
    runUntil(context, [&] { return decisions.size() > before; });
    return decisions.back();
  }
  /// Delivers all frames in transit.
  void drain() {
    context.restart();
    context.poll();
  }

  boost::asio::io_context context;
  RandomEngine random{7};
  std::vector<QuotaDecision> decisions;
  std::vector<std::pair<Endpoint, PeerEnvelope>> frames;
  /// Frames to these daemons are dropped.
  std::set<Endpoint> silent;
  /// Frames to these daemons are reported as undeliverable.
  std::set<Endpoint> unreachable;

 private:
  void carry(const Endpoint& from, const Endpoint& to, PeerEnvelope frame) {
    frames.emplace_back(to, frame);
    boost::asio::post(context, [this, from, to, frame = std::move(frame)] {
      if (unreachable.count(to) != 0) {
        if (frame.has_token_request()) {
          at(from).onUndeliverable(frame.token_request());
        }
      } else if (silent.count(to) != 0) {
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
  std::map<Endpoint, std::unique_ptr<QuotaLink>> links_;
};

}  // namespace

TEST_CASE("a tenant without a limit is admitted immediately and without a frame", "[serving]") {
  Fleet fleet(8, tenantOf("free", 0, 0));
  fleet.take(fleet.entry());
  REQUIRE(fleet.decisions.size() == 1);
  REQUIRE(fleet.decisions[0].granted);
  REQUIRE_FALSE(fleet.decisions[0].token);
  fleet.drain();
  REQUIRE(fleet.frames.empty());
}

TEST_CASE("concurrent requests share one frame to the quota server", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  for (int request = 0; request < 3; ++request) {
    fleet.take(fleet.entry());
  }
  runUntil(fleet.context, [&] { return fleet.decisions.size() == 3; });
  REQUIRE(fleet.frames[0].first == fleet.order.front());
  REQUIRE(fleet.frames[0].second.token_request().tenants(0).wanted() == 3);
  REQUIRE(fleet.frames[0].second.time_to_live_ms() > 0);
  REQUIRE(fleet.decisions[2].granted);
  const QuotaFigures home = fleet.at(fleet.order.front()).figures();
  REQUIRE(home.home.granted == 3);
  REQUIRE(home.buckets == 1);
  REQUIRE(fleet.entry().figures().waits.count() == 3);
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
  fleet.drain();
  const std::size_t framesBefore = fleet.frames.size();
  const std::size_t decisionsBefore = fleet.decisions.size();
  constexpr std::size_t kMore = 50;
  for (std::size_t request = 0; request < kMore; ++request) {
    fleet.take(fleet.entry());
  }
  REQUIRE(fleet.decisions.size() == decisionsBefore + kMore);
  fleet.drain();
  REQUIRE(fleet.frames.size() == framesBefore);
  REQUIRE(fleet.decisions.back().retryAfter > first);
  REQUIRE(fleet.entry().figures().holder.refusedAtOnce >= kMore);
}

TEST_CASE("a refusal over a limit is logged with the tenant, the retry time and the quota server",
          "[serving]") {
  const CapturedLog captured;
  Fleet fleet(8, tenantOf("t", 1, 1));
  while (fleet.decide(fleet.entry()).granted) {
  }
  const std::string start = R"("message":"tenant beyond its limit","tenant":"t","retry_after_ms":)";
  const std::string home = R"(,"home":")" + fleet.order.front().text() + "\"";
  const std::string atEntry = captured.text();
  CAPTURE(atEntry);
  REQUIRE(atEntry.find(start) != std::string::npos);
  REQUIRE(atEntry.find(home + "}") != std::string::npos);
  while (fleet.decide(fleet.at(fleet.order.front())).granted) {
  }
  // The quota server also logs the remaining tokens.
  REQUIRE(captured.text().find(home + R"(,"tokens_left":)") != std::string::npos);
}

TEST_CASE("a token request goes to the successor if the primary quota server is unresponsive", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  fleet.silent.insert(fleet.order.front());
  REQUIRE(fleet.decide(fleet.entry()).granted);
  REQUIRE(fleet.decisions.back().token->home == fleet.order[1]);
  REQUIRE(fleet.entry().figures().holder.unanswered == 1);
}

TEST_CASE("a token request goes to the successor immediately if its frame is undeliverable", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  fleet.unreachable.insert(fleet.order.front());
  fleet.take(fleet.entry());
  fleet.drain();
  REQUIRE(fleet.decisions.size() == 1);
  REQUIRE(fleet.decisions[0].token->home == fleet.order[1]);
  // Later requests skip the unreachable daemon.
  fleet.frames.clear();
  fleet.take(fleet.entry());
  fleet.drain();
  REQUIRE(fleet.decisions.size() == 2);
  REQUIRE(fleet.frames[0].first == fleet.order[1]);
}

TEST_CASE("a request is refused with a retry time if no quota server answers", "[serving]") {
  const CapturedLog captured;
  Fleet fleet(8, tenantOf("t", 8, 8));
  for (const Endpoint& daemon : fleet.order) {
    fleet.silent.insert(daemon);
  }
  const QuotaDecision decision = fleet.decide(fleet.entry());
  REQUIRE_FALSE(decision.granted);
  REQUIRE(decision.retryAfter > Duration{});
  REQUIRE(decision.refusal == RefusalCause::kUnanswered);
  REQUIRE(captured.text().find(R"("message":"no daemon counted for the tenant","tenant":"t")") !=
          std::string::npos);
  REQUIRE(fleet.entry().figures().holder.refusedUnanswered == 1);
}

TEST_CASE("a token request goes to the successor if the quota server does not know the tenant", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  fleet.at(fleet.order.front()).setTenants(nullptr);
  fleet.take(fleet.entry());
  fleet.drain();
  REQUIRE(fleet.decisions.size() == 1);
  REQUIRE(fleet.decisions[0].granted);
  REQUIRE(fleet.decisions[0].token->home == fleet.order[1]);
}

TEST_CASE("a successor of a responsive quota server grants only its initial tokens, and probes that server",
          "[serving]") {
  Fleet fleet(8, tenantOf("t", 1, 1));
  const QuotaPlan plan = planFor(TenantLimit{1, 1}, kTolerance);
  QuotaLink& standIn = fleet.at(fleet.order[1]);
  // As sent by a daemon that cannot reach the primary.
  TokenRequest request;
  request.set_sender_run(5);
  TenantTokens* tokens = request.add_tenants();
  tokens->set_tenant("t");
  tokens->set_wanted(100);
  request.set_number(1);
  standIn.onRequest(fleet.order.back(), request);
  fleet.drain();
  REQUIRE(standIn.figures().home.granted == static_cast<std::uint64_t>(plan.start));
  const bool asked = std::any_of(fleet.frames.begin(), fleet.frames.end(), [&](const auto& frame) {
    return frame.first == fleet.order.front() && frame.second.token_request().tenants().empty();
  });
  REQUIRE(asked);
}

TEST_CASE("the token of a request that did not run is returned to the quota server that granted it",
          "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  const QuotaDecision decision = fleet.decide(fleet.entry());
  fleet.entry().giveBack("t", decision.token);
  fleet.drain();
  REQUIRE(fleet.at(fleet.order.front()).figures().home.returned == 1);
  fleet.entry().giveBack("t", std::nullopt);
  fleet.drain();
  REQUIRE(fleet.at(fleet.order.front()).figures().home.returned == 1);
}

TEST_CASE("duplicate frames count once, and replies to other processes are ignored", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  QuotaLink& home = fleet.at(fleet.order.front());
  fleet.take(fleet.entry());
  fleet.drain();
  REQUIRE(fleet.decisions.size() == 1);
  home.onRequest(fleet.order.back(), fleet.frames[0].second.token_request());
  REQUIRE(home.figures().home.granted == 1);
  REQUIRE(home.figures().home.framesIgnored == 1);

  fleet.silent.insert(fleet.order.front());
  fleet.take(fleet.entry());
  TokenReply reply;
  reply.set_receiver_run(fleet.frames[0].second.token_request().sender_run() + 1);
  reply.set_number(fleet.frames[0].second.token_request().number() + 1);
  TokenGrant* grant = reply.add_grants();
  grant->set_tenant("t");
  grant->set_granted(1);
  fleet.drain();
  fleet.entry().onReply(fleet.order.front(), reply);
  REQUIRE(fleet.decisions.size() == 1);
  runUntil(fleet.context, [&] { return fleet.decisions.size() == 2; });
}

TEST_CASE("a lowered limit takes effect at the quota server immediately", "[serving]") {
  // The initial bucket holds far more than the capacity under the lowered limit.
  Fleet fleet(8, tenantOf("t", 80, 80));
  REQUIRE(fleet.decide(fleet.entry()).granted);
  const Tenant lowered = tenantOf("t", 0.1, 1);
  QuotaLink& home = fleet.at(fleet.order.front());
  home.setTenants(std::make_shared<const TenantTable>(std::vector<Tenant>{lowered}));
  const QuotaPlan plan = planFor(lowered.limit, kTolerance);
  std::size_t granted = 0;
  while (fleet.decide(fleet.entry()).granted) {
    ++granted;
  }
  REQUIRE(granted <= static_cast<std::size_t>(plan.capacity) + 1);
}

}  // namespace oakpier::serving
