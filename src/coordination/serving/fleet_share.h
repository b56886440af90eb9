#pragma once

/// Which share of the fleet a daemon sees: how many daemons answer now of the most that did lately. In a cut
/// each piece sees its own share, and after a loss of machines the rest takes the loss for a cut until the
/// peak is forgotten.
///
/// Invariants: at most 1; a daemon that has just started sees a share of the usual number until its table of
/// members may be relied on.

#include <cstddef>
#include <deque>

#include "state/time.h"

namespace oakpier::serving {

/// So long a lower number of daemons is taken for a cut. Longer than the membership takes to declare daemons
/// dead (7 s at 75 daemons, 13 s at 7,100), since before that their return is as likely.
inline constexpr Duration kPeakRemembered = std::chrono::seconds(30);

class FleetShare {
 public:
  /// `answering`: daemons that are not suspected to be dead, this one included. `planned`: how many to
  /// reckon with while the member table is not settled.
  void onDaemons(std::size_t answering, std::size_t planned, bool settled, Moment now);
  /// More than 0.
  double seen(Moment now);

 private:
  struct Count {
    Moment endedAt{};
    std::size_t daemons = 0;
  };

  /// Earlier counts, falling, with the moment at which each ended.
  std::deque<Count> earlier_;
  std::size_t answering_ = 1;
  std::size_t planned_ = 1;
  bool settled_ = false;
};

}  // namespace oakpier::serving
