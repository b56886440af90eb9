#include "coordination/serving/admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "coordination/serving/leaf_selection.h"

namespace oakpier::serving {

namespace {

/// A request is refused if its expected answer time exceeds this multiple of the target latency.
constexpr double kOverloadFactor = 1.5;
/// Maximum retry delay. `refuseIfUnservable` adds up to half as much at random.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);
/// Stands for the answer time of a service without a usable leaf.
constexpr Duration kNoUsableLeaf = std::chrono::seconds(60);

Duration expectedPartTime(const std::string& service, const Route& route, QueryContext& context, Moment now) {
  const Duration median = context.latencyOf(route).median();
  Duration best = kNoUsableLeaf;
  for (const auto& leaf : context.leafs.leafsOf(service)) {
    if (leaf->usable() && !leaf->unreachable(now)) {
      best = std::min(best, latencyWithQueue(*leaf, median, now));
    }
  }
  return best;
}

/// Time until a leaf of the service can be tried, as far as this daemon knows; zero if one can be used now.
Duration timeUntilServable(const std::string& service, const ServingView& view, QueryContext& context,
                           Moment now) {
  const auto listed = view.leafs->find(service);
  const bool anyTakesWork = listed != view.leafs->end() &&
                            std::any_of(listed->second.begin(), listed->second.end(),
                                        [](const LeafEntry& leaf) { return leaf.acceptsRequests(); });
  if (!anyTakesWork) {
    return kNoUsableLeaf;
  }
  const LeafRegistry::Leafs& known = context.leafs.leafsOf(service);
  if (known.empty()) {
    return Duration(0);
  }
  Duration soonest = kNoUsableLeaf;
  for (const auto& leaf : known) {
    if (leaf->usable()) {
      soonest = std::min(soonest, leaf->unreachable(now) ? leaf->retryAt() - now : Duration(0));
    }
  }
  return soonest;
}

/// The time within which enough shards for an answer on the route are ready, from the time of each shard.
Duration timeUntilEnough(const Route& route, std::vector<Duration>& times) {
  std::size_t needed = 1;
  if (const auto* gather = std::get_if<GatherTarget>(&route.target)) {
    const double minimum = gather->minimumShardShare * static_cast<double>(times.size());
    needed = std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(minimum)), 1, times.size());
  }
  const auto place = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(times.begin(), place, times.end());
  return *place;
}

/// The result of `timeOf` for each service of the route.
template <typename TimeOf>
std::vector<Duration> timesOfServices(const Route& route, TimeOf timeOf) {
  std::vector<Duration> times;
  if (const auto* gather = std::get_if<GatherTarget>(&route.target)) {
    times.reserve(gather->shards.size());
    for (const std::string& shard : gather->shards) {
      times.push_back(timeOf(shard));
    }
    return times;
  }
  for (const WeightedService& part : std::get<SingleTarget>(route.target).services) {
    times.push_back(timeOf(part.service));
  }
  return times;
}

/// Adds a random delay of up to half, so that callers that were refused together do not retry together.
Duration addJitter(Duration retryAfter, RandomEngine& random) {
  const auto half = static_cast<std::size_t>(retryAfter.count() / 2 + 1);
  return retryAfter + Duration(static_cast<std::int64_t>(drawBelow(half, random)));
}

}  // namespace

Duration expectedAnswerTime(const Route& route, QueryContext& context, Moment now) {
  std::vector<Duration> times = timesOfServices(
      route, [&](const std::string& service) { return expectedPartTime(service, route, context, now); });
  return timeUntilEnough(route, times);
}

std::optional<Refusal> refuseIfUnservable(const Route& route, const ServingView& view, QueryContext& context,
                                          Moment now) {
  std::vector<Duration> times = timesOfServices(
      route, [&](const std::string& service) { return timeUntilServable(service, view, context, now); });
  const Duration wait = timeUntilEnough(route, times);
  if (wait <= Duration(0)) {
    return std::nullopt;
  }
  const Duration retryAfter = std::clamp(wait, context.policy.retryAfter, kMaxRetryAfter);
  return Refusal{addJitter(retryAfter, context.random)};
}

std::optional<Refusal> refuseIfOverloaded(const Route& route, QueryContext& context, Moment now) {
  const Duration expected = expectedAnswerTime(route, context, now);
  const auto bound = Duration(static_cast<std::int64_t>(route.targetLatency.count() * kOverloadFactor));
  if (expected >= kNoUsableLeaf || expected <= bound) {
    return std::nullopt;
  }
  return Refusal{std::clamp(expected - route.targetLatency, context.policy.retryAfter, kMaxRetryAfter)};
}

}  // namespace oakpier::serving
