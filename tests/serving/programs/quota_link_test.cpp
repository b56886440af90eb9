/// Limits of tenants between daemons of one process; frames are carried, lost and counted by the test.

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
    order = rankQuotaServers(tenant.name, all_);
  }

  /// The daemons in the order in which they count for the tenant.
  std::vector<Endpoint> order;
  QuotaLink& at(const Endpoint& address) { return *links_.at(address); }
  /// One that is not asked.
  QuotaLink& entry() { return at(order.back()); }
  void take(QuotaLink& link) {
    link.take(tenant_, [this](const QuotaDecision& decision) { decisions.push_back(decision); });
  }
  /// Takes for one request and waits for the decision.
  QuotaDecision decide(QuotaLink& link) {
    const std::size_t before = decisions.size();
    take(link);
    runUntil(context, [&] { return decisions.size() > before; });
    return decisions.back();
  }
  /// Until nothing is on the way.
  void drain() {
    context.restart();
    context.poll();
  }

  boost::asio::io_context context;
  RandomEngine random{7};
  std::vector<QuotaDecision> decisions;
  std::vector<std::pair<Endpoint, PeerEnvelope>> frames;
  /// Frames to these vanish.
  std::set<Endpoint> silent;
  /// Frames to these come back as undeliverable.
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

TEST_CASE("a tenant without a limit is let through at once and costs no frame", "[serving]") {
  Fleet fleet(8, tenantOf("free", 0, 0));
  fleet.take(fleet.entry());
  REQUIRE(fleet.decisions.size() == 1);
  REQUIRE(fleet.decisions[0].granted);
  REQUIRE_FALSE(fleet.decisions[0].token);
  fleet.drain();
  REQUIRE(fleet.frames.empty());
}

TEST_CASE("requests that come together ask the home in one frame", "[serving]") {
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

TEST_CASE("the home itself decides without a frame", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  REQUIRE(fleet.decide(fleet.at(fleet.order.front())).granted);
  REQUIRE(fleet.frames.empty());
}

TEST_CASE("beyond its limit a tenant is refused at once, without a frame, and told a growing time",
          "[serving]") {
  Fleet fleet(8, tenantOf("t", 1, 1));
  // Each at a daemon that knows nothing yet, or has waited for it.
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
  REQUIRE(fleet.entry().figures().holder.refusedImmediately >= kMore);
}

TEST_CASE("a refusal beyond a limit is logged with the tenant, the time and the home", "[serving]") {
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
  // The home itself knows what is left.
  REQUIRE(captured.text().find(home + R"(,"tokens_left":)") != std::string::npos);
}

TEST_CASE("the next daemon is asked while the home is silent", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  fleet.silent.insert(fleet.order.front());
  REQUIRE(fleet.decide(fleet.entry()).granted);
  REQUIRE(fleet.decisions.back().token->server == fleet.order[1]);
  REQUIRE(fleet.entry().figures().holder.unanswered == 1);
}

TEST_CASE("the next daemon is asked at once where the frame could not be sent", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  fleet.unreachable.insert(fleet.order.front());
  fleet.take(fleet.entry());
  fleet.drain();
  REQUIRE(fleet.decisions.size() == 1);
  REQUIRE(fleet.decisions[0].token->server == fleet.order[1]);
  // From now on it is passed over.
  fleet.frames.clear();
  fleet.take(fleet.entry());
  fleet.drain();
  REQUIRE(fleet.decisions.size() == 2);
  REQUIRE(fleet.frames[0].first == fleet.order[1]);
}

TEST_CASE("a request is refused and told when to come back where no daemon answers", "[serving]") {
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

TEST_CASE("a home that does not know the tenant passes it on to the next", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  fleet.at(fleet.order.front()).setTenants(nullptr);
  fleet.take(fleet.entry());
  fleet.drain();
  REQUIRE(fleet.decisions.size() == 1);
  REQUIRE(fleet.decisions[0].granted);
  REQUIRE(fleet.decisions[0].token->server == fleet.order[1]);
}

TEST_CASE("a daemon that steps in for one that still answers lets through what it began with", "[serving]") {
  Fleet fleet(8, tenantOf("t", 1, 1));
  const QuotaPlan plan = planQuota(TenantLimit{1, 1}, kTolerance);
  QuotaLink& standIn = fleet.at(fleet.order[1]);
  // As another daemon would that cannot reach the home.
  TokenRequest request;
  request.set_sender_run(5);
  TenantTokens* tokens = request.add_tenants();
  tokens->set_tenant("t");
  tokens->set_wanted(100);
  request.set_number(1);
  standIn.onRequest(fleet.order.back(), request);
  fleet.drain();
  REQUIRE(standIn.figures().home.granted == static_cast<std::uint64_t>(plan.initialLevel));
  const bool asked = std::any_of(fleet.frames.begin(), fleet.frames.end(), [&](const auto& frame) {
    return frame.first == fleet.order.front() && frame.second.token_request().tenants().empty();
  });
  REQUIRE(asked);
}

TEST_CASE("a token of a request that ran nowhere goes back to where it was counted", "[serving]") {
  Fleet fleet(8, tenantOf("t", 8, 8));
  const QuotaDecision decision = fleet.decide(fleet.entry());
  fleet.entry().giveBack("t", decision.token);
  fleet.drain();
  REQUIRE(fleet.at(fleet.order.front()).figures().home.returned == 1);
  fleet.entry().giveBack("t", std::nullopt);
  fleet.drain();
  REQUIRE(fleet.at(fleet.order.front()).figures().home.returned == 1);
}

TEST_CASE("frames that come twice count once, and replies to other processes are not believed", "[serving]") {
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

TEST_CASE("a lowered limit holds at the home at once", "[serving]") {
  // Its bucket begins with far more than the lowered limit's would ever hold.
  Fleet fleet(8, tenantOf("t", 80, 80));
  REQUIRE(fleet.decide(fleet.entry()).granted);
  const Tenant lowered = tenantOf("t", 0.1, 1);
  QuotaLink& home = fleet.at(fleet.order.front());
  home.setTenants(std::make_shared<const TenantTable>(std::vector<Tenant>{lowered}));
  const QuotaPlan plan = planQuota(lowered.limit, kTolerance);
  std::size_t granted = 0;
  while (fleet.decide(fleet.entry()).granted) {
    ++granted;
  }
  REQUIRE(granted <= static_cast<std::size_t>(plan.capacity) + 1);
}

}  // namespace oakpier::serving
