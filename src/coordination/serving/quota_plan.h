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
/// tokens that clients hold, without any accounting of them: 4 at 8 requests a second.
inline constexpr Duration kTokenLifetime = std::chrono::milliseconds(500);

/// How long a successor allows for the membership to notice a network partition; until then it cannot tell a
/// primary that has terminated from one that is unreachable. Daemons are probed about once a second, so that
/// 7 in 8 of the unreachable ones are suspected by then.
inline constexpr Duration kNetworkPartitionDetectionTime = std::chrono::seconds(2);
/// The membership waits this long for the answer to a probe, so it suspects no daemon sooner than this after
/// a network partition.
inline constexpr Duration kMinSuspicionDelay = std::chrono::milliseconds(300);
/// A daemon counts as alive for this long after a frame of it. Four probe periods, so that single probes may
/// be lost or late.
inline constexpr Duration kAliveAfterFrame = std::chrono::milliseconds(200);
/// Fractions of the refill rate that the first successor, and those after it, grant during
/// `kNetworkPartitionDetectionTime` unless they know which fraction of the fleet they reach. The later ones
/// grant less, as several predecessors that don't respond are more likely to be unreachable than terminated.
inline constexpr double kFirstSuccessorRateShare = 0.75;
inline constexpr double kLaterSuccessorRateShare = 0.0625;

/// Fraction of one initial level that successors on all sides of a network partition may begin with together,
/// in proportion to the size of their side. The initial level of the first successor comes in addition.
inline constexpr double kSidesInitialShare = 1.4;

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
  /// fraction times this of the refill; see `partitionSideScale`.
  double headroom = 1;
  /// The same for the refill of successors, while a window may include the onset of the partition: until the
  /// primary detects it, that one still grants its full rate. May be less than 1.
  double onsetHeadroom = 1;
  /// The same for the capacity. Greater than `headroom`, as the window in which a partition begins has no
  /// full buckets of several sides; a side's fraction of one capacity would not admit a usual burst.
  double capacityHeadroom = 1;
};

QuotaPlan planQuota(const TenantLimit& limit, const QuotaTolerance& tolerance);

/// Factor (at most 1) for the refill of a server that sees the fraction `visibleFraction` (0 to 1) of the
/// fleet. The factors of all sides of a network partition, each with a server of its own, sum to at most
/// `plan.headroom`.
double partitionSideScale(const QuotaPlan& plan, double visibleFraction);
/// The same with `plan.onsetHeadroom`, for a successor that took over recently.
double partitionOnsetScale(const QuotaPlan& plan, double visibleFraction);
/// The capacity of such a server. The capacities of all sides sum to at most `plan.capacity` times
/// `plan.capacityHeadroom`.
double partitionSideCapacity(const QuotaPlan& plan, double visibleFraction);

}  // namespace oakpier::serving
