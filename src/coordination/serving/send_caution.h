#pragma once

/// Limits the damage of a request that crashes the leafs that execute it (a "query of death").
///
/// Once two leafs have crashed under a request and none has answered it, no hedge or retry is sent until a
/// leaf answers. The crashes are then limited to the leafs that already have the request.

#include <cstddef>

#include "coordination/serving/leaf_outcome.h"

namespace oakpier::serving {

/// Shared by the parts of one request at one daemon. Not thread-safe.
class SendCaution {
 public:
  /// With `oneLeafFirst` (a trial) only one leaf gets the request until it has answered.
  explicit SendCaution(bool oneLeafFirst = false) : oneLeafFirst_(oneLeafFirst) {}

  void onOutcome(LeafOutcome::Kind kind) {
    answered_ = answered_ || kind == LeafOutcome::Kind::kAnswered;
    ended_ += kind == LeafOutcome::Kind::kLeafEnded ? 1 : 0;
  }
  void onHedge() { ++hedges_; }
  bool oneLeafFirst() const { return oneLeafFirst_; }
  /// While no leaf has answered, all of them may be slow because of the request itself and crash soon, so
  /// only a few hedges are allowed.
  bool mayHedge() const { return !holds() && (answered_ || hedges_ < kMostHedgesUnanswered); }
  /// Whether further sends are forbidden for now.
  bool holds() const { return !answered_ && (oneLeafFirst_ || ended_ >= kMostEnded); }
  std::size_t endedLeafs() const { return ended_; }

 private:
  /// One crash may have another cause; two under the same request hardly have. A harmless request only waits
  /// until any of its leafs answers.
  static constexpr std::size_t kMostEnded = 2;

  /// If the request is harmless, one of this many hedges is very likely to be answered soon.
  static constexpr std::size_t kMostHedgesUnanswered = 4;

  bool oneLeafFirst_;
  bool answered_ = false;
  std::size_t hedges_ = 0;
  std::size_t ended_ = 0;
};

}  // namespace oakpier::serving
