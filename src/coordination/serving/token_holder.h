#pragma once

/// Obtains tokens for the requests that arrive at this daemon: asks the tenant's quota server, tries the next
/// one if it doesn't respond, and caches refusals so that a tenant beyond its limit causes little traffic.
///
/// Invariants: each admitted request uses one token, at most `kTokenLife` after it was asked for; each
/// request gets one decision within `kMostTries` x `kTryTime`, plus the delay of the caller's timer; at most
/// one request for tokens per tenant is outstanding, and after a refusal there is none for
/// `kShortestExhausted`.

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
#include "coordination/serving/token_home.h"
#include "coordination/serving/token_homes.h"
#include "state/random.h"

namespace oakpier::serving {

/// How long one server may take to answer. Well above the round trip to another zone (3 ms) plus the queueing
/// delay on a busy daemon.
inline constexpr Duration kTryTime = std::chrono::milliseconds(25);
/// Servers tried in turn for one request.
inline constexpr unsigned kMostTries = 6;
/// Tokens prefetched for each tenant whose requests are less than `kTokenLife` apart. 0 disables prefetching.
inline constexpr std::size_t kAdvance = 1;

/// Admits one request.
struct Token {
  /// The quota server that granted it.
  Endpoint home;
  Moment askedAt{};
};

/// Why a request is refused.
enum class RefusalCause {
  /// The tenant's quota server had none left.
  kNoTokens,
  /// None of the servers that were tried answered.
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
struct TokenAsk {
  Endpoint home;
  std::uint64_t number = 0;
  std::vector<TokenWish> wishes;
};

struct TokenHolderCounters {
  /// Frames that request tokens.
  std::uint64_t asks = 0;
  /// Requests admitted.
  std::uint64_t granted = 0;
  /// Subset of `granted`: on a prefetched token, without waiting.
  std::uint64_t grantedAtOnce = 0;
  std::uint64_t refused = 0;
  /// Subset of `refused`: on a cached refusal, without asking a server.
  std::uint64_t refusedAtOnce = 0;
  /// Subset of `refused`: none of the servers that were tried answered.
  std::uint64_t refusedUnanswered = 0;
  /// Token requests that timed out or could not be delivered.
  std::uint64_t unanswered = 0;
  /// Tokens that expired unused.
  std::uint64_t lapsed = 0;
  std::uint64_t givenBack = 0;
};

/// Not thread-safe.
class TokenHolder {
 public:
  /// `homes` and `random` must outlive it.
  TokenHolder(TokenHomes& homes, RandomEngine& random, std::size_t advance = kAdvance)
      : homes_(homes), random_(random), advance_(advance) {}

  void setTolerance(const QuotaTolerance& tolerance) { tolerance_ = tolerance; }

  /// Precondition: `limit.limited()`.
  TokenOutcome take(const std::string& tenant, const TenantLimit& limit, Moment now);
  /// Only for a token whose request certainly ran on no leaf.
  void giveBack(const std::string& tenant, const Token& token, Moment now);

  /// Frames that are due to be sent.
  std::vector<TokenAsk> takeAsks(Moment now);
  std::vector<TokenDecision> onGrants(const Endpoint& home, std::uint64_t number,
                                      const std::vector<TokenGrantDecision>& grants, Moment now);
  /// The frame could not be delivered.
  std::vector<TokenDecision> onUndelivered(std::uint64_t number, Moment now);
  std::vector<TokenDecision> onTime(Moment now);
  /// When `onTime` is due; `kNever` while no request is outstanding.
  Moment nextTimeAt() const;
  /// Removes the state of tenants without requests in the last 30 seconds.
  void dropIdle(Moment now);

  /// Tenants with recent requests.
  std::size_t tenants() const { return pockets_.size(); }
  /// Prefetched tokens.
  std::size_t held() const;
  const TokenHolderCounters& counters() const { return counters_; }

 private:
  struct Waiter {
    TokenTicket ticket = 0;
    Moment cameAt{};
  };
  struct Ask {
    Endpoint home;
    std::uint64_t number = 0;
    Moment askedAt{};
    /// Requests that it is for; 0: it prefetches.
    std::size_t wanted = 0;
  };
  struct Pocket {
    TenantLimit limit;
    std::deque<Token> tokens;
    std::deque<Waiter> waiting;
    /// The outstanding one.
    std::optional<Ask> ask;
    /// Servers that did not answer for the waiting requests.
    std::vector<Endpoint> tried;
    bool aheadWanted = false;
    /// Requests are refused without asking until then.
    Moment exhaustedUntil{};
    /// From the retry time in the last refusal.
    Moment nextTokenAt{};
    /// Requests refused since that refusal.
    double refusedSince = 0;
    Moment usedAt{};
  };

  void dropLapsed(Pocket& pocket, Moment now);
  TokenRefusal refuse(Pocket& pocket, RefusalCause cause, Moment now);
  /// Schedules a prefetch if the tenant's requests are frequent.
  void noteUse(const std::string& tenant, Pocket& pocket, Moment now);
  std::optional<Endpoint> nextHome(const std::string& tenant, const Pocket& pocket, Moment now);
  /// Admits waiting requests, oldest first, while there are tokens.
  void serveWaiting(const std::string& tenant, Pocket& pocket, Moment now,
                    std::vector<TokenDecision>& decisions);
  void refuseWaiting(const std::string& tenant, Pocket& pocket, RefusalCause cause, Moment now,
                     std::vector<TokenDecision>& decisions);
  /// Drops the outstanding request, then tries the next server or refuses the waiting requests.
  void moveOn(const std::string& tenant, Pocket& pocket, Moment now, std::vector<TokenDecision>& decisions);
  void onGrant(const Endpoint& home, std::uint64_t number, Moment askedAt, const TokenGrantDecision& grant,
               Moment now, std::vector<TokenDecision>& decisions);

  TokenHomes& homes_;
  RandomEngine& random_;
  std::size_t advance_;
  QuotaTolerance tolerance_;
  std::unordered_map<std::string, Pocket> pockets_;
  /// Tenants for which tokens are to be requested.
  std::unordered_set<std::string> due_;
  /// Tenants with an outstanding request for tokens.
  std::unordered_set<std::string> asking_;
  /// Tokens to return, by the server that granted them and by tenant.
  std::map<Endpoint, std::map<std::string, std::uint32_t>> returns_;
  /// When each frame was sent, by frame number, while its reply is of use.
  std::map<std::uint64_t, Moment> sent_;
  std::uint64_t lastNumber_ = 0;
  TokenTicket lastTicket_ = 0;
  TokenHolderCounters counters_;
};

}  // namespace oakpier::serving
