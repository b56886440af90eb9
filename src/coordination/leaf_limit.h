#pragma once

/// Adaptive limit on one owner's concurrent requests to one leaf: up to the leaf's slots, lower while the
/// leaf sheds load or is cold.

#include <algorithm>
#include <cstdint>

#include "oakpier/leaf.pb.h"

namespace oakpier {

class LeafLimit {
 public:
  explicit LeafLimit(std::uint32_t slots) : slots_(std::max(1U, slots)), limit_(slots_) {}

  void setSlots(std::uint32_t slots) {
    slots_ = std::max(1U, slots);
    limit_ = std::min(limit_, static_cast<double>(slots_));
  }

  /// AIMD: additive increase up to the slots on success, multiplicative decrease when the leaf sheds load. A
  /// leaf that turns cold restarts at 1.
  void onAnswer(LeafStatus status, const LeafState& state) {
    if (state.cold() && !cold_) {
      limit_ = 1;
    }
    cold_ = state.cold();
    if (status == LEAF_SHED) {
      limit_ = std::max(1.0, limit_ * kDecrease);
    } else if (status == LEAF_OK) {
      const double step = cold_ ? kColdIncrease : kIncrease / limit_;
      limit_ = std::min(static_cast<double>(slots_), limit_ + step);
    }
  }

  std::uint32_t current() const { return static_cast<std::uint32_t>(limit_); }

 private:
  static constexpr double kDecrease = 0.7;
  static constexpr double kIncrease = 0.5;
  static constexpr double kColdIncrease = 0.05;

  std::uint32_t slots_;
  double limit_;
  bool cold_ = false;
};

}  // namespace oakpier
