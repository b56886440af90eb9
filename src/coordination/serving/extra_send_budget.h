#pragma once

/// Bounds hedges and retries to a service as a share of its requests, so that the sum over all daemons stays
/// within the operator's bound, also after restarts: what the process before may have spent lately is
/// unknown, so a new one has nothing saved until the operator's window has passed once, and then all that may
/// be saved.

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
  /// The operator counts extra sends in spans of this length.
  Duration window = std::chrono::seconds(10);
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
  /// Gives all that may be saved, the first time that it is called.
  void fillOnce(const ExtraSendBounds& bounds) {
    if (!filled_) {
      filled_ = true;
      tokens_ = bounds.saved;
    }
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
  bool filled_ = false;
  Moment earnedAt_{};
};

/// The budgets of all services.
class ExtraSendBudgets {
 public:
  ExtraSendBudgets(const ExtraSendBounds& bounds, Moment startedAt)
      : bounds_(bounds), startedAt_(startedAt) {}

  void setBounds(const ExtraSendBounds& bounds) { bounds_ = bounds; }
  void earn(const std::string& service, Moment now) { budgetOf(service, now).earn(bounds_, now); }
  bool spend(const std::string& service, Moment now) { return budgetOf(service, now).spend(bounds_, now); }
  double fill(const std::string& service, Moment now) { return budgetOf(service, now).fill(bounds_); }

 private:
  ExtraSendBudget& budgetOf(const std::string& service, Moment now) {
    ExtraSendBudget& budget = budgets_[service];
    if (now - startedAt_ >= bounds_.window) {
      budget.fillOnce(bounds_);
    }
    return budget;
  }

  ExtraSendBounds bounds_;
  Moment startedAt_;
  std::unordered_map<std::string, ExtraSendBudget> budgets_;
};

}  // namespace oakpier::serving
