#include "coordination/serving/quota_server.h"

#include <algorithm>
#include <cmath>

namespace oakpier::serving {

namespace {

/// A daemon counts as alive for this long after a frame of it. Four probe periods, so that single probes may
/// be lost or late.
constexpr Duration kAliveAfterFrame = std::chrono::milliseconds(200);
/// Unused buckets and senders are removed after this time.
constexpr Duration kIdle = std::chrono::seconds(60);
/// Limit of the retry time, in windows.
constexpr double kMaxBacklogWindows = 1.0;
/// The primary and its first successor.
constexpr std::size_t kEarlyRanks = 2;
/// A later successor that sees more than this fraction of the fleet begins with its full initial level. This
/// is one token at most, and a fraction of a token admits nothing. At most four sides are this large: those
/// of the primary, of the first successor, and of the two later ones that the plan provides for.
constexpr double kMinFullLevelFraction = 0.2;
/// Limit of the initial level, in tokens, until the membership is stable; scaled by the visible
/// fraction: after a start of the whole fleet, several daemons rank themselves first for a tenant.
constexpr double kMaxUnstableInitialLevel = 2.0;
/// Lower bound of the rate, in requests per second, that retry times are computed with, so that they are
/// finite.
constexpr double kMinRefillRate = 0.01;

double secondsBetween(Moment earlier, Moment later) {
  return std::max(0.0, std::chrono::duration<double>(later - earlier).count());
}

Duration asDuration(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e6)); }

}  // namespace

void QuotaServer::setTolerance(const QuotaTolerance& tolerance) {
  tolerance_ = tolerance;
  for (auto& [tenant, bucket] : buckets_) {
    bucket.plan = planQuota(bucket.limit, tolerance);
    bucket.level = std::min(bucket.level, bucket.plan.capacity);
  }
}

bool QuotaServer::acceptFrame(const Endpoint& sender, std::uint64_t runId, std::uint64_t number, Moment now) {
  Sender& last = senders_[sender];
  if (last.runId == runId && number <= last.number) {
    ++counters_.framesIgnored;
    return false;
  }
  last = Sender{runId, number, now};
  return true;
}

bool QuotaServer::networkPartitionMayBeUndetected(const Bucket& bucket, Moment now) {
  // A network partition began at least `kMinSuspicionDelay` before the predecessors were suspected, so only
  // the rest of `kNetworkPartitionDetectionTime` has to pass after that. A bucket created later does not
  // wait.
  const Moment recentFrom = now - (kNetworkPartitionDetectionTime - kMinSuspicionDelay);
  const bool recentlyUnresponsive =
      now - bucket.predecessorsUnresponsiveSince < kNetworkPartitionDetectionTime;
  return bucket.rank > 0 && recentlyUnresponsive && bucket.predecessorsSuspectedSince > recentFrom;
}

double QuotaServer::refillRateOf(const Bucket& bucket, Moment now) const {
  double rate = bucket.plan.refillRate * partitionSideScale(bucket.plan, visibleFraction_);
  if (bucket.predecessorResponds) {
    rate = 0;
  } else if (networkPartitionMayBeUndetected(bucket, now)) {
    rate *= bucket.rank == 1 ? kFirstSuccessorRateShare : kLaterSuccessorRateShare;
  }
  return rate;
}

void QuotaServer::refill(Bucket& bucket, Moment now) const {
  const double elapsed = secondsBetween(bucket.refilledAt, now);
  const double refilled = elapsed * refillRateOf(bucket, now);
  const double capacity = bucket.plan.capacity * partitionSideScale(bucket.plan, visibleFraction_);
  bucket.level = std::min(capacity, bucket.level + refilled);
  bucket.backlog = std::max(0.0, bucket.backlog - refilled);
  bucket.refilledAt = std::max(bucket.refilledAt, now);
}

