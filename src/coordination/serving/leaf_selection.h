#pragma once

/// Selects the leaf with the lowest expected latency for a request.

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/serving/leaf_status.h"
#include "coordination/serving/warmup_allowance.h"
#include "state/random.h"

namespace oakpier::serving {

/// Bounds on the time that a leaf of average speed needs to answer a request of one route.
struct LatencyBounds {
  /// Service time and network round trip, without queueing.
  Duration unloadedLatency{};
  /// With this much time left, the request may be sent to any leaf.
  Duration sufficientTime{};
};

struct SelectionRequest {
  /// Leafs that the request was already sent to; they are not selected again.
  const std::vector<LeafIncarnation>& triedLeafs;
  /// Median latency of requests of this route.
  Duration medianLatency;
  /// The zone of this daemon. Leafs of other zones get a latency penalty.
  const std::string& ownZone;
  /// The other zone with the lowest penalty; may be empty.
  std::string_view preferredZone = {};
  /// Time until the leaf's deadline. Leafs that usually need longer are skipped.
  Duration timeLeft = Duration::max();
  LatencyBounds latencyBounds = {};
  /// Limit on requests to a cold leaf; null if there is none.
  const WarmupAllowance* warmup = nullptr;
};

/// Minimum time in which the leaf usually answers, without queueing.
Duration minResponseTime(const LeafStatus& leaf, const LatencyBounds& bounds);

/// Expected latency including the time in the leaf's queue, from its speed and queue length.
Duration latencyWithQueue(const LeafStatus& leaf, Duration medianLatency, Moment now);

/// `latencyWithQueue` plus penalties for other zones, overdue answers and ejected leafs.
Duration expectedLatency(const LeafStatus& leaf, const SelectionRequest& request, Moment now);

/// Null if no leaf is eligible.
std::shared_ptr<LeafStatus> selectLeaf(const LeafRegistry::Leafs& leafs, const SelectionRequest& request,
                                       RandomEngine& random, Moment now);

}  // namespace oakpier::serving
