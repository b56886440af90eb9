#pragma once

/// Bounds hedges and retries to a service as a share of its requests, so that the sum over all daemons stays
/// within the operator's bound, also after restarts: a new process starts with nothing saved.

#include <algorithm>
#include <string>
#include <unordered_map>

#include "state/time.h"

namespace oakpier::serving {

struct ExtraSendBounds {
  /// Extra sends earned by one request.
  double ratio = 0.15;
  /// Extra sends earned a second, whatever the requests; the daemons share what the operator allows beyond
  /// the ratio.
  double perSecond = 0.0;
  /// Extra sends that one daemon may save up for a service.
  double saved = 3.0;
};

/// One service's budget at one daemon. Not thread-safe.
class ExtraSendBudget {
 public:
  /// One request came.
  void earn(const ExtraSendBounds& bounds, Moment now) {
    earnTime(bounds, now);
    tokens_ = std::min(bounds.saved, tokens_ + bounds.ratio);
  }

  /// Takes one extra send; false when none is left.
  bool spend(const ExtraSendBounds& bounds, Moment now) {
    earnTime(bounds, now);
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }
  double tokens() const { return tokens_; }
  /// How full the budget is, from 0 to 1.
  double fill(const ExtraSendBounds& bounds) const { return std::clamp(tokens_ / bounds.saved, 0.0, 1.0); }

 private:
  void earnTime(const ExtraSendBounds& bounds, Moment now) {
    if (earnedAt_ != Moment{} && now > earnedAt_) {
      const double seconds = std::chrono::duration<double>(now - earnedAt_).count();
      tokens_ = std::min(bounds.saved, tokens_ + seconds * bounds.perSecond);
    }
    earnedAt_ = now;
  }

  double tokens_ = 0.0;
  Moment earnedAt_{};
};

/// The budgets of all services.
class ExtraSendBudgets {
 public:
  explicit ExtraSendBudgets(const ExtraSendBounds& bounds) : bounds_(bounds) {}

  void setBounds(const ExtraSendBounds& bounds) { bounds_ = bounds; }
  void earn(const std::string& service, Moment now) { budgets_[service].earn(bounds_, now); }
  bool spend(const std::string& service, Moment now) { return budgets_[service].spend(bounds_, now); }
  double fill(const std::string& service) { return budgets_[service].fill(bounds_); }

 private:
  ExtraSendBounds bounds_;
  std::unordered_map<std::string, ExtraSendBudget> budgets_;
};

}  // namespace oakpier::serving
