#pragma once

/// Events in following the configuration source that are logged for the operator.

#include <cstddef>
#include <cstdint>
#include <variant>

#include "coordination/serving/epoch_classifier.h"

namespace oakpier::serving {

/// The source reported another epoch than the known one, or none that can be used. Raised once per change.
struct EpochNotice {
  EpochVerdict verdict = EpochVerdict::kKnown;
  /// As reported; 0 if it is missing or malformed.
  std::uint64_t reported = 0;
  SourcePosition known;
};

/// A listing was discarded because it is older than the known position.
struct StaleListing {
  SourcePosition listed;
  SourcePosition known;
};

/// The records of a source that was restored from a backup were applied.
struct SourceRestored {
  SourcePosition previous;
  SourcePosition current;
  /// The configuration in effect. The source may hold an older one until the operator rewrites it.
  std::uint64_t configurationVersion = 0;
  std::size_t leafsListed = 0;
  /// Kept in use although the backup lacks them, until they are rewritten or the time to do so is over.
  std::size_t leafsRetained = 0;
  /// For which the backup holds an older entry than the known one.
  std::size_t leafsConflicting = 0;
};

/// The source supports epochs, which not every source does. Raised once.
struct EpochsSupported {
  std::uint64_t first = 0;
};

using SourceNotice = std::variant<EpochNotice, StaleListing, SourceRestored, EpochsSupported>;

}  // namespace oakpier::serving
