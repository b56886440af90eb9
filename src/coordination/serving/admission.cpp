#include "coordination/serving/admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "coordination/serving/leaf_selection.h"

namespace oakpier::serving {

namespace {

/// A request is refused when its answer is expected after this multiple of the target latency.
constexpr double kPatience = 1.5;
/// A busy caller is told to come back no later than after this.
constexpr Duration kLongestRetryAfter = std::chrono::seconds(1);
/// For services without a usable leaf.
constexpr Duration kUnreachable = std::chrono::seconds(60);

Duration expectedPartTime(const std::string& service, const Route& route, QueryContext& context, Moment now) {
  const Duration typical = context.latencyOf(route).typical();
  Duration best = kUnreachable;
  for (const auto& leaf : context.leafs.leafsOf(service)) {
    if (leaf->usable()) {
      best = std::min(best, queueingLatency(*leaf, typical, now));
    }
  }
  return best;
}

}  // namespace

Duration expectedAnswerTime(const Route& route, QueryContext& context, Moment now) {
  std::vector<Duration> times;
  std::size_t needed = 1;
  if (const auto* gather = std::get_if<GatherTarget>(&route.target)) {
    for (const std::string& shard : gather->shards) {
      times.push_back(expectedPartTime(shard, route, context, now));
    }
    const double least = gather->minimumShardShare * static_cast<double>(times.size());
    needed = std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(least)), 1, times.size());
  } else {
    for (const WeightedService& part : std::get<SingleTarget>(route.target).services) {
      times.push_back(expectedPartTime(part.service, route, context, now));
    }
  }
  const auto place = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(times.begin(), place, times.end());
  return *place;
}

std::optional<Refusal> refuseWhenBusy(const Route& route, QueryContext& context, Moment now) {
  const Duration expected = expectedAnswerTime(route, context, now);
  const auto bound = Duration(static_cast<std::int64_t>(route.targetLatency.count() * kPatience));
  if (expected >= kUnreachable || expected <= bound) {
    return std::nullopt;
  }
  return Refusal{std::clamp(expected - route.targetLatency, context.policy.retryAfter, kLongestRetryAfter)};
}

}  // namespace oakpier::serving
