#pragma once

/// How many requests this daemon may send to a cold leaf. The operator bounds what all daemons together send
/// to it in a second; a leaf that gets well more falls over.

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace oakpier::serving {

/// What the operator tolerates beyond a service's own rate for cold leafs.
struct WarmupTolerance {
  /// Multiple of the rate.
  double factor = 1.0;
  /// Requests in a second beyond that.
  double slack = 0.0;
};

/// What one daemon may send to one cold leaf.
struct WarmupAllowance {
  /// Requests in any second; below 1 the odds of one request, drawn once a second.
  double perSecond = 0.0;
};

/// By service; a service without an entry has no bound.
using WarmupAllowances = std::unordered_map<std::string, WarmupAllowance>;

/// `ratePerSecond`: what a cold leaf of the service bears. `senders`: daemons that may send to it.
inline WarmupAllowance warmupAllowance(double ratePerSecond, const WarmupTolerance& tolerance,
                                       std::size_t senders) {
  const double bound = ratePerSecond * tolerance.factor + tolerance.slack;
  const double sharers = static_cast<double>(std::max<std::size_t>(1, senders));
  // Half of the bound: requests of a second may arrive in the next, beside its own.
  const double planned = bound / 2;
  if (planned >= sharers) {
    return {planned / sharers};
  }
  // By chance the sum of a second varies by the root of its mean. With the mean this many deviations below
  // the bound, generated fleets of up to 1,000 daemons stay within it.
  constexpr double kDeviations = 6.0;
  const double root = (std::sqrt(kDeviations * kDeviations + 4 * bound) - kDeviations) / 2;
  return {std::min(planned, root * root) / sharers};
}

}  // namespace oakpier::serving
