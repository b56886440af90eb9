#pragma once

/// Limits the rate of requests from this daemon to a cold leaf, that is, one that is still warming up, so
/// that all daemons together stay within the operator's limit. A cold leaf fails under a much higher rate.

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace oakpier::serving {

/// The operator's limit for cold leafs, relative to the service's warm-up rate.
struct WarmupTolerance {
  /// Multiple of the warm-up rate.
  double factor = 1.0;
  /// Requests per second beyond that.
  double slack = 0.0;
};

/// Limit of one daemon for one cold leaf.
struct WarmupAllowance {
  /// Requests in any one-second interval; below 1, the probability of one request, drawn once a second.
  double perSecond = 0.0;
};

/// By service; a service without an entry has no limit.
using WarmupAllowances = std::unordered_map<std::string, WarmupAllowance>;

/// `ratePerSecond`: the service's warm-up rate for one leaf. `senders`: number of daemons that may send to
/// it.
inline WarmupAllowance warmupAllowance(double ratePerSecond, const WarmupTolerance& tolerance,
                                       std::size_t senders) {
  const double bound = ratePerSecond * tolerance.factor + tolerance.slack;
  const double sharers = static_cast<double>(std::max<std::size_t>(1, senders));
  // Half of the limit, since requests sent in one second may arrive in the next one, together with its own.
  const double planned = bound / 2;
  if (planned >= sharers) {
    return {planned / sharers};
  }
  // With random sends, the standard deviation of the total per second is the square root of its mean. The
  // mean is set so that the limit is this many standard deviations above it; simulated fleets of up to 1,000
  // daemons then stay within the limit.
  constexpr double kDeviations = 6.0;
  const double root = (std::sqrt(kDeviations * kDeviations + 4 * bound) - kDeviations) / 2;
  return {std::min(planned, root * root) / sharers};
}

}  // namespace oakpier::serving
