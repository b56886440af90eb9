#pragma once

/// Estimates which fraction of the fleet a daemon can see: the daemons that are alive to it now, divided by
/// the recent maximum of those it knew. During a network partition each side sees its own fraction. A loss of
/// machines looks the same until the maximum leaves the retention period.
///
/// Invariants: at most 1; until the membership is stable after a start, the divisor is at least the
/// expected size of the fleet.

#include <cstddef>
#include <deque>
#include <optional>

#include "coordination/serving/reachability_estimator.h"
#include "state/time.h"

namespace oakpier::serving {

/// How long the maximum is kept. Longer than the membership takes to declare a daemon dead (7 s with 75
/// daemons, 13 s with 7,100), since until then an unreachable daemon may
/// well return.
inline constexpr Duration kMaximumRetention = std::chrono::seconds(30);

/// The daemons of the fleet, as one of them knows them.
struct FleetCount {
  /// Daemons that are not suspected, this one included.
  std::size_t alive = 1;
  /// The same and the suspected ones. A daemon that starts on one side of a network partition learns of those
  /// on the other sides as long as the members that it joins suspect them.
  std::size_t known = 1;
  /// Expected size of the fleet, used until the membership is stable.
  std::size_t expected = 1;
  bool membershipStable = false;
};

class FleetVisibility {
 public:
  void onDaemons(const FleetCount& count, Moment now);
  /// The last estimate from probes, if there is one.
  void setReachability(const std::optional<ReachabilityEstimate>& estimate) { reachability_ = estimate; }
  /// In (0, 1]. Follows the membership, and the probes where they are newer, as after a network partition has
  /// healed.
  double visibleFraction(Moment now);
  /// The fraction that answered the last probes, in (0, 1]. Known within a round trip, while
  /// `visibleFraction` takes until the membership detects a network partition.
  std::optional<double> reachableFraction(Moment now);

 private:
  struct PastCount {
    /// When `daemons` stopped being the number of known daemons.
    Moment endedAt{};
    std::size_t daemons = 0;
  };

  /// The recent maximum, or the expected size if that is greater and the membership is not stable.
  std::size_t fleetSize(Moment now);

  /// Earlier counts that may still be the maximum: oldest first, in descending order.
  std::deque<PastCount> maxima_;
  FleetCount count_;
  std::optional<ReachabilityEstimate> reachability_;
};

}  // namespace oakpier::serving
