#include "coordination/serving/quota_plan.h"

#include <algorithm>

namespace oakpier::serving {

namespace {

/// The capacity covers the burst plus the refill of this many seconds, so that prefetched tokens that expire
/// unused don't delay a tenant within its limit.
constexpr double kCapacitySeconds = 0.5;
/// Bounds of the capacity, as fractions of what the window limit leaves beyond the refill.
constexpr double kMinCapacityShare = 0.4;
constexpr double kMaxCapacityShare = 0.6;
/// Quota servers that may take over within one window: the first successor, and the primary after its
/// restart.
constexpr double kTakeovers = 2.0;
/// Fraction of what is left for initial levels that these two don't use: it covers later successors, frames
/// in flight and incomplete member tables.
constexpr double kReserveShare = 0.2;
/// Number of sides of a network partition, served by the second or a later successor, that the plan provides
/// for.
constexpr double kLaterSides = 2.0;

double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// The smaller of two bounds: one for windows within a lasting network partition, one for the window in which
/// it begins. In the latter the primary grants its full rate and the successors their fractions of it until
/// the membership detects it, and then each side its scaled rate.
double headroomOf(const QuotaPlan& plan, double allowed, Duration window) {
  if (plan.refillRate <= 0) {
    return 1;
  }
  const double lasting = allowed / (plan.refillRate * secondsOf(window + kTokenLifetime) + plan.capacity);
  const double detection = secondsOf(kNetworkPartitionDetectionTime);
  const double beforeDetection =
      secondsOf(kTokenLifetime) +
      detection * (1 + kFirstSuccessorRateShare + kLaterSides * kLaterSuccessorRateShare);
  const double afterDetection = std::max(1.0, secondsOf(window) - detection);
  const double atOnset = (allowed - plan.capacity - plan.initialLevel - plan.refillRate * beforeDetection) /
                         (plan.refillRate * afterDetection);
  return std::max(1.0, std::min(lasting, atOnset));
}

}  // namespace

double allowedInWindow(const TenantLimit& limit, const QuotaTolerance& tolerance) {
  const double nominal = limit.perSecond * secondsOf(tolerance.window) + limit.burst;
  return nominal * (1 + tolerance.tolerance) + tolerance.slack;
}

QuotaPlan planQuota(const TenantLimit& limit, const QuotaTolerance& tolerance) {
  const double allowed = allowedInWindow(limit, tolerance);
  const double span = secondsOf(tolerance.window + kTokenLifetime);
  const double minCapacity = std::max(1.0, limit.burst);
  QuotaPlan plan;
  plan.refillRate = std::clamp((allowed - minCapacity) / span, 0.0, limit.perSecond);
  const double spare = allowed - plan.refillRate * span;
  const double desired =
      std::max(limit.burst + kCapacitySeconds * limit.perSecond, kMinCapacityShare * spare);
  const double maxCapacity = std::max(std::min(minCapacity, spare), kMaxCapacityShare * spare);
  plan.capacity = std::max(1.0, std::min(desired, maxCapacity));
  const double remaining = std::max(0.0, spare - plan.capacity);
  plan.initialLevel = std::min(plan.capacity, remaining * (1 - kReserveShare) / kTakeovers);
  plan.laterInitialLevel = std::min(1.0, (remaining - plan.initialLevel * kTakeovers) / kLaterSides);
  plan.headroom = headroomOf(plan, allowed, tolerance.window);
  return plan;
}

double partitionSideScale(const QuotaPlan& plan, double visibleFraction) {
  return std::min(1.0, visibleFraction * plan.headroom);
}

}  // namespace oakpier::serving
