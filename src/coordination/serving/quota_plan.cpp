#include "coordination/serving/quota_plan.h"

#include <algorithm>

namespace oakpier::serving {

namespace {

/// The capacity covers the burst plus the refill of this many seconds, so that prefetched tokens that expire
/// unused don't delay a tenant within its limit.
constexpr double kCapacitySeconds = 0.5;
/// Bounds of the capacity, as fractions of what the allowance leaves beyond the refill.
constexpr double kCapacityShare = 0.4;
constexpr double kMostCapacityShare = 0.6;
/// Quota servers that may take over within one window: the first successor, and the primary after its
/// restart.
constexpr double kSuccessors = 2.0;
/// Fraction of their initial levels held in reserve for frames in flight and incomplete member tables.
constexpr double kReserveShare = 0.2;
/// Sides of a network partition that are served by the second or a later successor.
constexpr double kLaterPieces = 2.0;

double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// The smaller of two bounds: one for windows within a lasting network partition, one for the window in which
/// it begins. In the latter the primary grants its full rate and the successors their fractions of it until
/// the membership notices, and then each side its part.
double headroomOf(const QuotaPlan& plan, double allowed, Duration window) {
  if (plan.refill <= 0) {
    return 1;
  }
  const double lasting = allowed / (plan.refill * secondsOf(window + kTokenLife) + plan.capacity);
  const double unseen = secondsOf(kCutUnseen);
  const double early =
      secondsOf(kTokenLife) + unseen * (1 + kFirstStandInShare + kLaterPieces * kLaterStandInShare);
  const double later = std::max(1.0, secondsOf(window) - unseen);
  const double coming = (allowed - plan.capacity - plan.start - plan.refill * early) / (plan.refill * later);
  return std::max(1.0, std::min(lasting, coming));
}

}  // namespace

double allowedInWindow(const TenantLimit& limit, const QuotaTolerance& tolerance) {
  const double usual = limit.perSecond * secondsOf(tolerance.window) + limit.burst;
  return usual * (1 + tolerance.tolerance) + tolerance.slack;
}

QuotaPlan planFor(const TenantLimit& limit, const QuotaTolerance& tolerance) {
  const double allowed = allowedInWindow(limit, tolerance);
  const double span = secondsOf(tolerance.window + kTokenLife);
  const double least = std::max(1.0, limit.burst);
  QuotaPlan plan;
  plan.refill = std::clamp((allowed - least) / span, 0.0, limit.perSecond);
  const double spare = allowed - plan.refill * span;
  const double wanted = std::max(limit.burst + kCapacitySeconds * limit.perSecond, kCapacityShare * spare);
  const double most = std::max(std::min(least, spare), kMostCapacityShare * spare);
  plan.capacity = std::max(1.0, std::min(wanted, most));
  const double left = std::max(0.0, spare - plan.capacity);
  plan.start = std::min(plan.capacity, left * (1 - kReserveShare) / kSuccessors);
  plan.laterStart = std::min(1.0, (left - plan.start * kSuccessors) / kLaterPieces);
  plan.headroom = headroomOf(plan, allowed, tolerance.window);
  return plan;
}

double pieceFactor(const QuotaPlan& plan, double seen) { return std::min(1.0, seen * plan.headroom); }

}  // namespace oakpier::serving
