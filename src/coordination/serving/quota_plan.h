#pragma once

/// Sizes a tenant's token bucket so that the limit holds over the whole fleet although the bucket's state is
/// lost when the daemon that holds it terminates, and each side of a network partition has a bucket of its
/// own.
///
/// Each tenant has a ranking of daemons. The first, its primary quota server, holds the bucket; the others
/// are successors: they take over, in this order, when those before them don't respond, and begin with a
/// bucket of their own.
///
/// Invariant: `refillRate` x (window + `kTokenLifetime`) + `capacity` + 2 x `initialLevel` + 2 x
/// `laterInitialLevel` is at most `allowedInWindow`: one window has room for two changes of the server and
/// for two further sides of a network partition.

#include "state/serving/tenant.h"
#include "state/time.h"

namespace oakpier::serving {

/// From the request for a token until it can no longer be used or returned. A token may be used this much
/// later than it was granted, so a window may see the grants of a span longer by this. Also bounds the unused
/// tokens that clients hold, without any accounting of them.
inline constexpr Duration kTokenLifetime = std::chrono::milliseconds(500);

/// How long a successor allows for the membership to notice a network partition; until then it cannot tell a
/// primary that has terminated from one that is unreachable. Daemons are probed about once a second, so that
/// 7 in 8 of the unreachable ones are suspected by then.
inline constexpr Duration kNetworkPartitionDetectionTime = std::chrono::seconds(2);
/// The membership waits this long for the answer to a probe, so it suspects no daemon sooner than this after
/// a network partition.
inline constexpr Duration kMinSuspicionDelay = std::chrono::milliseconds(300);
/// Fractions of the refill rate that the first successor, and those after it, grant during
/// `kNetworkPartitionDetectionTime`. The later ones grant less, as several predecessors that don't respond
/// are more likely to be unreachable than terminated.
inline constexpr double kFirstSuccessorRateShare = 0.75;
inline constexpr double kLaterSuccessorRateShare = 0.0625;

/// How far all daemons together may exceed a tenant's limit. In any sliding window they admit at most
/// (rate x window + burst) x (1 + tolerance) + slack requests.
struct QuotaTolerance {
  Duration window = std::chrono::seconds(5);
  /// Fraction of the limit.
  double tolerance = 0;
  /// Requests per window.
  double slack = 0;
};

/// The window limit: the most requests that may be admitted in any sliding window.
double allowedInWindow(const TenantLimit& limit, const QuotaTolerance& tolerance);

/// Bucket parameters, in tokens. One token admits one request.
struct QuotaPlan {
  /// Per second.
  double refillRate = 0;
  double capacity = 0;
  /// Initial level on the primary and on the first successor when they have no state for the tenant.
  double initialLevel = 0;
  /// Initial level on every later successor.
  double laterInitialLevel = 0;
  /// At least 1. A side of a network partition with a given fraction of the daemons grants at most that
  /// fraction times this of the refill and capacity; see `partitionSideScale`.
  double headroom = 1;
};

QuotaPlan planQuota(const TenantLimit& limit, const QuotaTolerance& tolerance);

/// Factor (at most 1) for the refill and capacity of a server that sees the fraction `visibleFraction` (0 to
/// 1) of the fleet. The factors of all sides of a network partition, each with a server of its own, sum to at
/// most `plan.headroom`.
double partitionSideScale(const QuotaPlan& plan, double visibleFraction);

}  // namespace oakpier::serving
