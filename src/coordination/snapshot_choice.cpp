#include "coordination/snapshot_choice.h"

#include <algorithm>
#include <functional>

namespace oakpier {

namespace {

/// Only this many of the newest snapshots are considered.
constexpr std::size_t kMaxCandidates = 4;

bool usable(const RoutingView& view, LeafIndex index) {
  const LeafEntry& leaf = view.table->leaf(index);
  return !leaf.drained && !view.leaving[index] && leaf.knowledge->known() && !leaf.knowledge->draining();
}

/// The newest snapshot of each usable replica, without duplicates, newest first, at most `kMaxCandidates`.
std::vector<std::uint64_t> candidates(const RoutingView& view, const ServiceEntry& service) {
  std::vector<std::uint64_t> snapshots;
  for (const auto& partition : service.partitions) {
    for (const auto& shard : partition.shards) {
      for (const LeafIndex index : shard.replicas) {
        const std::uint64_t newest = view.table->leaf(index).knowledge->newestSnapshot();
        const bool listed = std::find(snapshots.begin(), snapshots.end(), newest) != snapshots.end();
        if (newest != 0 && !listed && usable(view, index)) {
          snapshots.push_back(newest);
        }
      }
    }
  }
  std::sort(snapshots.begin(), snapshots.end(), std::greater<>());
  snapshots.resize(std::min(snapshots.size(), kMaxCandidates));
  return snapshots;
}

bool held(const RoutingView& view, const ShardEntry& shard, std::uint64_t snapshot) {
  return std::any_of(shard.replicas.begin(), shard.replicas.end(), [&](LeafIndex index) {
    return usable(view, index) && view.table->leaf(index).knowledge->holds(snapshot);
  });
}

bool reported(const RoutingView& view, const ShardEntry& shard) {
  return std::any_of(shard.replicas.begin(), shard.replicas.end(),
                     [&](LeafIndex index) { return view.table->leaf(index).knowledge->known(); });
}

/// Fraction (0 to 1) of the shards of the partition at `snapshot` with a usable replica that holds it.
double coverage(const RoutingView& view, const ServiceEntry& service, std::uint64_t snapshot) {
  const auto& shards = service.partitionAt(snapshot).shards;
  const auto count = std::count_if(shards.begin(), shards.end(),
                                   [&](const ShardEntry& shard) { return held(view, shard, snapshot); });
  return static_cast<double>(count) / static_cast<double>(shards.size());
}

}  // namespace

SnapshotChoice chooseSnapshot(const RoutingView& view, const ServiceEntry& service) {
  SnapshotChoice choice;
  double best = 0;
  for (const std::uint64_t snapshot : candidates(view, service)) {
    const double reached = coverage(view, service, snapshot);
    if (reached > best) {
      best = reached;
      choice.snapshot = snapshot;
    }
  }
  const auto& partition =
      choice.snapshot == 0 ? service.partitions.back() : service.partitionAt(choice.snapshot);
  for (const auto& shard : partition.shards) {
    if (!reported(view, shard)) {
      choice.unreported.push_back(&shard);
    }
  }
  return choice;
}

}  // namespace oakpier
