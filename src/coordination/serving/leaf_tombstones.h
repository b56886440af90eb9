#pragma once

/// Tombstones of removed leaf incarnations, so that a source that is restored from an older backup does not
/// bring them back.
///
/// Invariant: tombstones are bounded in age and number.

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "state/serving/leaf_incarnation.h"
#include "state/time.h"

namespace oakpier::serving {

/// Not thread-safe.
class LeafTombstones {
 public:
  /// The incarnation was removed at `now`.
  void add(const LeafIncarnation& incarnation, Moment now);
  /// Whether the incarnation has a tombstone. Of each leaf id only the last removed incarnation has one.
  bool contains(const LeafIncarnation& incarnation) const;
  /// Drops expired tombstones.
  void onTimer(Moment now);
  /// Number of leafs with a tombstone.
  std::size_t size() const { return byId_.size(); }

 private:
  struct Tombstone {
    LeafIncarnation incarnation;
    Moment removedAt{};
  };

  void removeOldest();

  std::map<std::string, Tombstone> byId_;
  /// In the order of removal; contains an id twice if it was removed again.
  std::deque<Tombstone> order_;
};

}  // namespace oakpier::serving
