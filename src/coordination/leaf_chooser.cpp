#include "coordination/leaf_chooser.h"

#include <algorithm>

namespace oakpier {

namespace {

/// Factor on the load of a cold leaf.
constexpr double kColdFactor = 4.0;

}  // namespace

std::optional<LeafIndex> LeafChooser::choose(const ShardEntry& shard, std::uint64_t snapshot,
                                             const std::vector<LeafIndex>& excluded, Moment now) {
  std::vector<LeafIndex> healthy;
  std::vector<LeafIndex> lastResort;
  for (const LeafIndex index : shard.replicas) {
    const bool tried = std::find(excluded.begin(), excluded.end(), index) != excluded.end();
    if (!tried && eligible(index, snapshot, now)) {
      (ejected(index) ? lastResort : healthy).push_back(index);
    }
  }
  const auto& candidates = healthy.empty() ? lastResort : healthy;
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t first = drawBelow(candidates.size(), random_);
  if (candidates.size() == 1 || rule_ == ChoiceRule::kRandom) {
    return candidates[first];
  }
  std::size_t second = drawBelow(candidates.size() - 1, random_);
  second += second >= first ? 1 : 0;
  const bool firstIsFreer = load(candidates[first]) <= load(candidates[second]);
  return candidates[firstIsFreer ? first : second];
}

bool LeafChooser::eligible(LeafIndex index, std::uint64_t snapshot, Moment now) const {
  const LeafEntry& leaf = view_.table->leaf(index);
  if (leaf.drained || view_.leaving[index] || view_.owners[index].front() == Endpoint()) {
    return false;
  }
  const LeafKnowledge& knowledge = *leaf.knowledge;
  if (!knowledge.known()) {
    return true;
  }
  const bool wordIsFresh = now - knowledge.reportedAt() < kDrainingWordLease;
  if (knowledge.draining() && wordIsFresh) {
    return false;
  }
  return snapshot == 0 || !wordIsFresh || knowledge.holds(snapshot);
}

bool LeafChooser::ejected(LeafIndex index) const {
  return view_.table->leaf(index).knowledge->consecutiveFailures() >= kEjectionFailures;
}

double LeafChooser::load(LeafIndex index) const {
  const LeafKnowledge& knowledge = *view_.table->leaf(index).knowledge;
  const double busy = 1.0 + knowledge.outstanding() + 0.5 * knowledge.reportedInFlight();
  const double latency = 1.0 + static_cast<double>(knowledge.latency().count());
  return busy * latency * (knowledge.cold() ? kColdFactor : 1.0);
}

}  // namespace oakpier
