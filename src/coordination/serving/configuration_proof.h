#pragma once

/// Proof that a daemon's configuration was current at some moment. A request with a key is admitted on
/// behalf of its tenant only under a proof younger than the operator's bound, if any, on the use of revoked
/// keys.

#include <cstdint>

#include "state/time.h"

namespace oakpier::serving {

/// At `provenAt` the source had acknowledged no configuration newer than `version`. The time is on the
/// daemon's own steady clock, which also advances while the machine is suspended.
struct ConfigurationProof {
  std::uint64_t version = 0;
  /// `Moment{}`, with version 0, if there is no proof.
  Moment provenAt{};

  /// Whether it is at most `bound` old and `used`, the version in use, is not older than the proven one.
  bool covers(std::uint64_t used, Moment now, Duration bound) const {
    return version != 0 && used >= version && now - provenAt <= bound;
  }
};

}  // namespace oakpier::serving