double QuotaServer::initialLevelOf(const QuotaPlan& plan, const QuotaServerRank& serverRank) const {
  // The second and later successors may each be on a side of their own.
  const double full = serverRank.rank < kEarlyRanks ? plan.initialLevel : plan.laterInitialLevel;
  if (!membershipStable_) {
    return std::min(full, kMaxUnstableInitialLevel) * visibleFraction_;
  }
  const bool fullLaterLevel = serverRank.rank >= kEarlyRanks && visibleFraction_ > kMinFullLevelFraction;
  return fullLaterLevel ? full : full * partitionSideScale(plan, visibleFraction_);
}

QuotaServer::Bucket& QuotaServer::bucketFor(const std::string& tenant, const TenantLimit& limit,
                                            const QuotaServerRank& serverRank, Moment now) {
  const auto [found, isNew] = buckets_.try_emplace(tenant);
  Bucket& bucket = found->second;
  const bool changed = limit.perSecond != bucket.limit.perSecond || limit.burst != bucket.limit.burst;
  if (isNew || changed) {
    bucket.limit = limit;
    bucket.plan = planQuota(limit, tolerance_);
  }
  if (isNew) {
    bucket.predecessorsUnresponsiveSince = now;
    bucket.refilledAt = now;
    bucket.level = initialLevelOf(bucket.plan, serverRank);
  }
  bucket.rank = serverRank.rank;
  bucket.predecessorsSuspectedSince = serverRank.predecessorsSuspectedSince;
  bucket.predecessorResponds = serverRank.predecessorReceivedAt > now - kAliveAfterFrame ||
                               (!isNew && serverRank.predecessorReceivedAt >= bucket.refilledAt);
  if (bucket.predecessorResponds) {
    bucket.predecessorsUnresponsiveSince = now;
  }
  refill(bucket, now);
  return bucket;
}

std::optional<TenantGrant> QuotaServer::onRequest(const TenantTokenRequest& request, const TenantLimit& limit,
                                                  const QuotaServerRank& serverRank, Moment now) {
  Bucket& bucket = bucketFor(request.tenant, limit, serverRank, now);
  const double capacity = bucket.plan.capacity * partitionSideScale(bucket.plan, visibleFraction_);
  bucket.level = std::min(capacity, bucket.level + request.returned);
  counters_.returned += request.returned;
  if (!request.wantsGrant()) {
    return std::nullopt;
  }
  TenantGrant grant;
  grant.tenant = request.tenant;
  if (request.wanted == 0) {
    // Prefetching may not use the lower half of the bucket, which is kept for bursts.
    grant.granted = bucket.level >= 1 + capacity / 2 ? 1 : 0;
    counters_.prefetched += grant.granted;
  } else {
    grant.granted = std::min(request.wanted, static_cast<std::uint32_t>(bucket.level));
  }
  bucket.level -= grant.granted;
  counters_.granted += grant.granted;
  if (grant.granted < request.wanted) {
    const std::uint32_t refused = request.wanted - grant.granted;
    const double rate = std::max(kMinRefillRate, refillRateOf(bucket, now));
    const double maxRetryTime = std::chrono::duration<double>(tolerance_.window).count() * kMaxBacklogWindows;
    grant.retryAfter = asDuration(std::min(maxRetryTime, (1 - bucket.level + bucket.backlog) / rate));
    bucket.backlog = std::min(maxRetryTime * rate, bucket.backlog + refused);
    counters_.refused += refused;
  }
  return grant;
}

std::optional<double> QuotaServer::levelOf(const std::string& tenant) const {
  const auto found = buckets_.find(tenant);
  return found == buckets_.end() ? std::nullopt : std::optional<double>(found->second.level);
}

void QuotaServer::dropIdle(Moment now) {
  for (auto bucket = buckets_.begin(); bucket != buckets_.end();) {
    bucket = now - bucket->second.refilledAt > kIdle ? buckets_.erase(bucket) : std::next(bucket);
  }
  for (auto sender = senders_.begin(); sender != senders_.end();) {
    sender = now - sender->second.lastReceivedAt > kIdle ? senders_.erase(sender) : std::next(sender);
  }
}

}  // namespace oakpier::serving
