#pragma once

/// Chooses which replica of a shard answers: the less loaded of two eligible ones drawn at random.

#include <cstdint>
#include <optional>
#include <vector>

#include "state/random.h"
#include "state/routing_view.h"
#include "state/time.h"

namespace oakpier {

/// What a leaf said of itself is acted on for this long.
inline constexpr Duration kDrainingWordLease = std::chrono::seconds(5);
/// After this many failures in a row a leaf is used only when no other replica is left.
inline constexpr std::uint32_t kEjectionFailures = 3;

/// How replicas are told apart. `kRandom` is the baseline that measurements compare with.
enum class ChoiceRule { kLeastLoadedOfTwo, kRandom };

class LeafChooser {
 public:
  LeafChooser(const RoutingView& view, ChoiceRule rule, RandomEngine& random)
      : view_(view), rule_(rule), random_(random) {}

  /// A replica of `shard` that may hold `snapshot` (0 = any) and is not in `excluded`; empty when there is
  /// none.
  std::optional<LeafIndex> choose(const ShardEntry& shard, std::uint64_t snapshot,
                                  const std::vector<LeafIndex>& excluded, Moment now);

 private:
  bool eligible(LeafIndex index, std::uint64_t snapshot, Moment now) const;
  bool ejected(LeafIndex index) const;
  double load(LeafIndex index) const;

  const RoutingView& view_;
  ChoiceRule rule_;
  RandomEngine& random_;
};

}  // namespace oakpier
