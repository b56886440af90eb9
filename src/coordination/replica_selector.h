#pragma once

/// Selects a replica of a shard by the power of two choices: the less loaded of two random eligible ones.

#include <cstdint>
#include <optional>
#include <vector>

#include "state/random.h"
#include "state/routing_view.h"
#include "state/time.h"

namespace oakpier {

/// How long an entry daemon excludes a leaf because of its reported draining state or missing snapshot.
inline constexpr Duration kReportValidity = std::chrono::seconds(5);
/// After this many consecutive failures a leaf is used only if no other replica is eligible.
inline constexpr std::uint32_t kEjectionFailures = 3;

/// Replica selection policy. `kRandom` is a baseline for benchmarks.
enum class ReplicaPolicy { kPowerOfTwoChoices, kRandom };

class ReplicaSelector {
 public:
  ReplicaSelector(const RoutingView& view, ReplicaPolicy policy, RandomEngine& random)
      : view_(view), policy_(policy), random_(random) {}

  /// A replica of `shard` that may hold `snapshot` (0 = any) and is not in `excluded`; empty when there is
  /// none.
  std::optional<LeafIndex> choose(const ShardEntry& shard, std::uint64_t snapshot,
                                  const std::vector<LeafIndex>& excluded, Moment now);

 private:
  bool eligible(LeafIndex index, std::uint64_t snapshot, Moment now) const;
  bool ejected(LeafIndex index) const;
  double load(LeafIndex index) const;

  const RoutingView& view_;
  ReplicaPolicy policy_;
  RandomEngine& random_;
};

}  // namespace oakpier
