#pragma once

/// Asks, for a request of a limited tenant, whether the fleet's allowance of that tenant lets it through, and
/// counts for the tenants whose home this daemon is. Runs on the request thread.
///
/// Invariants: one decision a request, at most `kLongestAsk` after the call; a request is only let through on
/// a token; a token that was given back lets another request through. Nothing is sent while no tenant that
/// has a limit asks.

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

/// Until a request is decided on, whoever is silent. Timers of a busy daemon may come a little later.
inline constexpr Duration kLongestAsk = kMaxQuotaServersTried * kQuotaServerTimeout;

struct QuotaDecision {
  bool granted = true;
  /// When not granted: how long until the tenant may come back, and why.
  Duration retryAfter{};
  RefusalCause refusal = RefusalCause::kNoTokens;
  /// What the request was let through on; none where the tenant has no limit.
  std::optional<Token> token;
};

struct QuotaFigures {
  QuotaClientCounters holder;
  QuotaServerCounters home;
  /// Tenants that this daemon counts for.
  std::size_t buckets = 0;
  /// Tokens that lie here unused.
  std::size_t tokensHeld = 0;
  /// From the request to the decision, of those that had to wait for one.
  LatencyHistogram waits;
  std::uint64_t logLinesLeftOut = 0;
};

class QuotaLink {
 public:
  using Listener = std::function<void(const QuotaDecision&)>;
  using SendFrame = std::function<void(const Endpoint&, PeerEnvelope)>;

  QuotaLink(boost::asio::io_context& io, RandomEngine& random, const Endpoint& self, SendFrame sendFrame);

  /// Calls `listener` once: at once where a token is at hand or the tenant has no limit, else when the daemon
  /// that counts for the tenant has answered. `tenant` need not outlive the call.
  void take(const Tenant& tenant, Listener listener);
  /// The request for which the token was taken surely ran nowhere.
  void giveBack(const std::string& tenant, const std::optional<Token>& token);

  void setTolerance(const QuotaTolerance& tolerance);
  /// Null: none. The limits that this daemon counts by.
  void setTenants(std::shared_ptr<const TenantTable> tenants);
  /// All serving daemons, this one included, in rising order of their addresses. `planned`: how many to
  /// reckon with until the table is settled.
  void setDaemons(const std::vector<ServingDaemon>& daemons, std::size_t planned, bool settled);
  /// All of them that are suspected to have ended.
  void setSuspected(const std::vector<Endpoint>& suspected);

  void onRequest(const Endpoint& sender, const TokenRequest& request);
  void onReply(const Endpoint& sender, const TokenReply& reply);
  void onUndeliverable(const TokenRequest& request);

  QuotaFigures figures() const;

 private:
  struct Waiting {
    Listener listener;
    Moment cameAt{};
  };

  /// Sends what is due, at the end of what is being handled: so requests that came together ask together.
  void scheduleFlush();
  void flush();
  void send(const OutgoingTokenRequest& ask, Moment now);
  void askForSignOfLife(const Endpoint& daemon, Moment now);
  std::vector<TenantGrant> grant(const std::vector<TenantTokenRequest>& wishes, Moment now);
  void decide(const std::vector<TokenDecision>& decisions);
  void refuse(const std::string& tenant, const TokenRefusal& refusal, const Listener& listener, Moment now);
  void logRefusal(const std::string& tenant, const TokenRefusal& refusal, Moment now);
  void armTimer();
  void scheduleUpkeep();
  void updateShare();

  boost::asio::io_context& io_;
  Endpoint self_;
  SendFrame sendFrame_;
  /// Tells this process from earlier ones at its address.
  std::uint64_t run_;
  QuotaServerSelector homes_;
  QuotaClient holder_;
  QuotaServer home_;
  FleetVisibility share_;
  std::shared_ptr<const TenantTable> tenants_;
  std::unordered_map<TokenTicket, Waiting> waiting_;
  std::size_t suspected_ = 0;
  std::size_t planned_ = 1;
  bool settled_ = false;
  bool flushing_ = false;
  bool keepingUp_ = false;
  Moment armedFor_ = kNever;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer upkeepTimer_;
  LatencyHistogram waits_;
  /// Lines that may still be logged.
  double logRoom_;
  Moment logRoomAt_{};
  std::uint64_t logLinesLeftOut_ = 0;
};

}  // namespace oakpier::serving
