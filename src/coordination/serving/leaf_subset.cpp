#include "coordination/serving/leaf_subset.h"

#include <algorithm>
#include <utility>

#include "state/hashing.h"

namespace oakpier::serving {

namespace {

/// Requests on more connections than this to one leaf would only queue there.
constexpr std::size_t kMaxConnections = 6;
/// Share of a leaf's connections that is used when each daemon has only a subset of the leafs. The rest is
/// kept for the variance of the number of daemons that hashing assigns to a leaf.
constexpr double kPlannedShare = 0.6;
/// With fewer leafs there would be no other one to hedge to.
constexpr std::size_t kMinLeafs = 2;

}  // namespace

ConnectionShare connectionShare(std::size_t leafs, std::size_t maximumConnections, std::size_t daemons) {
  const std::size_t sharers = std::max<std::size_t>(1, daemons);
  const std::size_t each = maximumConnections / sharers;
  if (each >= 1) {
    return {leafs, std::min(each, kMaxConnections)};
  }
  const double planned =
      kPlannedShare * static_cast<double>(leafs * maximumConnections) / static_cast<double>(sharers);
  const auto count = std::max(kMinLeafs, static_cast<std::size_t>(planned));
  return {std::min(leafs, count), 1};
}

std::vector<LeafEntry> chooseSubset(const std::vector<LeafEntry>& leafs, std::size_t count,
                                    const Endpoint& daemon) {
  std::vector<std::pair<std::uint64_t, const LeafEntry*>> ranked;
  for (const LeafEntry& leaf : leafs) {
    if (leaf.acceptsRequests()) {
      ranked.emplace_back(hashPair(hashText(leaf.id), daemon.packed()), &leaf);
    }
  }
  const std::size_t kept = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end(),
                    [](const auto& left, const auto& right) { return left.first > right.first; });
  std::vector<LeafEntry> subset;
  for (std::size_t place = 0; place < kept; ++place) {
    subset.push_back(*ranked[place].second);
  }
  return subset;
}

}  // namespace oakpier::serving
