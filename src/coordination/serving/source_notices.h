#pragma once

/// What an operator should see of the following of the configuration source; each becomes a line of the log.

#include <cstdint>
#include <variant>

#include "coordination/serving/epoch_watch.h"

namespace oakpier::serving {

/// The source told an epoch that is not the known one, or none that can be used. Told when it changes.
struct EpochNotice {
  EpochVerdict verdict = EpochVerdict::kKnown;
  /// As told; 0 when it is missing or malformed.
  std::uint64_t told = 0;
  std::uint64_t known = 0;
  std::uint64_t knownRevision = 0;
};

/// A listing was read that is older than what is known, and is not taken over.
struct OutdatedListing {
  std::uint64_t listedRevision = 0;
  std::uint64_t knownRevision = 0;
};

/// The source tells epochs, which not all sources do. Told once.
struct EpochsTold {
  std::uint64_t first = 0;
};

using SourceNotice = std::variant<EpochNotice, OutdatedListing, EpochsTold>;

}  // namespace oakpier::serving
