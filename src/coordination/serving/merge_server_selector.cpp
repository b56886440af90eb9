#include "coordination/serving/merge_server_selector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oakpier::serving {

namespace {

/// For a single part, the frames to and from a merge server take about as many bytes as a direct exchange.
constexpr std::size_t kMinMergedParts = 2;
/// Ratio of the leaf's latency to the expected one.
constexpr double kMaxSlowness = 1.3;
/// As a multiple of the leaf's slots.
constexpr double kMaxQueueRatio = 1.0;

/// Leafs that may be failing or overloaded are contacted directly, so that this daemon observes them itself.
bool shouldContactDirectly(const LeafStatus& leaf, Moment now) {
  const double slots = std::max(1U, leaf.entry().slots);
  return leaf.ejected(now) || leaf.overdueFor(now).count() > 0 || leaf.latencyRatio() > kMaxSlowness ||
         leaf.queueLength(now) > slots * kMaxQueueRatio;
}

}  // namespace

void MergeServerSelector::setDaemons(DaemonsByZone otherZones) {
  daemons_ = std::move(otherZones);
  std::vector<Endpoint> known;
  for (const auto& [zone, daemons] : daemons_) {
    const auto addresses = addressesOf(daemons);
    known.insert(known.end(), addresses.begin(), addresses.end());
  }
  failureDetector_.retain(known);
}

std::string MergeServerSelector::chooseZone(RandomEngine& random) const {
  if (daemons_.empty()) {
    return {};
  }
  const auto index = static_cast<std::ptrdiff_t>(drawBelow(daemons_.size(), random));
  return std::next(daemons_.begin(), index)->first;
}

void MergeServerSelector::assign(std::vector<SendAction>& sends, RandomEngine& random, Moment now) {
  std::unordered_map<std::string, std::vector<SendAction*>> byZone;
  for (SendAction& send : sends) {
    const std::string& zone = send.leaf->entry().zone;
    if (daemons_.count(zone) != 0 && !shouldContactDirectly(*send.leaf, now)) {
      byZone[zone].push_back(&send);
    }
  }
  for (const auto& [zone, parts] : byZone) {
    if (parts.size() < kMinMergedParts) {
      continue;
    }
    const auto mergeServer = chooseFrom(zone, random, now);
    for (SendAction* part : parts) {
      part->mergeServer = mergeServer;
    }
  }
}

std::optional<Endpoint> MergeServerSelector::chooseFrom(const std::string& zone, RandomEngine& random,
                                                        Moment now) {
  std::vector<ServingDaemon> candidates;
  std::size_t total = 0;
  for (const ServingDaemon& daemon : daemons_.at(zone)) {
    if (!failureDetector_.isUnresponsive(daemon.address, now) ||
        failureDetector_.takeProbe(daemon.address, now)) {
      candidates.push_back(daemon);
      total += placementWeight(daemon.capacity);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::size_t drawn = drawBelow(total, random);
  auto mergeServer = candidates.begin();
  while (drawn >= placementWeight(mergeServer->capacity)) {
    drawn -= placementWeight(mergeServer->capacity);
    ++mergeServer;
  }
  return mergeServer->address;
}

}  // namespace oakpier::serving
