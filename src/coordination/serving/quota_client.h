#pragma once

/// Obtains tokens for the requests that arrive at this daemon: asks the tenant's quota server, tries the next
/// one if it doesn't respond, and caches refusals so that a tenant beyond its limit causes little traffic.
///
/// Invariants: each admitted request uses one token, at most `kTokenLifetime` after that was requested; each
/// request gets one decision within `kMaxQuotaServersTried` x `kQuotaServerTimeout`, plus the delay of the
/// caller's timer; at most one request for tokens per tenant is outstanding, and after a refusal by a
/// server there is none for `kMinRefusalCacheTime`.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "coordination/serving/quota_plan.h"
#include "coordination/serving/quota_server.h"
#include "coordination/serving/quota_server_selector.h"
#include "state/random.h"

namespace oakpier::serving {

/// How long one server may take to answer. Well above the round trip to another zone (3 ms) plus the queueing
/// delay on a busy daemon. A request waits at most `kMaxQuotaServersTried` times this.
inline constexpr Duration kQuotaServerTimeout = std::chrono::milliseconds(25);
/// Servers tried in turn for one request.
inline constexpr unsigned kMaxQuotaServersTried = 6;
/// Tokens prefetched for each tenant whose requests are less than `kTokenLifetime` apart. 0 disables
/// prefetching.
inline constexpr std::size_t kPrefetchedTokens = 1;

/// Admits one request.
struct Token {
  /// The quota server that granted it.
  Endpoint server;
  Moment requestedAt{};
};

/// Why a request is refused.
enum class RefusalCause {
  /// The tenant's quota server had none left.
  kNoTokens,
  /// The servers that were tried did not answer or don't know the tenant's limit.
  kUnanswered,
};

struct TokenRefusal {
  Duration retryAfter{};
  RefusalCause cause = RefusalCause::kNoTokens;
};

using TokenTicket = std::uint64_t;

/// The decision follows as a `TokenDecision` with this ticket.
struct TokenPending {
  TokenTicket ticket = 0;
};

using TokenOutcome = std::variant<Token, TokenRefusal, TokenPending>;

struct TokenDecision {
  TokenTicket ticket = 0;
  std::string tenant;
  std::variant<Token, TokenRefusal> decision;
  /// Since the request arrived.
  Duration waited{};
};

/// A frame to a quota server, which may be this daemon.
struct OutgoingTokenRequest {
  Endpoint server;
  std::uint64_t number = 0;
  std::vector<TenantTokenRequest> tenantRequests;
};

struct QuotaClientCounters {
  /// Frames sent that request tokens.
  std::uint64_t requests = 0;
  /// Requests admitted.
  std::uint64_t granted = 0;
  /// Subset of `granted`: on a prefetched token, without waiting.
  std::uint64_t grantedImmediately = 0;
  std::uint64_t refused = 0;
  /// Subset of `refused`: on a cached refusal, without asking a server.
  std::uint64_t refusedImmediately = 0;
  /// Subset of `refused`: with cause `kUnanswered`.
  std::uint64_t refusedUnanswered = 0;
  /// Requests to servers that timed out or could not be delivered.
  std::uint64_t unanswered = 0;
  /// Tokens that expired unused.
  std::uint64_t expired = 0;
  std::uint64_t released = 0;
};

/// Not thread-safe.
class QuotaClient {
 public:
  /// `selector` and `random` must outlive it.
  QuotaClient(QuotaServerSelector& selector, RandomEngine& random,
              std::size_t prefetchLimit = kPrefetchedTokens)
      : selector_(selector), random_(random), prefetchLimit_(prefetchLimit) {}

  void setTolerance(const QuotaTolerance& tolerance) { tolerance_ = tolerance; }

  /// Precondition: `limit.limited()`.
  TokenOutcome take(const std::string& tenant, const TenantLimit& limit, Moment now);
  /// Returns a token to its server, unless it is about to expire. Only for a token whose request certainly
  /// ran on no leaf.
  void release(const std::string& tenant, const Token& token, Moment now);

