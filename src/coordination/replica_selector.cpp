#include "coordination/replica_selector.h"

#include <algorithm>

namespace oakpier {

namespace {

/// Multiplier of a cold leaf's load.
constexpr double kColdFactor = 4.0;

}  // namespace

std::optional<LeafIndex> ReplicaSelector::choose(const ShardEntry& shard, std::uint64_t snapshot,
                                                 const std::vector<LeafIndex>& excluded, Moment now) {
  std::vector<LeafIndex> healthy;
  std::vector<LeafIndex> ejectedLeafs;
  for (const LeafIndex index : shard.replicas) {
    const bool tried = std::find(excluded.begin(), excluded.end(), index) != excluded.end();
    if (!tried && eligible(index, snapshot, now)) {
      (ejected(index) ? ejectedLeafs : healthy).push_back(index);
    }
  }
  const auto& candidates = healthy.empty() ? ejectedLeafs : healthy;
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t first = drawBelow(candidates.size(), random_);
  if (candidates.size() == 1 || policy_ == ReplicaPolicy::kRandom) {
    return candidates[first];
  }
  std::size_t second = drawBelow(candidates.size() - 1, random_);
  second += second >= first ? 1 : 0;
  const bool firstLessLoaded = load(candidates[first]) <= load(candidates[second]);
  return candidates[firstLessLoaded ? first : second];
}

bool ReplicaSelector::eligible(LeafIndex index, std::uint64_t snapshot, Moment now) const {
  const LeafEntry& leaf = view_.table->leaf(index);
  if (leaf.drained || view_.leaving[index] || view_.owners[index].front() == Endpoint()) {
    return false;
  }
  const LeafKnowledge& knowledge = *leaf.knowledge;
  if (!knowledge.known()) {
    return true;
  }
  const bool reportValid = now - knowledge.reportedAt() < kReportValidity;
  if (knowledge.draining() && reportValid) {
    return false;
  }
  return snapshot == 0 || !reportValid || knowledge.holds(snapshot);
}

bool ReplicaSelector::ejected(LeafIndex index) const {
  return view_.table->leaf(index).knowledge->consecutiveFailures() >= kEjectionFailures;
}

double ReplicaSelector::load(LeafIndex index) const {
  const LeafKnowledge& knowledge = *view_.table->leaf(index).knowledge;
  const double busy = 1.0 + knowledge.outstanding() + 0.5 * knowledge.reportedInFlight();
  const double latency = 1.0 + static_cast<double>(knowledge.latency().count());
  return busy * latency * (knowledge.cold() ? kColdFactor : 1.0);
}

}  // namespace oakpier
