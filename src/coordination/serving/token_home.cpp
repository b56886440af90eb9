#include "coordination/serving/token_home.h"

#include <algorithm>
#include <cmath>

namespace oakpier::serving {

namespace {

/// A daemon counts as alive for this long after a frame of it. Four probe periods, so that single probes may
/// be lost or late.
constexpr Duration kHeardLately = std::chrono::milliseconds(200);
/// Unused buckets and senders are removed after this time.
constexpr Duration kIdle = std::chrono::seconds(60);
/// Limit of the retry time, in windows.
constexpr double kLongestBacklogWindows = 1.0;
/// The primary and its first successor.
constexpr std::size_t kEarlyPlaces = 2;
/// A later successor that sees more than this fraction of the fleet begins with its full initial level. This
/// is one token at most, and a fraction of a token admits nothing. At most four sides are this large: those
/// of the primary, of the first successor, and of the two later ones that the plan provides for.
constexpr double kLeastWholePiece = 0.2;
/// Limit of the initial level until the membership is stable: after a start of the whole fleet, several
/// daemons rank themselves first for a tenant.
constexpr double kUnsettledStart = 2.0;
/// Lower bound of the rate, in requests per second, that retry times are computed with.
constexpr double kLeastRefill = 0.01;

double secondsBetween(Moment earlier, Moment later) {
  return std::max(0.0, std::chrono::duration<double>(later - earlier).count());
}

Duration asDuration(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e6)); }

}  // namespace

void TokenHome::setTolerance(const QuotaTolerance& tolerance) {
  tolerance_ = tolerance;
  for (auto& [tenant, bucket] : buckets_) {
    bucket.plan = planFor(bucket.limit, tolerance);
    bucket.level = std::min(bucket.level, bucket.plan.capacity);
  }
}

bool TokenHome::takeFrame(const Endpoint& sender, std::uint64_t run, std::uint64_t number, Moment now) {
  Sender& known = senders_[sender];
  if (known.run == run && number <= known.number) {
    ++counters_.framesIgnored;
    return false;
  }
  known = Sender{run, number, now};
  return true;
}

bool TokenHome::cutMayBeUnseen(const Bucket& bucket, Moment now) {
  // The predecessors were suspected no sooner than `kEarliestSuspicion` after a partition of the network. So
  // a bucket created after its detection does not wait again.
  const Moment suspectedBefore = now - (kCutUnseen - kEarliestSuspicion);
  const bool aloneForShort = now - bucket.aloneSince < kCutUnseen;
  return bucket.rank > 0 && aloneForShort && bucket.aheadSuspectedAt > suspectedBefore;
}

double TokenHome::refillOf(const Bucket& bucket, Moment now) const {
  double rate = bucket.plan.refill * pieceFactor(bucket.plan, seen_);
  if (bucket.aheadHeard) {
    rate = 0;
  } else if (cutMayBeUnseen(bucket, now)) {
    rate *= bucket.rank == 1 ? kFirstStandInShare : kLaterStandInShare;
  }
  return rate;
}

void TokenHome::refill(Bucket& bucket, Moment now) const {
  const double passed = secondsBetween(bucket.countedAt, now);
  const double come = passed * refillOf(bucket, now);
  const double capacity = bucket.plan.capacity * pieceFactor(bucket.plan, seen_);
  bucket.level = std::min(capacity, bucket.level + come);
  bucket.backlog = std::max(0.0, bucket.backlog - come);
  bucket.countedAt = std::max(bucket.countedAt, now);
}

double TokenHome::startOf(const QuotaPlan& plan, const HomePlace& place) const {
  // The second and later successors may each be on a side of their own.
  const double whole = place.rank < kEarlyPlaces ? plan.start : plan.laterStart;
  if (!settled_) {
    return std::min(whole, kUnsettledStart) * seen_;
  }
  const bool wholeLaterStart = place.rank >= kEarlyPlaces && seen_ > kLeastWholePiece;
  return wholeLaterStart ? whole : whole * pieceFactor(plan, seen_);
}

TokenHome::Bucket& TokenHome::bucketFor(const std::string& tenant, const TenantLimit& limit,
                                        const HomePlace& place, Moment now) {
  const auto [found, isNew] = buckets_.try_emplace(tenant);
  Bucket& bucket = found->second;
  const bool changed = limit.perSecond != bucket.limit.perSecond || limit.burst != bucket.limit.burst;
  if (isNew || changed) {
    bucket.limit = limit;
    bucket.plan = planFor(limit, tolerance_);
  }
  if (isNew) {
    bucket.aloneSince = now;
    bucket.countedAt = now;
    bucket.level = startOf(bucket.plan, place);
  }
  bucket.rank = place.rank;
  bucket.aheadSuspectedAt = place.aheadSuspectedAt;
  bucket.aheadHeard =
      place.aheadHeardAt > now - kHeardLately || (!isNew && place.aheadHeardAt >= bucket.countedAt);
  if (bucket.aheadHeard) {
    bucket.aloneSince = now;
  }
  refill(bucket, now);
  return bucket;
}

std::optional<TokenGrantDecision> TokenHome::onWish(const TokenWish& wish, const TenantLimit& limit,
                                                    const HomePlace& place, Moment now) {
  Bucket& bucket = bucketFor(wish.tenant, limit, place, now);
  const double capacity = bucket.plan.capacity * pieceFactor(bucket.plan, seen_);
  bucket.level = std::min(capacity, bucket.level + wish.returned);
  counters_.returned += wish.returned;
  if (!wish.asks()) {
    return std::nullopt;
  }
  TokenGrantDecision decision;
  decision.tenant = wish.tenant;
  if (wish.wanted == 0) {
    // Prefetching may not use the lower half of the bucket, which is kept for bursts.
    decision.granted = bucket.level >= 1 + capacity / 2 ? 1 : 0;
    counters_.advanced += decision.granted;
  } else {
    decision.granted = std::min(wish.wanted, static_cast<std::uint32_t>(bucket.level));
  }
  bucket.level -= decision.granted;
  counters_.granted += decision.granted;
  if (decision.granted < wish.wanted) {
    const std::uint32_t refused = wish.wanted - decision.granted;
    const double rate = std::max(kLeastRefill, refillOf(bucket, now));
    const double longest = std::chrono::duration<double>(tolerance_.window).count() * kLongestBacklogWindows;
    decision.retryAfter = asDuration(std::min(longest, (1 - bucket.level + bucket.backlog) / rate));
    bucket.backlog = std::min(longest * rate, bucket.backlog + refused);
    counters_.refused += refused;
  }
  return decision;
}

std::optional<double> TokenHome::levelOf(const std::string& tenant) const {
  const auto found = buckets_.find(tenant);
  return found == buckets_.end() ? std::nullopt : std::optional<double>(found->second.level);
}

void TokenHome::dropIdle(Moment now) {
  for (auto bucket = buckets_.begin(); bucket != buckets_.end();) {
    bucket = now - bucket->second.countedAt > kIdle ? buckets_.erase(bucket) : std::next(bucket);
  }
  for (auto sender = senders_.begin(); sender != senders_.end();) {
    sender = now - sender->second.heardAt > kIdle ? senders_.erase(sender) : std::next(sender);
  }
}

}  // namespace oakpier::serving
