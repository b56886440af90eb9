#pragma once

/// Token bucket for extra attempts (hedges and retries) to a service. Requests add tokens, extra attempts
/// take them. The sum over all daemons stays within the operator's limit, also after restarts: what the
/// previous process spent is unknown, so a new process starts with an empty bucket, which is filled once the
/// operator's window has passed.

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "state/random.h"
#include "state/time.h"

namespace oakpier::serving {

/// The operator's limit for one service and all daemons together.
struct OperatorExtraSends {
  /// Extra attempts in a window as a share of the requests in it.
  double ratio = 0.2;
  /// Extra attempts in a window beyond that share.
  double slack = 50;
  Duration window = std::chrono::seconds(10);
};

/// One daemon's part of the operator's limit.
struct ExtraSendBounds {
  /// Tokens added by one request.
  double ratio = 0.15;
  /// Capacity of the bucket, in extra attempts. Below 1, an extra attempt is allowed at random.
  double saved = 3.0;
  /// Length of the window in which the operator counts extra attempts.
  Duration window = std::chrono::seconds(10);
  /// Set if services move between daemons: the tokens that a daemon starts with when it takes over a service.
  /// The previous owner may have used the rest in the current window.
  std::optional<double> savedWhenNew;
};

/// Computes one daemon's share of the operator's limit from the largest number of daemons known so far, so
/// that a daemon on one side of a network partition does not use the others' shares.
class ExtraSendShare {
 public:
  /// Which daemons have a budget for a service: all of them, or only its current owner.
  enum class Holder { kEveryDaemon, kOwner };

  /// `assumedDaemons`: minimum number of daemons that the limit is divided among.
  ExtraSendShare(const OperatorExtraSends& total, std::size_t assumedDaemons,
                 Holder holder = Holder::kEveryDaemon)
      : total_(total), mostDaemons_(std::max<std::size_t>(1, assumedDaemons)), holder_(holder) {}

  void setTotal(const OperatorExtraSends& total) { total_ = total; }
  void onDaemonCount(std::size_t daemons) { mostDaemons_ = std::max(mostDaemons_, daemons); }

  ExtraSendBounds bounds() const {
    const double each = total_.slack / static_cast<double>(mostDaemons_);
    // Random decisions add variance to the sum over all daemons, so a larger margin is kept.
    const double used = each * kUsedShare < 1.0 ? kUsedShareByChance : kUsedShare;
    ExtraSendBounds bounds{total_.ratio * used, each * used, total_.window, std::nullopt};
    if (holder_ == Holder::kOwner) {
      bounds.savedWhenNew = bounds.saved * kShareWhenNew;
    }
    return bounds;
  }

 private:
  /// Share of the operator's limit that is used; the rest is a safety margin.
  static constexpr double kUsedShare = 0.9;
  static constexpr double kUsedShareByChance = 0.75;
  /// Share of the capacity that a new owner of a service starts with.
  static constexpr double kShareWhenNew = 0.2;

  OperatorExtraSends total_;
  std::size_t mostDaemons_;
  Holder holder_;
};

/// The budget of one service at one daemon. Not thread-safe.
class ExtraSendBudget {
 public:
  /// Adds the tokens of one request.
  void earn(const ExtraSendBounds& bounds) { tokens_ = std::min(bounds.saved, tokens_ + bounds.ratio); }

  /// Takes one token for an extra attempt; false if there is none. If the capacity is below one token, the
  /// fraction in the bucket is the probability of success and is used up either way, so that the expected
  /// number of extra attempts equals the tokens spent.
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

  /// Returns the token of an extra attempt that did not reach a leaf.
  void giveBack(const ExtraSendBounds& bounds) { tokens_ = std::min(bounds.saved, tokens_ + 1.0); }

  /// Must be called before each use. Fills the bucket once after a window has passed since the process
  /// started and, with `savedWhenNew`, since the daemon took over the service.
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
  /// Sets whether this daemon owns the service. Its first window then starts now rather than at the first
  /// use, and does not lapse while the service is idle.
  void setHeld(bool held, const ExtraSendBounds& bounds, Moment processStartedAt, Moment now) {
    if (held && !held_ && bounds.savedWhenNew) {
      take(bounds, now - processStartedAt >= bounds.window, now);
    }
    held_ = held;
  }
  double tokens() const { return tokens_; }
  /// Tokens as a share of the capacity, from 0 to 1.
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
  /// Start of the daemon's first window with the service. Reset if it uses the service again after an idle
  /// window without owning it.
  Moment takenAt_{};
  Moment usedAt_{};
};

/// The budgets of all services.
class ExtraSendBudgets {
 public:
  /// `random` must outlive the budgets.
  ExtraSendBudgets(const ExtraSendBounds& bounds, Moment startedAt, RandomEngine& random)
      : bounds_(bounds), startedAt_(startedAt), random_(random) {}

  void setBounds(const ExtraSendBounds& bounds) { bounds_ = bounds; }
  void earn(const std::string& service, Moment now) { budgetOf(service, now).earn(bounds_); }
  bool spend(const std::string& service, Moment now) {
    return budgetOf(service, now).spend(bounds_, random_);
  }
  void giveBack(const std::string& service, Moment now) { budgetOf(service, now).giveBack(bounds_); }
  /// Sets the services that this daemon owns; all others are no longer owned.
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
