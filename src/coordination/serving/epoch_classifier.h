#pragma once

/// Compares the epoch that an answer of the configuration source reports with the known one.
///
/// Invariant: once an epoch was reported, an answer without a usable one never counts as of the known epoch.
/// Skipped epochs make no difference: any newer epoch causes a new listing.

#include <cstdint>

#include "coordination/serving/source_records.h"

namespace oakpier::serving {

enum class EpochVerdict {
  /// The known epoch, or none from a source that has never reported one, or there is no answer.
  kKnown,
  /// The source was restored from a backup since.
  kNewer,
  /// The answer is from before the source was restored.
  kOlder,
  kMissing,
  kMalformed,
};

struct EpochCounters {
  /// Answers that reported an epoch.
  std::uint64_t reported = 0;
  /// Times that the known epoch was replaced by a newer one.
  std::uint64_t restorations = 0;
  /// Epochs that were never seen, because a later one was reported first.
  std::uint64_t skipped = 0;
  /// Answers of an older epoch than the known one.
  std::uint64_t older = 0;
  /// Answers without an epoch although one was reported before or is known from a peer.
  std::uint64_t missing = 0;
  /// Answers with several epochs, or with one that is not an integer.
  std::uint64_t malformed = 0;
};

class EpochClassifier {
 public:
  /// `known`: the epoch of what is known here.
  EpochVerdict classify(const ReportedEpoch& reported, std::uint64_t known);
  /// The known epoch changed from `previous` to `current`.
  void onRestored(std::uint64_t previous, std::uint64_t current);
  const EpochCounters& counters() const { return counters_; }

 private:
  EpochCounters counters_;
};

}  // namespace oakpier::serving
