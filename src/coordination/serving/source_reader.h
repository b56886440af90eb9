#pragma once

/// Schedules the calls to the configuration source: a listing first, then the changes since.
///
/// Invariants: one call at a time; after each failure in a row the backoff grows up to a bound, and starts
/// over for a call that its predecessor's backoff did not delay; a listing is followed by the changes since
/// its first page, because its pages are not one snapshot; the known position never decreases.

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
  /// For kList: the last key of the previous page; empty for the first page.
  std::string afterKey;
  /// For kChanges: the changes after this revision are requested.
  std::uint64_t afterRevision = 0;
  /// For kChanges: how long the source may hold the call open until there is a change (long poll).
  Duration wait{};
  /// The epoch of `afterRevision`, or of the listing's first page. An answer of another epoch does not
  /// continue this call.
  std::uint64_t epoch = 0;
};

struct SourceReaderSettings {
  /// Time from the answer to a call for changes to the next call. Batches changes in quick succession.
  Duration minCallInterval = std::chrono::milliseconds(250);
  /// How long the source may hold a call for changes open. Bounds how long a lost answer, or the loss of the
  /// reader, goes unnoticed. The reader makes about one call in this time.
  Duration maxWait = std::chrono::milliseconds(1000);
  Duration initialBackoff = std::chrono::milliseconds(150);
};

class SourceReader {
 public:
  SourceReader(const SourceReaderSettings& settings, RandomEngine random);

  /// The call to make now, if one is due and none is in progress.
  std::optional<SourceCall> takeCall(Moment now);
  bool callInProgress() const { return inProgress_; }
  Moment nextCallAt() const { return inProgress_ ? kNever : nextCallAt_; }

  /// Ends the call. `epoch`: of the answer; the same as the call's, except for a listing's first page.
  void onPage(const SourcePage& page, std::uint64_t epoch, Moment now);
  /// Ends the call whose answer does not continue it because the source was restored from a backup. A new
  /// listing starts after `after`.
  void relist(Duration after, Moment now);
  /// Ends the call and ignores its answer, because an update has meanwhile reported a newer epoch.
  void discardAnswer(Moment now);
  /// Ends the call. `backoffCap`: upper bound of the time until the next one.
  void onFailure(SourceFailure failure, Duration backoffCap, Moment now);

  /// No call before `moment`.
  void callNoEarlierThan(Moment moment) { nextCallAt_ = std::max(nextCallAt_, moment); }
  /// The next call is due no later than `moment`, also if `callNoEarlierThan` was called.
  void callNoLaterThan(Moment moment) { nextCallAt_ = std::min(nextCallAt_, moment); }
  /// Makes the next call due now, and answered without waiting for a change. A backoff after failed calls
  /// still applies. No effect while a call is in progress or before the first listing is complete.
  void expediteCall(Moment now);
  /// An update of a peer was applied: everything up to `position` is known.
  void onUpdate(const SourcePosition& position);
  /// Another daemon is the reader and last read at `confirmedAt`: this daemon's next call waits until the
  /// reader's next update is overdue by `stagger`. The source then answers it without waiting for a change,
  /// because peers are waiting for the result as well.
  void awaitUpdate(Moment confirmedAt, Duration stagger);

  /// The last page completed a listing.
  bool listingComplete() const { return listingComplete_; }
  /// Everything up to this position is known; revision 0 before the first listing.
  const SourcePosition& known() const { return known_; }
  unsigned consecutiveFailures() const { return consecutiveFailures_; }

 private:
  /// The upper bound of the backoff after the call in progress failed.
  Duration nextBackoff(Duration backoffCap);
  /// A call for the changes since the known position, or a listing if the source no longer has that history.
  SourceCall nextCallFor(Duration wait) const;

  SourceReaderSettings settings_;
  RandomEngine random_;
  SourceCall nextCall_;
  bool inProgress_ = false;
  /// The call in progress.
  SourceCall currentCall_;
  bool listingComplete_ = false;
  /// The position of the first page of the listing in progress.
  SourcePosition listingPosition_;
  SourcePosition known_;
  /// The source no longer has the changes since this position. While it is still the known one, the source is
  /// listed instead.
  std::optional<SourcePosition> historyUnavailableAfter_;
  /// Failed calls since the last successful one.
  unsigned consecutiveFailures_ = 0;
  /// How often the backoff was doubled.
  unsigned backoffDoublings_ = 0;
  Moment nextCallAt_{};
  /// When the call in progress was made.
  Moment callMadeAt_{};
  /// The backoff after the last failed call ends then.
  Moment backoffUntil_{};
};

}  // namespace oakpier::serving
