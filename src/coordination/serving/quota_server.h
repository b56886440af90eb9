#pragma once

/// Grants tokens to the daemons of the fleet from one token bucket per tenant. A daemon serves a tenant as
/// its primary, or as a successor while other daemons cannot reach its predecessors in the tenant's ranking.
///
/// Invariants: in any span, tokens granted less those returned are at most the bucket's capacity plus its
/// refill; each frame is processed at most once; returned tokens never raise a bucket beyond its capacity; a
/// successor that still receives from a predecessor grants no more than its initial level. A server does not
/// refill for time in which another one may have done so: one that was suspended leaves out that time, and a
/// successor counts only the time in which all predecessors left its probes unanswered.

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/quota_plan.h"
#include "coordination/serving/quota_server_selector.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier::serving {

/// Requests or returns tokens of one tenant.
struct TenantTokenRequest {
  std::string tenant;
  /// Tokens for requests that are waiting. 0 with nothing returned: prefetches one token.
  std::uint32_t wanted = 0;
  std::uint32_t returned = 0;

  bool wantsGrant() const { return wanted > 0 || returned == 0; }
};

struct TenantGrant {
  std::string tenant;
  std::uint32_t granted = 0;
  /// If fewer tokens were granted than wanted: expected time until another one is available, or 0 if the
  /// client is to ask another server: this one does not know the tenant's limit, or a predecessor responds to
  /// it. Otherwise 0.
  Duration retryAfter{};
};

struct QuotaServerCounters {
  std::uint64_t granted = 0;
  /// Subset of `granted`: prefetched tokens.
  std::uint64_t prefetched = 0;
  std::uint64_t refused = 0;
  /// Subset of `refused`: at a reduced rate, as a network partition may be undetected.
  std::uint64_t refusedPartitionUndetected = 0;
  /// Not granted, as a predecessor responds, which the client is to ask.
  std::uint64_t redirected = 0;
  std::uint64_t returned = 0;
  /// Duplicate or reordered frames.
  std::uint64_t framesIgnored = 0;
};

/// A process that shows no activity for longer was suspended. Shorter than `kAliveAfterFrame`, after which a
/// successor takes over; longer than a throttled daemon waits for its next CPU quota period (100 ms).
inline constexpr Duration kMinSuspension = std::chrono::milliseconds(150);
/// How often a quota server shows activity.
inline constexpr Duration kActivityInterval = std::chrono::milliseconds(50);

/// Not thread-safe.
class QuotaServer {
 public:
  void setTolerance(const QuotaTolerance& tolerance);
  /// `visibleFraction`: the fraction of the fleet that this daemon sees; see `FleetVisibility`.
  /// `membershipStable`: its member table is stable. Until then new buckets start with at most that fraction
  /// of their initial level, since after a start of the whole fleet several daemons rank themselves first for
  /// a tenant. They don't start empty, as that would refuse tenants below their limit, also those whose first
  /// servers are unreachable in a network partition.
  void setVisibleFraction(double visibleFraction, bool membershipStable) {
    visibleFraction_ = visibleFraction;
    membershipStable_ = membershipStable;
  }

  /// The fraction of the fleet that answers this daemon's probes; empty if none were sent recently. Known
  /// within a round trip, while `visibleFraction` takes until the membership detects a network partition.
  void setReachableFraction(std::optional<double> reachableFraction) {
    reachableFraction_ = reachableFraction;
  }

  /// The process runs. Call at least every `kActivityInterval` while there are buckets, and before each
  /// request is processed. Returns how long the process was suspended since the last call; 0 if it was not.
  Duration onActivity(Moment now);
  /// False for a duplicate or reordered frame, which must be ignored. `runId` identifies the sender's
  /// process: a restarted one numbers its frames from 1 again.
  bool acceptFrame(const Endpoint& sender, std::uint64_t runId, std::uint64_t number, Moment now);
  /// Empty if the request only returns tokens.
  std::optional<TenantGrant> onRequest(const TenantTokenRequest& request, const TenantLimit& limit,
                                       const QuotaServerRank& serverRank, Moment now);
  /// Tokens left after the last request, without the refill since; empty if there is no bucket for the
  /// tenant.
  std::optional<double> levelOf(const std::string& tenant) const;
  /// Removes buckets and senders without activity in the last minute.
  void dropIdle(Moment now);
  std::size_t buckets() const { return buckets_.size(); }
  const QuotaServerCounters& counters() const { return counters_; }

 private:
  struct Bucket {
    TenantLimit limit;
    QuotaPlan plan;
    double level = 0;
    /// Refused tokens, less the refill since. Refused callers get retry times that grow with it.
    double backlog = 0;
    std::size_t rank = 0;
    /// At the last request: a frame of a predecessor had been received recently, or since the request before.
    bool predecessorResponds = false;
    /// Since when all predecessors are suspected; `kNever` while one is not.
    Moment predecessorsSuspectedSince = kNever;
    /// Since when no predecessor has responded; not before the bucket was created.
    Moment predecessorsUnresponsiveSince{};
    Moment refilledAt{};
    /// `suspended_` then.
    Duration suspendedBefore{};
    /// Its last initial level, and when it was given that.
    double givenLevel = 0;
    Moment initialLevelAt{};
    /// It was since given the part of the initial level that its side of a network partition may have.
    bool hasSideLevel = false;
  };
  struct Sender {
    std::uint64_t runId = 0;
    std::uint64_t number = 0;
    Moment lastReceivedAt{};
  };

  /// This daemon is a successor, and its member table may not reflect a recent network partition yet.
  static bool networkPartitionMayBeUndetected(const Bucket& bucket, Moment now);
  /// A predecessor was heard just now, or since it was suspected: the network partition has healed.
  static bool predecessorIsReachable(const QuotaServerRank& serverRank, Moment now);
  Bucket& bucketFor(const std::string& tenant, const TenantLimit& limit, const QuotaServerRank& serverRank,
                    Moment now);
  double initialLevelOf(const QuotaPlan& plan, const QuotaServerRank& serverRank, Moment now) const;
  /// A window may include the onset of the network partition, if it is one, that made this daemon take over.
  bool tookOverRecently(const Bucket& bucket, Moment now) const;
  /// Factor of the refill rate then.
  double takeoverScaleOf(const Bucket& bucket, Moment now) const;
  void giveInitialLevel(Bucket& bucket, const QuotaServerRank& serverRank, Moment now) const;
  /// Raises the level of a successor's bucket to its initial level, once per window, as a window has room for
  /// it; and to its side's fraction of the primary's initial level when the size of the side is known.
  void raiseToInitialLevel(Bucket& bucket, const QuotaServerRank& serverRank, Moment now) const;
  double refillRateOf(const Bucket& bucket, Moment now) const;
  void refill(Bucket& bucket, Moment now) const;
  void countRefused(const Bucket& bucket, std::uint32_t refused, Moment now);

  QuotaTolerance tolerance_;
  double visibleFraction_ = 1;
  std::optional<double> reachableFraction_;
  bool membershipStable_ = true;
  Moment activeAt_ = kNever;
  /// Total time for which the process was suspended.
  Duration suspended_{};
  std::unordered_map<std::string, Bucket> buckets_;
  std::unordered_map<Endpoint, Sender> senders_;
  QuotaServerCounters counters_;
};

}  // namespace oakpier::serving
