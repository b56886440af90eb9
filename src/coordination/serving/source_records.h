#pragma once

/// What the read-only configuration source holds, as its readers see it.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/serving/leaf_directory.h"

namespace oakpier::serving {

struct SourceRecord {
  std::string key;
  std::string value;
  /// The source's revision at the record's last change.
  std::uint64_t revision = 0;
  /// The record was removed.
  bool gone = false;
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
};

using SourceAnswer = std::variant<SourcePage, SourceFailure>;

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
