#pragma once

/// How a tenant's allowance over all daemons is divided into what one daemon may count out as the tenant's
/// home, and what a successor of it may that remembers nothing.
///
/// Invariant: `refill` x (window + `kTokenLife`) + `capacity` + 2 x `start` + 2 x `laterStart` is at most
/// `allowedInWindow`: two changes of the home, and two further pieces of a cut, fit into one window.

#include "state/serving/tenant.h"
#include "state/time.h"

namespace oakpier::serving {

/// From the moment at which a token was asked for until nobody uses it or gives it back any more. A token
/// may be used this much later than it was counted, so that a window holds what was counted in a longer one.
/// Bounds what lies unused at daemons without anybody having to count it: at 8 requests a second 4 tokens.
inline constexpr Duration kTokenLife = std::chrono::milliseconds(500);

/// A stand-in cannot tell a home that has ended from one beyond a cut until the membership suspects the
/// daemons that no longer answer: each is probed about once a second, so that 7 in 8 of them are suspected by
/// then.
inline constexpr Duration kCutUnseen = std::chrono::seconds(2);
/// The membership suspects no daemon sooner after a cut: it waits as long for the answer to a probe.
inline constexpr Duration kEarliestSuspicion = std::chrono::milliseconds(300);
/// Of the rate, what the first stand-in counts out until then, and what those after it do: that several
/// daemons are silent is more likely a cut.
inline constexpr double kFirstStandInShare = 0.75;
inline constexpr double kLaterStandInShare = 0.0625;

/// What all daemons together may let through beyond a tenant's limit. In any sliding window:
/// (rate x window + burst) x (1 + tolerance) + slack requests.
struct QuotaTolerance {
  Duration window = std::chrono::seconds(5);
  /// A share of the limit.
  double tolerance = 0;
  /// Requests a window.
  double slack = 0;
};

/// Requests that may be let through in any sliding window.
double allowedInWindow(const TenantLimit& limit, const QuotaTolerance& tolerance);

/// Figures in requests.
struct QuotaPlan {
  /// A second.
  double refill = 0;
  /// The most that the home of the tenant lets through at once.
  double capacity = 0;
  /// What a home begins with that knows nothing of the time before.
  double start = 0;
  /// The same, for the second daemon that steps in and those after it.
  double laterStart = 0;
  /// A piece of the fleet may let through this many times its share of the daemons.
  double headroom = 1;
};

QuotaPlan planFor(const TenantLimit& limit, const QuotaTolerance& tolerance);

/// What a piece of the fleet that sees the share `seen` (0 to 1) of the daemons may let through, as a share
/// of all: at most 1. Those of all pieces, each of which has a home of its own, sum to at most
/// `plan.headroom`.
double pieceFactor(const QuotaPlan& plan, double seen);

}  // namespace oakpier::serving
