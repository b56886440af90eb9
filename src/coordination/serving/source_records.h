#pragma once

/// What the read-only configuration source holds, as its readers see it.

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
  /// The source's revision at the record's last change.
  std::uint64_t revision = 0;
  /// The record was removed.
  bool gone = false;
  /// Of `revision`.
  std::uint64_t epoch = 0;

  SourcePosition position() const { return SourcePosition{epoch, revision}; }
};

/// Part of a listing, or the changes since a revision.
struct SourcePage {
  std::vector<SourceRecord> records;
  /// More follows after the last key.
  bool more = false;
  /// The source's revision at the answer.
  std::uint64_t revision = 0;
  /// Records of the answer without a readable key or revision; they are not among `records`.
  std::size_t unreadable = 0;
};

enum class SourceFailure {
  /// The changes since the revision asked for are no longer kept; list anew.
  kHistoryGone,
  /// Too many calls.
  kThrottled,
  kUnavailable,
  /// Silence, a broken connection or an answer that cannot be read.
  kNoAnswer,
  /// An answer that the source made before it came back from a copy.
  kOlderEpoch,
  /// An answer of which cannot be said to which epoch it belongs.
  kNoUsableEpoch,
};

/// What an answer says of the epoch of the source's history. Each time that the source comes back from an
/// older copy of its records a new epoch begins: revisions go back then and are given out again.
struct ToldEpoch {
  enum class Kind {
    /// There is no answer that could tell one.
    kUnanswered,
    /// The answer names none.
    kMissing,
    /// What it names is no whole number, or it names several.
    kMalformed,
    kTold,
  };
  Kind kind = Kind::kMissing;
  std::uint64_t epoch = 0;

  static ToldEpoch of(std::uint64_t epoch) { return ToldEpoch{Kind::kTold, epoch}; }
};

/// An answer of the source, or the lack of one.
struct SourceAnswer {
  using Content = std::variant<SourcePage, SourceFailure>;

  // NOLINTNEXTLINE(google-explicit-constructor): a page is an answer of a source that tells no epoch.
  SourceAnswer(SourcePage page) : content(std::move(page)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): a failure alone stands for the lack of an answer.
  SourceAnswer(SourceFailure failure) : content(failure), epoch{ToldEpoch::Kind::kUnanswered, 0} {}
  SourceAnswer(Content answerContent, ToldEpoch toldEpoch)
      : content(std::move(answerContent)), epoch(toldEpoch) {}

  Content content;
  /// Refusals tell it as well.
  ToldEpoch epoch;
};

/// A record that says that a leaf is no longer listed.
struct LeafRemoval {
  std::string id;
};

/// The operator wants nothing new sent to the leafs of a zone.
struct ZoneEvacuation {
  std::string zone;
};

/// The operator has taken the evacuation of a zone back.
struct ZoneEvacuationEnd {
  std::string zone;
};

/// A record that is known but cannot be used.
struct UnusableRecord {
  std::string problem;
  /// It would be a configuration: perhaps a newer one than any that is known.
  bool isConfiguration = false;
};

/// A leaf's record that something else than the leaf has written: it names no leaf to use.
struct UnusableLeaf {
  std::string id;
  std::string problem;
};

/// What one record means; empty for records that do not concern the gateway.
using SourceStatement = std::variant<std::monostate, ServingConfiguration, LeafEntry, LeafRemoval,
                                     ZoneEvacuation, ZoneEvacuationEnd, UnusableRecord, UnusableLeaf>;

}  // namespace oakpier::serving
