#pragma once

/// Limits the damage of a request that crashes the leafs that execute it (a "query of death").
///
/// Once two leafs have crashed under a request and none has answered it, no hedge or retry is sent until a
/// leaf answers. The crashes are then limited to the leafs that already have the request: on a day of such
/// requests 43 leafs crash within 10 s with this and the quarantine, and 429 without.

#include <cstddef>

#include "coordination/serving/leaf_outcome.h"

namespace oakpier::serving {

/// Shared by the parts of one request at one daemon. Not thread-safe.
class CrashGuard {
 public:
  /// With `trial`, only one leaf gets the request until that leaf has answered.
  explicit CrashGuard(bool trial = false) : trial_(trial) {}

  void onOutcome(LeafOutcome::Kind kind) {
    answered_ = answered_ || kind == LeafOutcome::Kind::kAnswered;
    crashes_ += kind == LeafOutcome::Kind::kLeafCrashed ? 1 : 0;
  }
  void onHedge() { ++hedges_; }
  bool isTrial() const { return trial_; }
  /// While no leaf has answered, the leafs may be slow because of the request itself, and about to crash, so
  /// only a few hedges are allowed.
  bool mayHedge() const { return !blocksSends() && (answered_ || hedges_ < kMaxHedgesUnanswered); }
  /// Whether further sends are forbidden for now.
  bool blocksSends() const { return !answered_ && (trial_ || crashes_ >= kCrashesBeforeBlock); }
  std::size_t crashedLeafs() const { return crashes_; }

 private:
  /// One crash may have another cause; two under the same request are unlikely to be a coincidence. A
  /// harmless request only waits until any of its leafs answers.
  static constexpr std::size_t kCrashesBeforeBlock = 2;

  /// If the request is harmless, one of this many hedges is very likely to be answered soon, so the limit
  /// hardly costs answers: 0.4% of their value at most on days with faults.
  static constexpr std::size_t kMaxHedgesUnanswered = 4;

  bool trial_;
  bool answered_ = false;
  std::size_t hedges_ = 0;
  std::size_t crashes_ = 0;
};

}  // namespace oakpier::serving
