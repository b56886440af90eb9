#pragma once

/// Judges what the epoch in each answer of the configuration source means for what is known here.
///
/// Invariant: once an epoch was told, an answer without a usable one is never taken for one of the known
/// epoch. Whether a rise skips some epochs does not matter for what is done: the source is listed anew.

#include <cstdint>

#include "coordination/serving/source_records.h"

namespace oakpier::serving {

enum class EpochVerdict {
  /// Of the epoch that is known, or of a source that has never told one, or there is no answer to judge.
  kKnown,
  /// The source has come back from a copy since.
  kNewer,
  /// Made before the source came back.
  kOlder,
  kMissing,
  kMalformed,
};

struct EpochCounters {
  /// Answers that told an epoch, whichever.
  std::uint64_t told = 0;
  /// Times that a newer epoch than the known one became known.
  std::uint64_t restorations = 0;
  /// Epochs that were never heard of, as the next one was already told.
  std::uint64_t skipped = 0;
  /// Answers of an older epoch, without one though one was told before, and with one that is no number.
  std::uint64_t older = 0;
  std::uint64_t missing = 0;
  std::uint64_t malformed = 0;
};

class EpochWatch {
 public:
  /// An answer came that tells this, while the source's state of `known` is known.
  EpochVerdict judge(const ToldEpoch& told, std::uint64_t known);
  /// The source's state of one epoch was taken over after that of another.
  void onRestored(std::uint64_t before, std::uint64_t now);
  const EpochCounters& counters() const { return counters_; }

 private:
  EpochCounters counters_;
};

}  // namespace oakpier::serving
