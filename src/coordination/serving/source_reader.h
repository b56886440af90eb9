#pragma once

/// Decides when the configuration source is asked for what: first a listing, then the changes since.
///
/// Invariants: one call at a time; after a failure the next call waits longer, up to a bound; a listing is
/// followed by the changes since its first page, as its pages are no snapshot; the known position never
/// goes back.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "coordination/serving/source_records.h"
#include "state/random.h"

namespace oakpier::serving {

struct SourceCall {
  enum class Kind { kList, kChanges };
  Kind kind = Kind::kList;
  /// For kList: the last key of the page before; empty for the first page.
  std::string afterKey;
  /// For kChanges.
  std::uint64_t afterRevision = 0;
  /// For kChanges: how long the source may wait for a change before it answers with none.
  Duration wait{};
  /// Of `afterRevision`, or of the listing's first page. An answer of another epoch does not continue what
  /// the call asked to continue.
  std::uint64_t epoch = 0;
};

struct SourceReaderSettings {
  /// Between the answer to a call for changes and the next, so that changes in quick succession are read
  /// together.
  Duration pace = std::chrono::milliseconds(250);
  /// How long the source may wait for a change. Bounds how long a lost answer, or the loss of the daemon that
  /// reads for the others, stays unnoticed; one daemon calls about once in this time.
  Duration wait = std::chrono::milliseconds(1000);
  Duration shortestBackoff = std::chrono::milliseconds(150);
};

class SourceReader {
 public:
  SourceReader(const SourceReaderSettings& settings, RandomEngine random);

  /// The call to make now, if one is due and none is in progress.
  std::optional<SourceCall> takeCall(Moment now);
  Moment nextCallAt() const { return inProgress_ ? kNever : nextCallAt_; }

  /// `epoch`: of the answer; for all but the first page of a listing that of the call.
  void onPage(const SourcePage& page, std::uint64_t epoch, Moment now);
  /// The call has ended; its answer does not continue what was asked for, as the source has come back from a
  /// copy. What it holds now is listed, no sooner than `after` from now.
  void listAnew(Duration after, Moment now);
  /// The call has ended; news has told of a newer epoch meanwhile, so that its answer is of no use.
  void dropAnswer(Moment now);
  /// `longestBackoff`: the next call waits no longer.
  void onFailure(SourceFailure failure, Duration longestBackoff, Moment now);

  /// No call before that moment.
  void holdUntil(Moment moment) { nextCallAt_ = std::max(nextCallAt_, moment); }
  /// The first call is due by that moment, whatever was said of holding it.
  void callBy(Moment moment) { nextCallAt_ = std::min(nextCallAt_, moment); }
  /// The changes are wanted now, without waiting for one; a wait after failed calls is kept.
  void readNow(Moment now);
  /// Another daemon has told everything up to `position`.
  void onNews(const SourcePosition& position);
  /// Another daemon goes on reading and last did so at `freshAt`: this daemon's own next call waits until the
  /// other's next news is overdue by `stagger`. It then asks for an answer at once, as others wait for it
  /// too.
  void leaveToOther(Moment freshAt, Duration stagger);

  /// The page that was just handed in ends a whole listing.
  bool listingComplete() const { return listingComplete_; }
  /// Everything up to there is known; revision 0 before the first listing.
  const SourcePosition& known() const { return known_; }
  unsigned failuresInRow() const { return failuresInRow_; }

 private:
  /// The changes since what is known, or a listing where the source does not tell these any more.
  SourceCall nextFor(Duration wait) const;

  SourceReaderSettings settings_;
  RandomEngine random_;
  SourceCall next_;
  bool inProgress_ = false;
  /// The call in progress.
  SourceCall current_;
  bool listingComplete_ = false;
  /// Of the first page of the listing in progress.
  SourcePosition listing_;
  SourcePosition known_;
  /// The source does not tell the changes since then any more: unless others tell of a later place, it is
  /// listed.
  std::optional<SourcePosition> historyGoneAt_;
  unsigned failuresInRow_ = 0;
  Moment nextCallAt_{};
  /// No call before, as the last one has failed.
  Moment backoffUntil_{};
};

}  // namespace oakpier::serving
