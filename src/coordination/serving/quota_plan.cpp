#include "coordination/serving/quota_plan.h"

#include <algorithm>

namespace oakpier::serving {

namespace {

/// The home's bucket holds the burst and what comes in so long, so that tokens that lapse at daemons do not
/// make a tenant within its limit wait.
constexpr double kCapacitySeconds = 0.5;
/// Of what the window leaves beyond the refill: the home's bucket at the least and at the most.
constexpr double kCapacityShare = 0.4;
constexpr double kMostCapacityShare = 0.6;
/// Homes that may follow one another within one window: the stand-in for one that has ended, and the one that
/// has started again.
constexpr double kSuccessors = 2.0;
/// Of what they may begin with, kept free: frames on the way, tables of members that are not whole yet.
constexpr double kReserveShare = 0.2;
/// Pieces of a cut whose home is the second stand-in or a later one.
constexpr double kLaterPieces = 2.0;

double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// So that the pieces of a lasting cut stay within the allowance, and so does the window in which the cut
/// comes: the home and the stand-ins count out what they do until it is seen, and then each its part.
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
