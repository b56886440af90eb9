#pragma once

/// Bounds hedges and retries to a service as a share of its requests, so that the sum over all daemons stays
/// within the operator's bound, also after restarts: what the process before may have spent lately is
/// unknown, so a new one has nothing saved until the operator's window has passed once, and then all that may
/// be saved.

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "state/random.h"
#include "state/time.h"

namespace oakpier::serving {

/// What the operator allows all daemons together for one service.
struct OperatorExtraSends {
  /// Extra sends in a window as a share of the requests in it.
  double ratio = 0.2;
  /// Extra sends in a window beyond that share.
  double slack = 50;
  Duration window = std::chrono::seconds(10);
};

/// What one daemon may use of that.
struct ExtraSendBounds {
  /// Extra sends earned by one request.
  double ratio = 0.15;
  /// Extra sends that one daemon may save up for a service. Below 1 an extra send is left to chance.
  double saved = 3.0;
  /// The operator counts extra sends in spans of this length.
  Duration window = std::chrono::seconds(10);
  /// Set where services move between daemons: what a daemon may use of `saved` in its first window with a
  /// service, as the daemon before it may have used the rest.
  std::optional<double> savedWhenNew;
};

/// One daemon's share of the operator's bound, from the largest number of daemons that it has known: one that
/// is cut off from the others must not take their shares.
class ExtraSendShare {
 public:
  /// Who has a service's budget: every daemon, or the owner of the moment.
  enum class Holder { kEveryDaemon, kOwner };

  /// `assumedDaemons`: how many share the bound at least, until more are known.
  ExtraSendShare(const OperatorExtraSends& total, std::size_t assumedDaemons,
                 Holder holder = Holder::kEveryDaemon)
      : total_(total), mostDaemons_(std::max<std::size_t>(1, assumedDaemons)), holder_(holder) {}

  void setTotal(const OperatorExtraSends& total) { total_ = total; }
  void onDaemonCount(std::size_t daemons) { mostDaemons_ = std::max(mostDaemons_, daemons); }

  ExtraSendBounds bounds() const {
    const double each = total_.slack / static_cast<double>(mostDaemons_);
    // Chance adds its own spread to the sum, so that less of the bound may be planned.
    const double used = each * kUsedShare < 1.0 ? kUsedShareByChance : kUsedShare;
    ExtraSendBounds bounds{total_.ratio * used, each * used, total_.window, std::nullopt};
    if (holder_ == Holder::kOwner) {
      bounds.savedWhenNew = bounds.saved * kShareWhenNew;
    }
    return bounds;
  }

 private:
  /// Share of the operator's bound that is planned.
  static constexpr double kUsedShare = 0.9;
  static constexpr double kUsedShareByChance = 0.75;
  static constexpr double kShareWhenNew = 0.2;

  OperatorExtraSends total_;
  std::size_t mostDaemons_;
  Holder holder_;
};

/// One service's budget at one daemon. Not thread-safe.
class ExtraSendBudget {
 public:
  /// One request came.
  void earn(const ExtraSendBounds& bounds) { tokens_ = std::min(bounds.saved, tokens_ + bounds.ratio); }

  /// Takes one extra send; false when none is left. A daemon that cannot save up a whole one draws with the
  /// odds of what it has, which is used up either way: then the mean of all draws is what was saved.
  bool spend(const ExtraSendBounds& bounds, RandomEngine& random) {
    if (tokens_ >= 1.0) {
      tokens_ -= 1.0;
      return true;
    }
    if (bounds.saved >= 1.0) {
      return false;
    }
    const double odds = tokens_;
    tokens_ = 0.0;
    return std::bernoulli_distribution(odds)(random);
  }

  /// An extra send that was paid for did not reach a leaf.
  void giveBack(const ExtraSendBounds& bounds) { tokens_ = std::min(bounds.saved, tokens_ + 1.0); }

  /// Called before each use. `processStartedAt`: what an earlier process used is unknown.
  void refresh(const ExtraSendBounds& bounds, Moment processStartedAt, Moment now) {
    const bool windowPassed = now - processStartedAt >= bounds.window;
    const bool lapsed = !held_ && now - usedAt_ >= bounds.window;
    if (bounds.savedWhenNew && (takenAt_ == Moment{} || lapsed)) {
      take(bounds, windowPassed, now);
    }
    usedAt_ = now;
    const bool ownWindowPassed = !bounds.savedWhenNew || now - takenAt_ >= bounds.window;
    if (windowPassed && ownWindowPassed && !filled_) {
      filled_ = true;
      tokens_ = bounds.saved;
    }
  }
  /// Says whether the service is this daemon's own, so that having it counts from now on, used or not.
  void setHeld(bool held, const ExtraSendBounds& bounds, Moment processStartedAt, Moment now) {
    if (held && !held_ && bounds.savedWhenNew) {
      take(bounds, now - processStartedAt >= bounds.window, now);
    }
    held_ = held;
  }
  double tokens() const { return tokens_; }
  /// How full the budget is, from 0 to 1.
  double fill(const ExtraSendBounds& bounds) const { return std::clamp(tokens_ / bounds.saved, 0.0, 1.0); }

 private:
  void take(const ExtraSendBounds& bounds, bool windowPassed, Moment now) {
    takenAt_ = now;
    filled_ = false;
    tokens_ = windowPassed ? bounds.savedWhenNew.value_or(0.0) : 0.0;
  }

  double tokens_ = 0.0;
  bool filled_ = false;
  bool held_ = false;
  /// When this daemon began to serve the service, as far as it was not idle for a window since.
  Moment takenAt_{};
  Moment usedAt_{};
};

/// The budgets of all services.
class ExtraSendBudgets {
 public:
  /// `random` outlives the budgets.
  ExtraSendBudgets(const ExtraSendBounds& bounds, Moment startedAt, RandomEngine& random)
      : bounds_(bounds), startedAt_(startedAt), random_(random) {}

  void setBounds(const ExtraSendBounds& bounds) { bounds_ = bounds; }
  void earn(const std::string& service, Moment now) { budgetOf(service, now).earn(bounds_); }
  bool spend(const std::string& service, Moment now) {
    return budgetOf(service, now).spend(bounds_, random_);
  }
  void giveBack(const std::string& service, Moment now) { budgetOf(service, now).giveBack(bounds_); }
  /// The services whose owner this daemon is, all others not.
  void setHeld(const std::unordered_set<std::string>& services, Moment now) {
    for (const std::string& service : services) {
      budgets_.try_emplace(service);
    }
    for (auto& [service, budget] : budgets_) {
      budget.setHeld(services.count(service) != 0, bounds_, startedAt_, now);
    }
  }
  double fill(const std::string& service, Moment now) { return budgetOf(service, now).fill(bounds_); }

 private:
  ExtraSendBudget& budgetOf(const std::string& service, Moment now) {
    ExtraSendBudget& budget = budgets_[service];
    budget.refresh(bounds_, startedAt_, now);
    return budget;
  }

  ExtraSendBounds bounds_;
  Moment startedAt_;
  RandomEngine& random_;
  std::unordered_map<std::string, ExtraSendBudget> budgets_;
};

}  // namespace oakpier::serving
