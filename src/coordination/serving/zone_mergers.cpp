#include "coordination/serving/zone_mergers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oakpier::serving {

namespace {

/// For a single part, the frames to and from a merge server take about as many bytes as a direct exchange.
constexpr std::size_t kFewestMergedParts = 2;
/// Ratio of the leaf's latency to the expected one.
constexpr double kDoubtfulSlowness = 1.3;
/// As a multiple of the leaf's slots.
constexpr double kDoubtfulQueue = 1.0;

/// Leafs that may be failing or overloaded are contacted directly, so that this daemon observes them itself.
bool doubtful(const LeafStatus& leaf, Moment now) {
  const double slots = std::max(1U, leaf.entry().slots);
  return leaf.ejected(now) || leaf.stalledFor(now).count() > 0 || leaf.slowness() > kDoubtfulSlowness ||
         leaf.queueLength(now) > slots * kDoubtfulQueue;
}

}  // namespace

void ZoneMergers::setDaemons(DaemonsByZone otherZones) {
  daemons_ = std::move(otherZones);
  std::vector<Endpoint> known;
  for (const auto& [zone, daemons] : daemons_) {
    const auto addresses = addressesOf(daemons);
    known.insert(known.end(), addresses.begin(), addresses.end());
  }
  silence_.retain(known);
}

std::string ZoneMergers::drawZone(RandomEngine& random) const {
  if (daemons_.empty()) {
    return {};
  }
  const auto place = static_cast<std::ptrdiff_t>(drawBelow(daemons_.size(), random));
  return std::next(daemons_.begin(), place)->first;
}

void ZoneMergers::assign(std::vector<SendAction>& sends, RandomEngine& random, Moment now) {
  std::unordered_map<std::string, std::vector<SendAction*>> byZone;
  for (SendAction& send : sends) {
    const std::string& zone = send.leaf->entry().zone;
    if (daemons_.count(zone) != 0 && !doubtful(*send.leaf, now)) {
      byZone[zone].push_back(&send);
    }
  }
  for (const auto& [zone, parts] : byZone) {
    if (parts.size() < kFewestMergedParts) {
      continue;
    }
    const auto merger = chooseFrom(zone, random, now);
    for (SendAction* part : parts) {
      part->merger = merger;
    }
  }
}

std::optional<Endpoint> ZoneMergers::chooseFrom(const std::string& zone, RandomEngine& random, Moment now) {
  std::vector<ServingDaemon> candidates;
  std::size_t total = 0;
  for (const ServingDaemon& daemon : daemons_.at(zone)) {
    if (!silence_.silent(daemon.address, now) || silence_.takeTry(daemon.address, now)) {
      candidates.push_back(daemon);
      total += placementWeight(daemon.capacity);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::size_t drawn = drawBelow(total, random);
  auto merger = candidates.begin();
  while (drawn >= placementWeight(merger->capacity)) {
    drawn -= placementWeight(merger->capacity);
    ++merger;
  }
  return merger->address;
}

}  // namespace oakpier::serving
