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
/// The membership suspects unreachable daemons between 0.3 and 2 s after the onset of a network partition.
/// Meanwhile the primary scales its rate down, and grants as much as at its full rate in this time.
constexpr double kPrimaryDetectionSeconds = 1.25;
/// A side with more than this fraction of the daemons has lost daemons rather than a part of the network.
constexpr double kNearlyAllDaemons = 0.9;
/// Of what a window within a lasting network partition leaves beyond one refill and one capacity, the part
/// that raises the refill of the sides. The rest raises their capacity.
constexpr double kRefillShareOfSpare = 0.25;
/// Number of sides of a network partition, served by the second or a later successor, that the plan provides
/// for.
constexpr double kLaterSides = 2.0;

double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// The factor of the refill of all sides together in a lasting network partition.
double headroomOf(const QuotaPlan& plan, double allowed, Duration window) {
  if (plan.refillRate <= 0) {
    return 1;
  }
  const double refill = plan.refillRate * secondsOf(window + kTokenLifetime);
  const double spare = std::max(0.0, allowed - refill - plan.capacity);
  return 1 + kRefillShareOfSpare * spare / refill;
}

/// What a window that includes the onset leaves for the refill of the successors, relative to the refill
/// rate.
double onsetHeadroomOf(const QuotaPlan& plan, double allowed, Duration window) {
  if (plan.refillRate <= 0) {
    return 1;
  }
  const double primarySeconds = secondsOf(kTokenLifetime) + kPrimaryDetectionSeconds;
  const double initialLevels = plan.initialLevel * (1 + kSidesInitialShare);
  const double remaining = allowed - plan.capacity - initialLevels - plan.refillRate * primarySeconds;
  return std::clamp(remaining / (plan.refillRate * secondsOf(window)), 0.0, plan.headroom);
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
  plan.onsetHeadroom = onsetHeadroomOf(plan, allowed, tolerance.window);
  plan.capacityHeadroom = std::max(1.0, (allowed - plan.refillRate * span * plan.headroom) / plan.capacity);
  return plan;
}

double partitionSideScale(const QuotaPlan& plan, double visibleFraction) {
  return std::min(1.0, visibleFraction * plan.headroom);
}

double partitionOnsetScale(const QuotaPlan& plan, double visibleFraction) {
  if (visibleFraction > kNearlyAllDaemons) {
    return partitionSideScale(plan, visibleFraction);
  }
  return std::min(1.0, visibleFraction * plan.onsetHeadroom);
}

double partitionSideCapacity(const QuotaPlan& plan, double visibleFraction) {
  return plan.capacity * std::min(1.0, visibleFraction * plan.capacityHeadroom);
}

}  // namespace oakpier::serving
