#include "coordination/serving/admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "coordination/serving/leaf_selection.h"

namespace oakpier::serving {

namespace {

/// A request is refused when its answer is expected after this multiple of the target latency.
constexpr double kPatience = 1.5;
/// A refused caller is told to come back no later than after this and half as much.
constexpr Duration kLongestRetryAfter = std::chrono::seconds(1);
/// For services without a usable leaf.
constexpr Duration kUnreachable = std::chrono::seconds(60);

Duration expectedPartTime(const std::string& service, const Route& route, QueryContext& context, Moment now) {
  const Duration typical = context.latencyOf(route).typical();
  Duration best = kUnreachable;
  for (const auto& leaf : context.leafs.leafsOf(service)) {
    if (leaf->usable() && !leaf->unreachable(now)) {
      best = std::min(best, queueingLatency(*leaf, typical, now));
    }
  }
  return best;
}

/// How long until a leaf of the service may be sent to, as far as this daemon knows; zero when one may now.
Duration timeUntilServable(const std::string& service, const ServingView& view, QueryContext& context,
                           Moment now) {
  const auto listed = view.leafs->find(service);
  const bool anyTakesWork = listed != view.leafs->end() &&
                            std::any_of(listed->second.begin(), listed->second.end(),
                                        [](const LeafEntry& leaf) { return leaf.acceptsRequests(); });
  if (!anyTakesWork) {
    return kUnreachable;
  }
  const LeafRegistry::Leafs& known = context.leafs.leafsOf(service);
  if (known.empty()) {
    return Duration(0);
  }
  Duration soonest = kUnreachable;
  for (const auto& leaf : known) {
    if (leaf->usable()) {
      soonest = std::min(soonest, leaf->unreachable(now) ? leaf->retryAt() - now : Duration(0));
    }
  }
  return soonest;
}

/// The one of `times` by which enough parts of an answer on the route are there.
Duration whenEnough(const Route& route, std::vector<Duration>& times) {
  std::size_t needed = 1;
  if (const auto* gather = std::get_if<GatherTarget>(&route.target)) {
    const double least = gather->minimumShardShare * static_cast<double>(times.size());
    needed = std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(least)), 1, times.size());
  }
  const auto place = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(times.begin(), place, times.end());
  return *place;
}

/// Applies `timeOf` to each service of the route.
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

/// Later by up to half, so that callers that were refused together do not come back together.
Duration spread(Duration retryAfter, RandomEngine& random) {
  const auto half = static_cast<std::size_t>(retryAfter.count() / 2 + 1);
  return retryAfter + Duration(static_cast<std::int64_t>(drawBelow(half, random)));
}

}  // namespace

Duration expectedAnswerTime(const Route& route, QueryContext& context, Moment now) {
  std::vector<Duration> times = timesOfServices(
      route, [&](const std::string& service) { return expectedPartTime(service, route, context, now); });
  return whenEnough(route, times);
}

std::optional<Refusal> refuseWhenUnservable(const Route& route, const ServingView& view,
                                            QueryContext& context, Moment now) {
  std::vector<Duration> times = timesOfServices(
      route, [&](const std::string& service) { return timeUntilServable(service, view, context, now); });
  const Duration wait = whenEnough(route, times);
  if (wait <= Duration(0)) {
    return std::nullopt;
  }
  const Duration retryAfter = std::clamp(wait, context.policy.retryAfter, kLongestRetryAfter);
  return Refusal{spread(retryAfter, context.random)};
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
