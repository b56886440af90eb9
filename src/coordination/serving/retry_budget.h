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
struct FleetRetryLimit {
  /// Extra attempts in a window as a share of the requests in it.
  double ratio = 0.2;
  /// Extra attempts in a window beyond that share.
  double slack = 50;
  Duration window = std::chrono::seconds(10);
};

/// One daemon's part of the operator's limit.
struct DaemonRetryLimit {
  /// Tokens added by one request.
  double ratio = 0.15;
  /// Capacity of the bucket, in extra attempts. Below 1, an extra attempt is allowed at random.
  double capacity = 3.0;
  /// Length of the window in which the operator counts extra attempts.
  Duration window = std::chrono::seconds(10);
  /// Set if services move between daemons: the tokens that a daemon starts with when it takes over a service
  /// (none in the first window of its process). The previous owner may have used the rest in the current
  /// window.
  std::optional<double> initialTokens;
};

/// Computes one daemon's share of the operator's limit from the largest number of daemons known so far, so
/// that a daemon on one side of a network partition does not use the others' shares.
class RetryLimitShare {
 public:
  /// Which daemons have a budget for a service: all of them, or only its current owner.
  enum class Scope { kEveryDaemon, kOwner };

  /// `assumedDaemons`: minimum number of daemons that the limit is divided among.
  RetryLimitShare(const FleetRetryLimit& total, std::size_t assumedDaemons, Scope scope = Scope::kEveryDaemon)
      : total_(total), maxDaemons_(std::max<std::size_t>(1, assumedDaemons)), scope_(scope) {}

  void setTotal(const FleetRetryLimit& total) { total_ = total; }
  void onDaemonCount(std::size_t daemons) { maxDaemons_ = std::max(maxDaemons_, daemons); }

  DaemonRetryLimit limit() const {
    const double each = total_.slack / static_cast<double>(maxDaemons_);
    // Random decisions add variance to the sum over all daemons, so a larger margin is kept.
    const double used = each * kUsedShare < 1.0 ? kUsedShareIfRandom : kUsedShare;
    DaemonRetryLimit limit{total_.ratio * used, each * used, total_.window, std::nullopt};
    if (scope_ == Scope::kOwner) {
      limit.initialTokens = limit.capacity * kInitialShare;
    }
    return limit;
  }

 private:
  /// Share of the operator's limit that is used; the rest is a safety margin.
  static constexpr double kUsedShare = 0.9;
  static constexpr double kUsedShareIfRandom = 0.75;
  /// Share of the capacity that a new owner of a service starts with.
  static constexpr double kInitialShare = 0.2;

  FleetRetryLimit total_;
  std::size_t maxDaemons_;
  Scope scope_;
};

/// The budget of one service at one daemon. Not thread-safe.
class RetryBudget {
 public:
  /// Adds the tokens of one request.
  void deposit(const DaemonRetryLimit& limit) { tokens_ = std::min(limit.capacity, tokens_ + limit.ratio); }

  /// Takes one token for an extra attempt; false if there is none. If the capacity is below one token, the
  /// fraction in the bucket is the probability of success and is used up either way, so that the expected
  /// number of extra attempts equals the tokens spent.
  bool tryWithdraw(const DaemonRetryLimit& limit, RandomEngine& random) {
    if (tokens_ >= 1.0) {
      tokens_ -= 1.0;
      return true;
    }
    if (limit.capacity >= 1.0) {
      return false;
    }
    const double probability = tokens_;
    tokens_ = 0.0;
    return std::bernoulli_distribution(probability)(random);
  }

  /// Returns the token of an extra attempt that did not reach a leaf.
  void refund(const DaemonRetryLimit& limit) { tokens_ = std::min(limit.capacity, tokens_ + 1.0); }

  /// Must be called before each use. Fills the bucket once after a window has passed since the process
  /// started and, with `initialTokens`, since the daemon took over the service.
  void refresh(const DaemonRetryLimit& limit, Moment processStartedAt, Moment now) {
    const bool windowPassed = now - processStartedAt >= limit.window;
    const bool lapsed = !owned_ && now - usedAt_ >= limit.window;
    if (limit.initialTokens && (acquiredAt_ == Moment{} || lapsed)) {
      acquire(limit, windowPassed, now);
    }
    usedAt_ = now;
    const bool ownWindowPassed = !limit.initialTokens || now - acquiredAt_ >= limit.window;
    if (windowPassed && ownWindowPassed && !filled_) {
      filled_ = true;
      tokens_ = limit.capacity;
    }
  }
  /// Sets whether this daemon owns the service. Its first window then starts now rather than at the first
  /// use, and does not lapse while the service is idle.
  void setOwned(bool owned, const DaemonRetryLimit& limit, Moment processStartedAt, Moment now) {
    if (owned && !owned_ && limit.initialTokens) {
      acquire(limit, now - processStartedAt >= limit.window, now);
    }
    owned_ = owned;
  }
  double tokens() const { return tokens_; }
  /// Tokens as a share of the capacity, from 0 to 1.
  double fillRatio(const DaemonRetryLimit& limit) const {
    return std::clamp(tokens_ / limit.capacity, 0.0, 1.0);
  }

 private:
  void acquire(const DaemonRetryLimit& limit, bool windowPassed, Moment now) {
    acquiredAt_ = now;
    filled_ = false;
    tokens_ = windowPassed ? limit.initialTokens.value_or(0.0) : 0.0;
  }

  double tokens_ = 0.0;
  bool filled_ = false;
  bool owned_ = false;
  /// Start of the daemon's first window with the service. Reset at the first use after a window without use,
  /// unless the daemon owns the service.
  Moment acquiredAt_{};
  Moment usedAt_{};
};

/// The budgets of all services.
class RetryBudgets {
 public:
  /// `random` must outlive the budgets.
  RetryBudgets(const DaemonRetryLimit& limit, Moment startedAt, RandomEngine& random)
      : limit_(limit), startedAt_(startedAt), random_(random) {}

  void setLimit(const DaemonRetryLimit& limit) { limit_ = limit; }
  void deposit(const std::string& service, Moment now) { budgetOf(service, now).deposit(limit_); }
  bool tryWithdraw(const std::string& service, Moment now) {
    return budgetOf(service, now).tryWithdraw(limit_, random_);
  }
  void refund(const std::string& service, Moment now) { budgetOf(service, now).refund(limit_); }
  /// Sets the services that this daemon owns; all others are no longer owned.
  void setOwned(const std::unordered_set<std::string>& services, Moment now) {
    for (const std::string& service : services) {
      budgets_.try_emplace(service);
    }
    for (auto& [service, budget] : budgets_) {
      budget.setOwned(services.count(service) != 0, limit_, startedAt_, now);
    }
  }
  double fillRatio(const std::string& service, Moment now) {
    return budgetOf(service, now).fillRatio(limit_);
  }

 private:
  RetryBudget& budgetOf(const std::string& service, Moment now) {
    RetryBudget& budget = budgets_[service];
    budget.refresh(limit_, startedAt_, now);
    return budget;
  }

  DaemonRetryLimit limit_;
  Moment startedAt_;
  RandomEngine& random_;
  std::unordered_map<std::string, RetryBudget> budgets_;
};

}  // namespace oakpier::serving
