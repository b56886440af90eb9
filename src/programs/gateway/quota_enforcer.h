#pragma once

/// Enforces tenant limits over the whole fleet: decides whether a request of a limited tenant is admitted,
/// and answers the token requests that peers send to it as a quota server. Runs on the request thread.
///
/// Invariants: each request gets exactly one decision, at most `kMaxDecisionTime` after the call; a request
/// of a limited tenant is admitted only with a token; a released token can admit another request. Nothing is
/// sent while there are no requests of limited tenants.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/fleet_visibility.h"
#include "coordination/serving/quota_client.h"
#include "coordination/serving/quota_server.h"
#include "coordination/serving/quota_server_selector.h"
#include "oakpier/peer.pb.h"
#include "programs/gateway/latency_histogram.h"
#include "state/endpoint.h"
#include "state/random.h"
#include "state/serving/tenant.h"
#include "state/serving/tenant_table.h"
#include "state/time.h"

namespace oakpier::serving {

/// Upper bound on the time to a decision if all quota servers are unresponsive. Timers of a busy daemon may
/// fire slightly later.
inline constexpr Duration kMaxDecisionTime = kMaxQuotaServersTried * kQuotaServerTimeout;

struct QuotaDecision {
  bool granted = true;
  /// If not granted: when the caller may retry, and why it was refused.
  Duration retryAfter{};
  RefusalCause refusal = RefusalCause::kNoTokens;
  /// The token that admitted the request; empty if the tenant has no limit.
  std::optional<Token> token;
};

struct QuotaMetrics {
  QuotaClientCounters client;
  QuotaServerCounters server;
  /// Tenants that this daemon is a quota server for.
  std::size_t buckets = 0;
  /// Unused tokens held by this daemon's quota client.
  std::size_t tokensHeld = 0;
  /// Time to the decision, of requests that were not decided immediately.
  LatencyHistogram waits;
  std::uint64_t logLinesSuppressed = 0;
};

class QuotaEnforcer {
 public:
  using Listener = std::function<void(const QuotaDecision&)>;
  using SendFrame = std::function<void(const Endpoint&, PeerEnvelope)>;

  QuotaEnforcer(boost::asio::io_context& io, RandomEngine& random, const Endpoint& self, SendFrame sendFrame);

  /// Calls `listener` exactly once: before returning if the decision needs no answer from a quota server (no
  /// limit, or a token or a refusal is known), otherwise on the answer or a timeout. `tenant` need not
  /// outlive the call.
  void acquire(const Tenant& tenant, Listener listener);
  /// Releases the token of a request that certainly did not run on any leaf.
  void release(const std::string& tenant, const std::optional<Token>& token);

  void setTolerance(const QuotaTolerance& tolerance);
  /// Sets the limits that this daemon enforces as a quota server; null for none.
  void setTenants(std::shared_ptr<const TenantTable> tenants);
  /// `daemons`: all serving daemons including this one, sorted by address. `planned`: the number of daemons
  /// to assume until membership is stable.
  void setDaemons(const std::vector<ServingDaemon>& daemons, std::size_t planned, bool membershipStable);
  /// `suspected`: all daemons that the membership protocol suspects.
  void setSuspected(const std::vector<Endpoint>& suspected);

  void onRequest(const Endpoint& sender, const TokenRequest& request);
  void onReply(const Endpoint& sender, const TokenReply& reply);
  void onUndeliverable(const TokenRequest& request);

  QuotaMetrics metrics() const;

 private:
  struct PendingDecision {
    Listener listener;
    Moment receivedAt{};
  };

  /// Sends due token requests after the current event-loop turn, so that concurrent requests share a frame.
  void scheduleFlush();
  void flush();
  void send(const OutgoingTokenRequest& outgoing, Moment now);
  void sendProbe(const Endpoint& daemon, Moment now);
  std::vector<TenantGrant> grant(const std::vector<TenantTokenRequest>& tenantRequests, Moment now);
  void decide(const std::vector<TokenDecision>& decisions);
  void refuse(const std::string& tenant, const TokenRefusal& refusal, const Listener& listener, Moment now);
  void logRefusal(const std::string& tenant, const TokenRefusal& refusal, Moment now);
  void armTimer();
  /// Tells the quota server that the process runs, now and while it has buckets; logs a suspension.
  void showActivity(Moment now);
  void scheduleActivity();
  void scheduleCleanup();
  void updateVisibility();

  boost::asio::io_context& io_;
  Endpoint self_;
  SendFrame sendFrame_;
  /// Random number that distinguishes this process from earlier ones at its address.
  std::uint64_t runId_;
  QuotaServerSelector serverSelector_;
  QuotaClient client_;
  QuotaServer server_;
  FleetVisibility visibility_;
  std::shared_ptr<const TenantTable> tenants_;
  std::unordered_map<TokenTicket, PendingDecision> pending_;
  std::size_t suspectedDaemons_ = 0;
  std::size_t plannedDaemons_ = 1;
  bool membershipStable_ = false;
  bool flushScheduled_ = false;
  bool cleanupScheduled_ = false;
  bool activityScheduled_ = false;
  Moment armedFor_ = kNever;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer cleanupTimer_;
  boost::asio::steady_timer activityTimer_;
  LatencyHistogram waits_;
  /// Token bucket that limits log lines.
  double logTokens_;
  Moment logTokensRefilledAt_{};
  std::uint64_t logLinesSuppressed_ = 0;
};

}  // namespace oakpier::serving
