#pragma once

/// A place in the history of the configuration source.

#include <cstdint>
#include <tuple>

namespace oakpier::serving {

/// Revisions rise with each change within an epoch. When the source comes back from an older copy, an epoch
/// begins in which revisions go back and are given out again, so that a revision alone names no place.
struct SourcePosition {
  /// 0 for a source that tells none.
  std::uint64_t epoch = 0;
  /// 0: nothing of the epoch is known.
  std::uint64_t revision = 0;

  bool operator==(const SourcePosition& other) const {
    return std::tie(epoch, revision) == std::tie(other.epoch, other.revision);
  }
  bool operator!=(const SourcePosition& other) const { return !(*this == other); }
  bool operator<(const SourcePosition& other) const {
    return std::tie(epoch, revision) < std::tie(other.epoch, other.revision);
  }
  bool operator>(const SourcePosition& other) const { return other < *this; }
  bool operator<=(const SourcePosition& other) const { return !(other < *this); }
  bool operator>=(const SourcePosition& other) const { return !(*this < other); }
};

}  // namespace oakpier::serving
