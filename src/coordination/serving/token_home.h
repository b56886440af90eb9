#pragma once

/// Counts the requests of tenants for the whole fleet: a bucket for each tenant whose home this daemon is, or
/// whose home another daemon takes it for. Each token lets one request through.
///
/// Invariants: tokens counted out less those given back are at most the bucket's capacity plus its refill, in
/// any span; a frame counts once; what is given back never raises a bucket beyond its capacity; a daemon that
/// steps in for one that it still hears lets through what it began with and no more.

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

/// What a daemon asks or gives back for one tenant.
struct TokenWish {
  std::string tenant;
  /// Requests that wait. 0 with nothing returned: a token ahead of the next request.
  std::uint32_t wanted = 0;
  std::uint32_t returned = 0;

  bool asks() const { return wanted > 0 || returned == 0; }
};

struct TokenGrantDecision {
  std::string tenant;
  std::uint32_t granted = 0;
  /// When fewer were granted than wanted: until the next may be. 0: this daemon cannot count for the tenant.
  Duration retryAfter{};
};

struct TokenHomeCounters {
  std::uint64_t granted = 0;
  /// Of these, ahead of a request.
  std::uint64_t advanced = 0;
  std::uint64_t refused = 0;
  std::uint64_t returned = 0;
  /// Frames that came again or out of order.
  std::uint64_t framesIgnored = 0;
};

/// Not thread-safe.
class TokenHome {
 public:
  void setTolerance(const QuotaTolerance& tolerance);
  /// `seen`: the share of the fleet that this daemon sees; see `FleetShare`. `settled`: it has known its
  /// members for a while. Until then buckets begin with no more than that share: after a start of all daemons
  /// at once several take themselves for the home of a tenant. Beginning empty would refuse tenants below
  /// their limit after such a start, and in a cut those whose first homes lie beyond it.
  void setSeen(double seen, bool settled) {
    seen_ = seen;
    settled_ = settled;
  }

  /// False when the frame must be ignored. `run`: tells the sender's processes apart.
  bool takeFrame(const Endpoint& sender, std::uint64_t run, std::uint64_t number, Moment now);
  /// Empty when nothing was asked.
  std::optional<TokenGrantDecision> onWish(const TokenWish& wish, const TenantLimit& limit,
                                           const HomePlace& place, Moment now);
  /// What is left at the moment; empty when this daemon does not count for the tenant.
  std::optional<double> levelOf(const std::string& tenant) const;
  /// Forgets buckets and senders that were not in use for a long time.
  void dropIdle(Moment now);
  std::size_t buckets() const { return buckets_.size(); }
  const TokenHomeCounters& counters() const { return counters_; }

 private:
  struct Bucket {
    TenantLimit limit;
    QuotaPlan plan;
    double level = 0;
    /// Requests refused lately, less what came in for them since.
    double backlog = 0;
    std::size_t rank = 0;
    /// One of those before this one has answered since the bucket was last asked of, or just now.
    bool aheadHeard = false;
    /// Since when all of those before this one are suspected to have ended.
    Moment aheadSuspectedAt = kNever;
    /// Since when no daemon before this one was heard.
    Moment aloneSince{};
    Moment countedAt{};
  };
  struct Sender {
    std::uint64_t run = 0;
    std::uint64_t number = 0;
    Moment heardAt{};
  };

  /// This daemon steps in, and what it sees of the fleet may be from before a cut.
  static bool cutMayBeUnseen(const Bucket& bucket, Moment now);
  Bucket& bucketFor(const std::string& tenant, const TenantLimit& limit, const HomePlace& place, Moment now);
  /// What a bucket begins with.
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
