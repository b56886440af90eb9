#pragma once

/// Estimates which fraction of the fleet a daemon can see: the daemons that are alive to it now, divided by
/// the recent maximum. During a network partition each side sees its own fraction. A loss of machines looks
/// the same until the maximum leaves the retention period.
///
/// Invariants: at most 1; until the membership is stable after a start, the divisor is at least the
/// expected size of the fleet.

#include <cstddef>
#include <deque>

#include "state/time.h"

namespace oakpier::serving {

/// How long the maximum is kept. Longer than the membership takes to declare a daemon dead (7 s with 75
/// daemons, 13 s with 7,100), since until then an unreachable daemon may
/// well return.
inline constexpr Duration kMaximumRetention = std::chrono::seconds(30);

class FleetVisibility {
 public:
  /// `alive`: daemons that are not suspected, this one included. `expected`: expected size of the fleet,
  /// used until the membership is stable.
  void onDaemons(std::size_t alive, std::size_t expected, bool membershipStable, Moment now);
  /// In (0, 1].
  double visibleFraction(Moment now);

 private:
  struct Count {
    /// When `daemons` stopped being the current count.
    Moment endedAt{};
    std::size_t daemons = 0;
  };

  /// Earlier counts that may still be the maximum: oldest first, in descending order.
  std::deque<Count> maxima_;
  std::size_t alive_ = 1;
  std::size_t expected_ = 1;
  bool membershipStable_ = false;
};

}  // namespace oakpier::serving
