#include "coordination/serving/leaf_selection.h"

#include <algorithm>

namespace oakpier::serving {

namespace {

constexpr Duration kPreferredZonePenalty = std::chrono::milliseconds(12);
constexpr Duration kOtherZonePenalty = std::chrono::milliseconds(18);
/// A leaf with an overdue answer is expected to stay unresponsive for at least this much longer.
constexpr Duration kOverduePenalty = std::chrono::milliseconds(100);
constexpr Duration kEjectedPenalty = std::chrono::seconds(10);
constexpr double kWarmupFactor = 1.6;
/// Upper bound of the random tie-breaker. Without it, daemons with the same estimates would all select the
/// same leaf.
constexpr std::size_t kTieBreakMicroseconds = 1500;

Duration zonePenalty(const std::string& zone, const SelectionRequest& request) {
  if (zone == request.ownZone) {
    return Duration(0);
  }
  return zone == request.preferredZone ? kPreferredZonePenalty : kOtherZonePenalty;
}

/// Whether the limit for cold leafs allows one more request from this daemon to the leaf.
bool allowsColdSend(LeafStatus& leaf, const WarmupAllowance* allowance, RandomEngine& random, Moment now) {
  if (allowance == nullptr || !leaf.warmingUp(now)) {
    return true;
  }
  if (allowance->perSecond >= 1.0) {
    return static_cast<double>(leaf.coldSendsInLastSecond(now)) + 1.0 <= allowance->perSecond;
  }
  return leaf.sampleColdSend(allowance->perSecond, random, now);
}

}  // namespace

Duration minResponseTime(const LeafStatus& leaf, const LatencyBounds& bounds) {
  const double factor = std::max(1.0, leaf.latencyRatio());
  const auto usual = Duration(static_cast<std::int64_t>(bounds.unloadedLatency.count() * factor));
  return std::min(usual, bounds.sufficientTime);
}

Duration latencyWithQueue(const LeafStatus& leaf, Duration medianLatency, Moment now) {
  const double slots = std::max(1U, leaf.entry().slots);
  const double waiting = std::max(0.0, leaf.queueLength(now) + 1.0 - slots);
  double factor = leaf.latencyRatio() * (1.0 + waiting / slots);
  if (leaf.warmingUp(now)) {
    factor *= kWarmupFactor;
  }
  return Duration(static_cast<std::int64_t>(medianLatency.count() * factor));
}

Duration expectedLatency(const LeafStatus& leaf, const SelectionRequest& request, Moment now) {
  Duration expected = latencyWithQueue(leaf, request.medianLatency, now);
  expected += zonePenalty(leaf.entry().zone, request);
  if (leaf.overdueFor(now).count() > 0) {
    expected += kOverduePenalty;
  }
  if (leaf.ejected(now)) {
    expected += kEjectedPenalty;
  }
  return expected;
}

std::shared_ptr<LeafStatus> selectLeaf(const LeafRegistry::Leafs& leafs, const SelectionRequest& request,
                                       RandomEngine& random, Moment now) {
  std::shared_ptr<LeafStatus> best;
  Duration bestExpected{};
  for (const auto& leaf : leafs) {
    const auto& tried = request.triedLeafs;
    const auto isLeaf = [&](const LeafIncarnation& incarnation) { return leaf->entry().isOf(incarnation); };
    const bool mayServe = leaf->usable() && !leaf->unreachable(now);
    if (!mayServe || std::any_of(tried.begin(), tried.end(), isLeaf)) {
      continue;
    }
    if (request.timeLeft < minResponseTime(*leaf, request.latencyBounds)) {
      continue;
    }
    if (!allowsColdSend(*leaf, request.warmup, random, now)) {
      continue;
    }
    const auto tieBreak = Duration(static_cast<std::int64_t>(drawBelow(kTieBreakMicroseconds, random)));
    const Duration expected = expectedLatency(*leaf, request, now) + tieBreak;
    if (!best || expected < bestExpected) {
      best = leaf;
      bestExpected = expected;
    }
  }
  return best;
}

}  // namespace oakpier::serving
