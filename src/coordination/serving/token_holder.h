#pragma once

/// Takes tokens of tenants for the requests that arrive at this daemon: asks the tenant's home, moves on to
/// the next daemon where it is silent, and remembers for how long a tenant has none.
///
/// Invariants: a request is let through on one token, which is used at most `kTokenLife` after it was asked
/// for; each request gets one decision, at most `kMostTries` x `kTryTime` after it came, give or take the
/// caller's timer; one ask a tenant is out at a time, and a tenant beyond its limit costs at most one ask
/// every `kShortestExhausted`.

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

/// Far more than the way to another zone and back (3 ms) and than what a busy daemon's frames wait; a home
/// that has ended costs its tenants this much once until it counts as silent. `kMostTries` of it are what a
/// request waits at most.
inline constexpr Duration kTryTime = std::chrono::milliseconds(25);
/// Daemons that are asked, one after the other, for one request.
inline constexpr unsigned kMostTries = 6;
/// Tokens held ahead of requests for each tenant that comes again within `kTokenLife`; 0: each request asks.
inline constexpr std::size_t kAdvance = 1;

/// Lets one request through.
struct Token {
  /// The daemon that counted it.
  Endpoint home;
  Moment askedAt{};
};

/// Why a request is not let through.
enum class RefusalCause {
  /// The daemon that counts for the tenant had none left.
  kNoTokens,
  /// No daemon that could count for the tenant answered.
  kUnanswered,
};

struct TokenRefusal {
  Duration retryAfter{};
  RefusalCause cause = RefusalCause::kNoTokens;
};

using TokenTicket = std::uint64_t;

/// The decision comes with this ticket, later.
struct TokenPending {
  TokenTicket ticket = 0;
};

using TokenOutcome = std::variant<Token, TokenRefusal, TokenPending>;

struct TokenDecision {
  TokenTicket ticket = 0;
  std::string tenant;
  std::variant<Token, TokenRefusal> decision;
  /// From the request's coming.
  Duration waited{};
};

/// A frame to a daemon, perhaps this one.
struct TokenAsk {
  Endpoint home;
  std::uint64_t number = 0;
  std::vector<TokenWish> wishes;
};

struct TokenHolderCounters {
  /// Frames that ask.
  std::uint64_t asks = 0;
  /// Requests let through.
  std::uint64_t granted = 0;
  /// Of these, without waiting.
  std::uint64_t grantedAtOnce = 0;
  std::uint64_t refused = 0;
  /// Of these, without an ask.
  std::uint64_t refusedAtOnce = 0;
  /// Of these, as no daemon that could count for the tenant answered.
  std::uint64_t refusedUnanswered = 0;
  /// Asks that were left unanswered.
  std::uint64_t unanswered = 0;
  /// Tokens that nobody used in time.
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

  /// `limit` is limited.
  TokenOutcome take(const std::string& tenant, const TenantLimit& limit, Moment now);
  /// The request for which the token was taken surely ran nowhere.
  void giveBack(const std::string& tenant, const Token& token, Moment now);

  /// What is to be sent now.
  std::vector<TokenAsk> takeAsks(Moment now);
  std::vector<TokenDecision> onGrants(const Endpoint& home, std::uint64_t number,
                                      const std::vector<TokenGrantDecision>& grants, Moment now);
  /// The frame never reached the daemon.
  std::vector<TokenDecision> onUndelivered(std::uint64_t number, Moment now);
  std::vector<TokenDecision> onTimer(Moment now);
  /// When `onTimer` is due; `kNever` while nothing is out.
  Moment nextTimeAt() const;
  /// Forgets tenants that nobody asked for in a long time.
  void dropIdle(Moment now);

  /// Tenants that asked lately.
  std::size_t tenants() const { return pockets_.size(); }
  /// Tokens that lie here unused.
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
    /// Requests that it is for; 0: for a token ahead.
    std::size_t wanted = 0;
  };
  struct Pocket {
    TenantLimit limit;
    std::deque<Token> tokens;
    std::deque<Waiter> waiting;
    /// The one that is out.
    std::optional<Ask> ask;
    /// Daemons that did not answer for the requests that wait.
    std::vector<Endpoint> tried;
    bool aheadWanted = false;
    Moment exhaustedUntil{};
    /// What the home told at the last refusal.
    Moment nextTokenAt{};
    /// Requests refused here since.
    double refusedSince = 0;
    Moment usedAt{};
  };

  void dropLapsed(Pocket& pocket, Moment now);
  TokenRefusal refuse(Pocket& pocket, RefusalCause cause, Moment now);
  /// Takes tokens ahead for tenants that come often.
  void noteUse(const std::string& tenant, Pocket& pocket, Moment now);
  std::optional<Endpoint> nextHome(const std::string& tenant, const Pocket& pocket, Moment now);
  /// Lets those through that tokens are there for.
  void serveWaiting(const std::string& tenant, Pocket& pocket, Moment now,
                    std::vector<TokenDecision>& decisions);
  void refuseWaiting(const std::string& tenant, Pocket& pocket, RefusalCause cause, Moment now,
                     std::vector<TokenDecision>& decisions);
  /// The daemon that was asked will not answer: the next one, or a refusal.
  void moveOn(const std::string& tenant, Pocket& pocket, Moment now, std::vector<TokenDecision>& decisions);
  void onGrant(const Endpoint& home, std::uint64_t number, Moment askedAt, const TokenGrantDecision& grant,
               Moment now, std::vector<TokenDecision>& decisions);

  TokenHomes& homes_;
  RandomEngine& random_;
  std::size_t advance_;
  QuotaTolerance tolerance_;
  std::unordered_map<std::string, Pocket> pockets_;
  /// Tenants for which an ask is to be sent.
  std::unordered_set<std::string> due_;
  /// Tenants for which one is out.
  std::unordered_set<std::string> asking_;
  std::map<Endpoint, std::map<std::string, std::uint32_t>> returns_;
  /// When frames were sent to which a reply may still come.
  std::map<std::uint64_t, Moment> sent_;
  std::uint64_t lastNumber_ = 0;
  TokenTicket lastTicket_ = 0;
  TokenHolderCounters counters_;
};

}  // namespace oakpier::serving
