#pragma once

/// A position in the history of the configuration source.

#include <cstdint>
#include <tuple>

namespace oakpier::serving {

/// Revisions increase with each change within an epoch. When the source is restored from a backup, a new
/// epoch starts, in which revisions restart at a lower number and are reused. Therefore only epoch and
/// revision together identify a position.
struct SourcePosition {
  /// 0 if the source reports none.
  std::uint64_t epoch = 0;
  /// 0: no change of the epoch is known.
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
