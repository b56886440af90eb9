#pragma once

/// Random delays for an action that one of many daemons should take: only a few draw a short delay, so that
/// the others are notified before theirs is over and need not act (timer-based feedback suppression with
/// exponentially distributed timers, as in reliable multicast).

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "state/random.h"
#include "state/time.h"

namespace oakpier::serving {

/// Between zero and `maximum`. Of `count` daemons about one draws zero.
inline Duration suppressionDelay(Duration maximum, std::size_t count, RandomEngine& random) {
  const double drawn = std::uniform_real_distribution<double>(1e-9, 1.0)(random);
  const double fraction =
      1.0 + std::log(drawn) / std::log(static_cast<double>(std::max<std::size_t>(2, count)));
  return Duration(static_cast<std::int64_t>(static_cast<double>(maximum.count()) * std::max(0.0, fraction)));
}

}  // namespace oakpier::serving
