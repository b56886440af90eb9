#pragma once

/// Decides when the configuration source is asked for what: first a listing, then the changes since.
///
/// Invariants: one call at a time; after a failure the next call waits longer, up to a bound; a listing is
/// followed by the changes since its first page, as its pages are no snapshot.

#include <cstdint>
#include <optional>
#include <string>

#include "coordination/serving/source_records.h"
#include "state/random.h"

namespace oakpier {

struct SourceCall {
  enum class Kind { kList, kChanges };
  Kind kind = Kind::kList;
  /// For kList: the last key of the page before; empty for the first page.
  std::string afterKey;
  /// For kChanges.
  std::uint64_t afterRevision = 0;
};

struct SourceReaderSettings {
  /// Between two calls for changes.
  Duration pace = std::chrono::milliseconds(1200);
  Duration shortestBackoff = std::chrono::milliseconds(150);
  Duration longestBackoff = std::chrono::milliseconds(1000);
};

class SourceReader {
 public:
  SourceReader(const SourceReaderSettings& settings, RandomEngine random);

  /// The call to make now, if one is due and none is in progress.
  std::optional<SourceCall> takeCall(Moment now);
  Moment nextCallAt() const { return inProgress_ ? kNever : nextCallAt_; }

  void onPage(const SourcePage& page, Moment now);
  void onFailure(SourceFailure failure, Moment now);

  /// The page that was just handed in ends a whole listing.
  bool listingComplete() const { return listingComplete_; }
  /// Everything up to this revision is known; 0 before the first listing.
  std::uint64_t knownRevision() const { return knownRevision_; }
  unsigned failuresInRow() const { return failuresInRow_; }

 private:
  SourceReaderSettings settings_;
  RandomEngine random_;
  SourceCall next_;
  bool inProgress_ = false;
  bool listingComplete_ = false;
  std::uint64_t listingRevision_ = 0;
  std::uint64_t knownRevision_ = 0;
  unsigned failuresInRow_ = 0;
  Moment nextCallAt_{};
};

}  // namespace oakpier
