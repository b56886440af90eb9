#pragma once

/// Bounds hedges and retries to a service as a share of its requests, so that the sum over all daemons stays
/// within the operator's bound, also after restarts: a new process starts with nothing saved.

#include <algorithm>
#include <string>
#include <unordered_map>

namespace oakpier::serving {

struct ExtraSendBounds {
  /// Extra sends earned by one request.
  double ratio = 0.15;
  /// Extra sends that one daemon may save up for a service.
  double saved = 3.0;
};

/// One service's budget at one daemon. Not thread-safe.
class ExtraSendBudget {
 public:
  void earn(const ExtraSendBounds& bounds) { tokens_ = std::min(bounds.saved, tokens_ + bounds.ratio); }

  /// Takes one extra send; false when none is left.
  bool spend() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }
  double tokens() const { return tokens_; }

 private:
  double tokens_ = 0.0;
};

/// The budgets of all services.
class ExtraSendBudgets {
 public:
  explicit ExtraSendBudgets(const ExtraSendBounds& bounds) : bounds_(bounds) {}

  void setBounds(const ExtraSendBounds& bounds) { bounds_ = bounds; }
  void earn(const std::string& service) { budgets_[service].earn(bounds_); }
  bool spend(const std::string& service) { return budgets_[service].spend(); }

 private:
  ExtraSendBounds bounds_;
  std::unordered_map<std::string, ExtraSendBudget> budgets_;
};

}  // namespace oakpier::serving
