/// The retry budget of one daemon, and the sum over all daemons of a service.

#include "coordination/serving/retry_budget.h"

#include <catch2/catch.hpp>
#include <vector>

#include "serving/support/serving_fixtures.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

constexpr Duration kWindow = std::chrono::seconds(10);

/// Extra attempts of `daemons` daemons that start with full budgets and take every token as soon as they can,
/// while each receives `requests` requests.
double spentByAll(std::size_t daemons, std::size_t requests, const FleetRetryLimit& total,
                  RandomEngine& random) {
  double spent = 0;
  for (std::size_t number = 0; number < daemons; ++number) {
    RetryLimitShare share(total, 12);
    share.onDaemonCount(daemons);
    RetryBudgets budgets(share.limit(), at(0), random);
    const auto spendAll = [&] {
      while (budgets.tryWithdraw("s", at(20'000))) {
        spent += 1;
      }
    };
    spendAll();
    for (std::size_t request = 0; request < requests; ++request) {
      budgets.deposit("s", at(20'000));
      spendAll();
    }
  }
  return spent;
}

}  // namespace

TEST_CASE("extra attempts never exceed the tokens earned, nor does the bucket exceed its capacity",
          "[serving]") {
  OAKPIER_PROPERTY("budget", [] {
    const DaemonRetryLimit limit{*rc::gen::element(0.05, 0.2, 0.5), *rc::gen::element(1.0, 3.0), kWindow, {}};
    const auto requests = *rc::gen::container<std::vector<bool>>(300, rc::gen::arbitrary<bool>());
    RandomEngine random(5);
    RetryBudget budget;
    double earned = 0;
    double spent = 0;
    for (const bool isRequest : requests) {
      if (isRequest) {
        budget.deposit(limit);
        earned += limit.ratio;
      } else if (budget.tryWithdraw(limit, random)) {
        spent += 1;
      }
      RC_ASSERT(spent <= earned + 1e-9);
      RC_ASSERT(budget.tokens() <= limit.capacity);
    }
  });
}

TEST_CASE("the budget of a new process is empty until the operator's window has passed once", "[serving]") {
  const DaemonRetryLimit limit{0.1, 3.0, kWindow, {}};
  RandomEngine random(5);
  RetryBudgets budgets(limit, at(0), random);
  REQUIRE_FALSE(budgets.tryWithdraw("s", at(9'999)));
  int spent = 0;
  while (budgets.tryWithdraw("s", at(10'000))) {
    ++spent;
  }
  REQUIRE(spent == 3);
  REQUIRE_FALSE(budgets.tryWithdraw("s", at(20'000)));
}

TEST_CASE("all daemons together stay within the operator's limit, whatever their number", "[serving]") {
  OAKPIER_PROPERTY("sum", [] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 1500);
    const auto requests = *rc::gen::inRange<std::size_t>(0, 12);
    const FleetRetryLimit total{0.2, *rc::gen::element(20.0, 56.0, 168.0), kWindow};
    RandomEngine random(*rc::gen::inRange<std::uint64_t>(0, 1000));
    const double allowed = total.slack + total.ratio * static_cast<double>(daemons * requests);
    RC_ASSERT(spentByAll(daemons, requests, total, random) <= allowed);
  });
}

TEST_CASE("a daemon on one side of a network partition does not use the others' shares", "[serving]") {
  RetryLimitShare share(FleetRetryLimit{0.2, 168, kWindow}, 12);
  share.onDaemonCount(86);
  const double capacity = share.limit().capacity;
  share.onDaemonCount(1);
  REQUIRE(share.limit().capacity == capacity);
  REQUIRE(capacity * 86 <= 168);
}

TEST_CASE("a new owner of a service has a small budget until a window has passed", "[serving]") {
  const RetryLimitShare share(FleetRetryLimit{0.2, 100, kWindow}, 5, RetryLimitShare::Scope::kOwner);
  RandomEngine random(5);
  RetryBudgets budgets(share.limit(), at(0), random);
  const auto spentAt = [&](int milliseconds) {
    int spent = 0;
    while (budgets.tryWithdraw("s", at(milliseconds))) {
      ++spent;
    }
    return spent;
  };
  const int few = spentAt(60'000);
  REQUIRE(few == 3);
  for (int second = 61; second < 70; ++second) {
    REQUIRE(spentAt(second * 1000) == 0);
  }
  REQUIRE(spentAt(70'000) == 18);
  // After an idle window the daemon counts as a new owner again.
  REQUIRE(spentAt(100'000) == few);
}

TEST_CASE("the first window of an owned service starts when ownership is acquired", "[serving]") {
  const RetryLimitShare share(FleetRetryLimit{0.2, 100, kWindow}, 5, RetryLimitShare::Scope::kOwner);
  RandomEngine random(5);
  RetryBudgets budgets(share.limit(), at(0), random);
  const auto spentAt = [&](int milliseconds) {
    int spent = 0;
    while (budgets.tryWithdraw("s", at(milliseconds))) {
      ++spent;
    }
    return spent;
  };
  budgets.setOwned({"s"}, at(1'000));
  budgets.setOwned({"s"}, at(9'000));
  REQUIRE(spentAt(11'000) == 18);
  // The service was idle but still owned, so the budget is not filled again.
  REQUIRE(spentAt(60'000) == 0);
  budgets.setOwned({}, at(60'000));
  budgets.setOwned({"s"}, at(61'000));
  REQUIRE(spentAt(61'000) == 3);
  REQUIRE(spentAt(70'999) == 0);
}

TEST_CASE("daemons whose share is below one token make that share of extra attempts on average",
          "[serving]") {
  RandomEngine random(5);
  const FleetRetryLimit total{0.2, 56, kWindow};
  REQUIRE(spentByAll(300, 2, total, random) > 80);
}

}  // namespace oakpier::serving
