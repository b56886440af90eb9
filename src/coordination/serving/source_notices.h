#pragma once

/// What an operator should see of the following of the configuration source; each becomes a line of the log.

#include <cstddef>
#include <cstdint>
#include <variant>

#include "coordination/serving/epoch_watch.h"

namespace oakpier::serving {

/// The source told an epoch that is not the known one, or none that can be used. Told when it changes.
struct EpochNotice {
  EpochVerdict verdict = EpochVerdict::kKnown;
  /// As told; 0 when it is missing or malformed.
  std::uint64_t told = 0;
  SourcePosition known;
};

/// A listing was read that is older than what is known, and is not taken over.
struct OutdatedListing {
  SourcePosition listed;
  SourcePosition known;
};

/// What a source holds that has come back from a copy was taken over.
struct SourceRestored {
  SourcePosition before;
  SourcePosition now;
  /// In force; the source may hold an older one until the operator has written it again.
  std::uint64_t configurationVersion = 0;
  std::size_t leafsListed = 0;
  /// Used on although they are not listed, until they are written again or that is overdue.
  std::size_t leafsAwaited = 0;
  /// Of which the source says something older than what is believed.
  std::size_t leafsDisputed = 0;
};

/// The source tells epochs, which not all sources do. Told once.
struct EpochsTold {
  std::uint64_t first = 0;
};

using SourceNotice = std::variant<EpochNotice, OutdatedListing, SourceRestored, EpochsTold>;

}  // namespace oakpier::serving
