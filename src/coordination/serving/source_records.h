#pragma once

/// Records and answers of the read-only configuration source.

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "state/serving/leaf_directory.h"
#include "state/serving/source_position.h"

namespace oakpier::serving {

struct SourceRecord {
  std::string key;
  std::string value;
  /// The source's revision at the last change of the record.
  std::uint64_t revision = 0;
  /// The record was deleted.
  bool deleted = false;
  /// The epoch of `revision`.
  std::uint64_t epoch = 0;

  SourcePosition position() const { return SourcePosition{epoch, revision}; }
};

/// A page of a listing, or the changes since a revision.
struct SourcePage {
  std::vector<SourceRecord> records;
  /// There are records after the last key.
  bool more = false;
  /// The source's revision at the time of the answer.
  std::uint64_t revision = 0;
  /// Number of records without a readable key or revision, which `records` does not contain.
  std::size_t malformed = 0;
};

enum class SourceFailure {
  /// The source does not have the changes since the requested revision; a new listing is needed.
  kHistoryUnavailable,
  /// The source rejected the call because there are too many.
  kThrottled,
  kUnavailable,
  /// A timeout, a broken connection or an answer that cannot be parsed.
  kNoAnswer,
  /// The answer is of an epoch before the known one.
  kOlderEpoch,
  /// The answer has no usable epoch.
  kNoUsableEpoch,
};

/// The epoch that an answer reports. A new epoch begins whenever the source is restored from a backup: its
/// revisions then go back and are assigned again.
struct ReportedEpoch {
  enum class Kind {
    /// There is no answer.
    kUnanswered,
    /// The answer contains no epoch.
    kMissing,
    /// The answer contains several epochs, or one that is not an integer.
    kMalformed,
    kReported,
  };
  Kind kind = Kind::kMissing;
  std::uint64_t epoch = 0;

  static ReportedEpoch of(std::uint64_t epoch) { return ReportedEpoch{Kind::kReported, epoch}; }
};

/// An answer of the source, or the reason why there is none.
struct SourceAnswer {
  using Content = std::variant<SourcePage, SourceFailure>;

  // NOLINTNEXTLINE(google-explicit-constructor): a bare page is the answer of a source without epochs.
  SourceAnswer(SourcePage page) : content(std::move(page)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): a bare failure means that there was no answer.
  SourceAnswer(SourceFailure failure) : content(failure), epoch{ReportedEpoch::Kind::kUnanswered, 0} {}
  SourceAnswer(Content answerContent, ReportedEpoch reportedEpoch)
      : content(std::move(answerContent)), epoch(reportedEpoch) {}

  Content content;
  /// Error answers may report it too.
  ReportedEpoch epoch;
};

/// A leaf's record was deleted.
struct LeafRemoval {
  std::string id;
};

/// The operator evacuates a zone: its leafs get no new requests.
struct ZoneEvacuation {
  std::string zone;
};

/// The operator has ended the evacuation of a zone.
struct ZoneEvacuationEnd {
  std::string zone;
};

/// A record of a known kind whose value is invalid.
struct UnusableRecord {
  std::string error;
  /// The record's key is that of a configuration, which may be newer than any known one.
  bool isConfiguration = false;
};

/// An invalid record under the key of a leaf. Leafs write no such records themselves, so a known leaf of that
/// id is removed.
struct UnusableLeaf {
  std::string id;
  std::string error;
};

/// The meaning of one record; `std::monostate` for records that do not concern the gateway.
using SourceStatement = std::variant<std::monostate, ServingConfiguration, LeafEntry, LeafRemoval,
                                     ZoneEvacuation, ZoneEvacuationEnd, UnusableRecord, UnusableLeaf>;

/// The last record of each key. `epoch` is set in the result.
std::vector<SourceRecord> latestPerKey(const std::vector<SourceRecord>& records, std::uint64_t epoch);

}  // namespace oakpier::serving
