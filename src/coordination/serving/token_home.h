#pragma once

/// Grants tokens to the daemons of the fleet from one token bucket per tenant. A daemon serves a tenant as
/// its primary, or as a successor while other daemons cannot reach its predecessors in the tenant's ranking.
///
/// Invariants: in any span, tokens granted less those returned are at most the bucket's capacity plus its
/// refill; each frame is processed at most once; returned tokens never raise a bucket beyond its capacity; a
/// successor that still receives from a predecessor grants no more than its initial level.

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/quota_plan.h"
#include "coordination/serving/token_homes.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier::serving {

/// Requests or returns tokens of one tenant.
struct TokenWish {
  std::string tenant;
  /// Tokens for requests that are waiting. 0 with nothing returned: prefetches one token.
  std::uint32_t wanted = 0;
  std::uint32_t returned = 0;

  bool asks() const { return wanted > 0 || returned == 0; }
};

struct TokenGrantDecision {
  std::string tenant;
  std::uint32_t granted = 0;
  /// Until a token may be available, if fewer were granted than requested. 0: this daemon does not know the
  /// tenant's limit.
  Duration retryAfter{};
};

struct TokenHomeCounters {
  std::uint64_t granted = 0;
  /// Subset of `granted`: prefetched tokens.
  std::uint64_t advanced = 0;
  std::uint64_t refused = 0;
  std::uint64_t returned = 0;
  /// Duplicate or reordered frames.
  std::uint64_t framesIgnored = 0;
};

/// Not thread-safe.
class TokenHome {
 public:
  void setTolerance(const QuotaTolerance& tolerance);
  /// `seen`: the fraction of the fleet that this daemon sees; see `FleetShare`. `settled`: its member table
  /// is stable. Until then new buckets start with that fraction of their initial level, since after a start
  /// of the whole fleet several daemons rank themselves first for a tenant. They don't start empty, as that
  /// would refuse tenants below their limit.
  void setSeen(double seen, bool settled) {
    seen_ = seen;
    settled_ = settled;
  }

  /// False for a duplicate or reordered frame, which must be ignored. `run` identifies the sender's process:
  /// a restarted one numbers its frames from 1 again.
  bool takeFrame(const Endpoint& sender, std::uint64_t run, std::uint64_t number, Moment now);
  /// Empty if the request only returns tokens.
  std::optional<TokenGrantDecision> onWish(const TokenWish& wish, const TenantLimit& limit,
                                           const HomePlace& place, Moment now);
  /// Tokens left at the last refill; empty if there is no bucket for the tenant.
  std::optional<double> levelOf(const std::string& tenant) const;
  /// Removes buckets and senders without activity in the last minute.
  void dropIdle(Moment now);
  std::size_t buckets() const { return buckets_.size(); }
  const TokenHomeCounters& counters() const { return counters_; }

 private:
  struct Bucket {
    TenantLimit limit;
    QuotaPlan plan;
    double level = 0;
    /// Tokens refused and not refilled since. Spreads the retry times of refused callers.
    double backlog = 0;
    std::size_t rank = 0;
    /// A predecessor has responded lately, or since the last refill.
    bool aheadHeard = false;
    /// Since when all predecessors are suspected; `kNever` while one is not.
    Moment aheadSuspectedAt = kNever;
    /// Since when no predecessor responds.
    Moment aloneSince{};
    /// Time of the last refill.
    Moment countedAt{};
  };
  struct Sender {
    std::uint64_t run = 0;
    std::uint64_t number = 0;
    Moment heardAt{};
  };

  /// This daemon is a successor, and its member table may not reflect a recent network partition yet.
  static bool cutMayBeUnseen(const Bucket& bucket, Moment now);
  Bucket& bucketFor(const std::string& tenant, const TenantLimit& limit, const HomePlace& place, Moment now);
  /// Initial level of a bucket.
  double startOf(const QuotaPlan& plan, const HomePlace& place) const;
  double refillOf(const Bucket& bucket, Moment now) const;
  void refill(Bucket& bucket, Moment now) const;

  QuotaTolerance tolerance_;
  double seen_ = 1;
  bool settled_ = true;
  std::unordered_map<std::string, Bucket> buckets_;
  std::unordered_map<Endpoint, Sender> senders_;
  TokenHomeCounters counters_;
};

}  // namespace oakpier::serving
