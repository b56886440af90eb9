#pragma once

/// Remembers for a while which lives of leafs have ended, so that a source that comes back from an older copy
/// cannot bring them back.
///
/// Invariant: what is remembered is bounded, in time and number.

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "state/serving/leaf_incarnation.h"
#include "state/time.h"

namespace oakpier::serving {

/// Not thread-safe.
class DepartedLeafs {
 public:
  /// The life of the leaf has ended just now.
  void add(const LeafIncarnation& life, Moment now);
  /// This life of the leaf has ended lately.
  bool include(const LeafIncarnation& life) const;
  /// Forgets what is too old.
  void onTimer(Moment now);
  /// Leafs of which an ended life is remembered.
  std::size_t size() const { return byId_.size(); }

 private:
  struct Departure {
    LeafIncarnation life;
    Moment at{};
  };

  void forgetOldest();

  std::map<std::string, Departure> byId_;
  /// In the order of departure; an id that departed again stands here twice.
  std::deque<Departure> order_;
};

}  // namespace oakpier::serving
