#pragma once

/// What a daemon can prove of the age of its configuration. A request that bears a key begins only under a
/// proof that is younger than the operator's bound on the use of keys that were taken away.

#include <cstdint>

#include "state/time.h"

namespace oakpier::serving {

/// At `provenAt`, on the daemon's own steady clock (which counts suspensions of the machine), no
/// configuration newer than `version` was acknowledged by the source.
struct ConfigurationProof {
  std::uint64_t version = 0;
  /// `Moment{}` while nothing is proved.
  Moment provenAt{};

  /// The proof holds for a daemon that uses version `used`, as of `now`, with an age of at most `bound`.
  bool covers(std::uint64_t used, Moment now, Duration bound) const {
    return version != 0 && used >= version && now - provenAt <= bound;
  }
};

}  // namespace oakpier::serving