  /// Frames that are due to be sent.
  std::vector<OutgoingTokenRequest> takeRequests(Moment now);
  std::vector<TokenDecision> onGrants(const Endpoint& server, std::uint64_t number,
                                      const std::vector<TenantGrant>& grants, Moment now);
  /// The frame could not be delivered.
  std::vector<TokenDecision> onSendFailed(std::uint64_t number, Moment now);
  std::vector<TokenDecision> onTimer(Moment now);
  /// When `onTimer` is due; `kNever` while no request is outstanding.
  Moment nextDueAt() const;
  /// Removes the state of tenants without requests in the last 30 seconds.
  void dropIdle(Moment now);

  /// Tenants with recent requests.
  std::size_t tenants() const { return tenants_.size(); }
  /// Prefetched tokens.
  std::size_t prefetchedTokens() const;
  const QuotaClientCounters& counters() const { return counters_; }

 private:
  struct Waiter {
    TokenTicket ticket = 0;
    Moment arrivedAt{};
  };
  struct PendingRequest {
    Endpoint server;
    std::uint64_t number = 0;
    Moment requestedAt{};
    /// Number of waiting requests that it asks for; 0: a prefetch.
    std::size_t wanted = 0;
  };
  struct TenantState {
    TenantLimit limit;
    std::deque<Token> tokens;
    std::deque<Waiter> waiting;
    /// The outstanding request for tokens.
    std::optional<PendingRequest> pending;
    /// Servers tried for the waiting requests that did not answer or don't know the tenant's limit.
    std::vector<Endpoint> tried;
    bool prefetchDue = false;
    /// Requests are refused without asking until then.
    Moment refuseUntil{};
    /// When the server expects to have a token, from its last refusal.
    Moment nextTokenAt{};
    /// Requests refused since that refusal.
    double refusedSinceReply = 0;
    Moment lastUsedAt{};
  };

  void dropExpired(TenantState& state, Moment now);
  TokenRefusal refuse(TenantState& state, RefusalCause cause, Moment now);
  /// Schedules a prefetch if the tenant's requests are frequent.
  void recordUse(const std::string& tenant, TenantState& state, Moment now);
  std::optional<Endpoint> nextServer(const std::string& tenant, const TenantState& state, Moment now);
  /// Admits waiting requests, oldest first, while there are tokens.
  void serveWaiting(const std::string& tenant, TenantState& state, Moment now,
                    std::vector<TokenDecision>& decisions);
  void refuseWaiting(const std::string& tenant, TenantState& state, RefusalCause cause, Moment now,
                     std::vector<TokenDecision>& decisions);
  /// Drops the outstanding request, then tries the next server or refuses the waiting requests.
  void tryNextServer(const std::string& tenant, TenantState& state, Moment now,
                     std::vector<TokenDecision>& decisions);
  void onGrant(const Endpoint& server, std::uint64_t number, Moment requestedAt, const TenantGrant& grant,
               Moment now, std::vector<TokenDecision>& decisions);

  QuotaServerSelector& selector_;
  RandomEngine& random_;
  std::size_t prefetchLimit_;
  QuotaTolerance tolerance_;
  std::unordered_map<std::string, TenantState> tenants_;
  /// Tenants for which tokens are to be requested.
  std::unordered_set<std::string> dueTenants_;
  /// Tenants with an outstanding request for tokens.
  std::unordered_set<std::string> pendingTenants_;
  /// Tokens to return, by the server that granted them and by tenant.
  std::map<Endpoint, std::map<std::string, std::uint32_t>> releasedTokens_;
  /// When each frame was sent, by frame number, while its reply is of use.
  std::map<std::uint64_t, Moment> framesSentAt_;
  std::uint64_t lastNumber_ = 0;
  TokenTicket lastTicket_ = 0;
  QuotaClientCounters counters_;
};

}  // namespace oakpier::serving
