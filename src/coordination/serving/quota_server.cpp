#include "coordination/serving/quota_server.h"

#include <algorithm>
#include <cmath>

namespace oakpier::serving {

namespace {

/// Unused buckets and senders are removed after this time.
constexpr Duration kIdle = std::chrono::seconds(60);
/// Limit of the retry time, in windows.
constexpr double kMaxBacklogWindows = 1.0;
/// The primary and its first successor.
constexpr std::size_t kEarlyRanks = 2;
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

Duration QuotaServer::onActivity(Moment now) {
  // Without buckets nothing is counted, and nobody shows activity.
  const bool observed = activeAt_ != kNever && !buckets_.empty();
  const Duration idle = observed ? now - activeAt_ : Duration(0);
  activeAt_ = now;
  if (idle < kMinSuspension) {
    return Duration(0);
  }
  suspended_ += idle;
  return idle;
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

bool QuotaServer::tookOverRecently(const Bucket& bucket, Moment now) const {
  const Moment recentFrom = now - tolerance_.window;
  return bucket.rank > 0 && bucket.predecessorsUnresponsiveSince > recentFrom &&
         bucket.predecessorsSuspectedSince > recentFrom;
}

double QuotaServer::takeoverScaleOf(const Bucket& bucket, Moment now) const {
  if (!networkPartitionMayBeUndetected(bucket, now)) {
    return partitionOnsetScale(bucket.plan, visibleFraction_);
  }
  if (!reachableFraction_) {
    const double share = bucket.rank == 1 ? kFirstSuccessorRateShare : kLaterSuccessorRateShare;
    return share * partitionSideScale(bucket.plan, visibleFraction_);
  }
  return partitionOnsetScale(bucket.plan, std::min(visibleFraction_, *reachableFraction_));
}

double QuotaServer::refillRateOf(const Bucket& bucket, Moment now) const {
  if (bucket.predecessorResponds) {
    return 0;
  }
  const double scale = tookOverRecently(bucket, now) ? takeoverScaleOf(bucket, now)
                                                     : partitionSideScale(bucket.plan, visibleFraction_);
  return bucket.plan.refillRate * scale;
}

void QuotaServer::refill(Bucket& bucket, Moment now) const {
  const Duration suspended = suspended_ - bucket.suspendedBefore;
  const double elapsed = secondsBetween(bucket.refilledAt, now - suspended);
  const double refilled = elapsed * refillRateOf(bucket, now);
  const double capacity = partitionSideCapacity(bucket.plan, visibleFraction_);
  bucket.level = std::min(capacity, bucket.level + refilled);
  bucket.backlog = std::max(0.0, bucket.backlog - refilled);
  bucket.refilledAt = std::max(bucket.refilledAt, now);
  bucket.suspendedBefore = suspended_;
}

double QuotaServer::initialLevelOf(const QuotaPlan& plan, const QuotaServerRank& serverRank,
                                   Moment now) const {
  const bool isLater = serverRank.rank >= kEarlyRanks;
  if (!membershipStable_) {
    const double full = isLater ? plan.laterInitialLevel : plan.initialLevel;
    return std::min(full, kMaxUnstableInitialLevel) * visibleFraction_;
  }
  const Moment lastingFrom = now - tolerance_.window - kTokenLifetime;
  if (serverRank.rank > 0 && serverRank.predecessorsSuspectedSince <= lastingFrom) {
    // No window includes the onset of the partition any more, so it has room for the buckets of all sides.
    return std::min(plan.initialLevel, partitionSideCapacity(plan, visibleFraction_));
  }
  // Not scaled for later successors, as a fraction of their one token admits nothing.
  return isLater ? plan.laterInitialLevel : plan.initialLevel * partitionSideScale(plan, visibleFraction_);
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
    bucket.suspendedBefore = suspended_;
    giveInitialLevel(bucket, serverRank, now);
  }
  bucket.rank = serverRank.rank;
  bucket.predecessorsSuspectedSince = serverRank.predecessorsSuspectedSince;
  bucket.predecessorResponds = serverRank.predecessorReceivedAt > now - kAliveAfterFrame ||
                               (!isNew && serverRank.predecessorReceivedAt >= bucket.refilledAt);
  if (bucket.predecessorResponds) {
    bucket.predecessorsUnresponsiveSince = now;
  }
  // Without an unanswered probe, silence only means that nobody asked: the predecessors may have granted.
  const Moment silentSince = std::min(now, serverRank.predecessorsSilentSince);
  bucket.predecessorsUnresponsiveSince = std::max(bucket.predecessorsUnresponsiveSince, silentSince);
  bucket.refilledAt = std::max(bucket.refilledAt, silentSince);
  refill(bucket, now);
  raiseToInitialLevel(bucket, serverRank, now);
  return bucket;
}

void QuotaServer::raiseToInitialLevel(Bucket& bucket, const QuotaServerRank& serverRank, Moment now) const {
  const bool unresponsive = now - bucket.predecessorsUnresponsiveSince >= kAliveAfterFrame;
  const bool suspected = bucket.predecessorsSuspectedSince <= now;
  // A predecessor that is not heard for a moment may only be slow.
  if (!tookOverRecently(bucket, now) || predecessorIsReachable(serverRank, now) ||
      !(unresponsive || suspected)) {
    return;
  }
  if (now - bucket.initialLevelAt >= tolerance_.window) {
    giveInitialLevel(bucket, serverRank, now);
  }
  const std::optional<double> sideFraction =
      networkPartitionMayBeUndetected(bucket, now) ? reachableFraction_ : visibleFraction_;
  if (!bucket.hasSideLevel && sideFraction && membershipStable_) {
    const double sideLevel = kSidesInitialShare * bucket.plan.initialLevel * *sideFraction;
    bucket.level += std::max(0.0, sideLevel - bucket.givenLevel);
    bucket.hasSideLevel = true;
  }
}

void QuotaServer::giveInitialLevel(Bucket& bucket, const QuotaServerRank& serverRank, Moment now) const {
  bucket.givenLevel = initialLevelOf(bucket.plan, serverRank, now);
  bucket.level = std::max(bucket.level, bucket.givenLevel);
  bucket.initialLevelAt = now;
  bucket.hasSideLevel = false;
}

std::optional<TenantGrant> QuotaServer::onRequest(const TenantTokenRequest& request, const TenantLimit& limit,
                                                  const QuotaServerRank& serverRank, Moment now) {
  Bucket& bucket = bucketFor(request.tenant, limit, serverRank, now);
  const double capacity = partitionSideCapacity(bucket.plan, visibleFraction_);
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
  if (grant.granted < request.wanted && predecessorIsReachable(serverRank, now)) {
    // After a network partition has healed, clients ask a successor until the membership has found the
    // predecessors again. Those refill the tenant's bucket, so the client is to ask them: no retry time.
    counters_.redirected += request.wanted - grant.granted;
  } else if (grant.granted < request.wanted) {
    const std::uint32_t refused = request.wanted - grant.granted;
    const double rate = std::max(kMinRefillRate, refillRateOf(bucket, now));
    const double maxRetryTime = std::chrono::duration<double>(tolerance_.window).count() * kMaxBacklogWindows;
    grant.retryAfter = asDuration(std::min(maxRetryTime, (1 - bucket.level + bucket.backlog) / rate));
    bucket.backlog = std::min(maxRetryTime * rate, bucket.backlog + refused);
    countRefused(bucket, refused, now);
  }
  return grant;
}

bool QuotaServer::predecessorIsReachable(const QuotaServerRank& serverRank, Moment now) {
  const Moment receivedAt = serverRank.predecessorReceivedAt;
  const bool receivedSinceSuspected =
      receivedAt > serverRank.predecessorsSuspectedSince && receivedAt > now - kNetworkPartitionDetectionTime;
  return receivedAt > now - kAliveAfterFrame || receivedSinceSuspected;
}

void QuotaServer::countRefused(const Bucket& bucket, std::uint32_t refused, Moment now) {
  counters_.refused += refused;
  if (networkPartitionMayBeUndetected(bucket, now)) {
    counters_.refusedPartitionUndetected += refused;
  }
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
