#pragma once

/// Chooses the leaf that is expected to answer a request first.

#include <memory>
#include <string>
#include <vector>

#include "coordination/serving/leaf_status.h"
#include "state/random.h"

namespace oakpier::serving {

struct SelectionRequest {
  /// Leafs that were already tried for the request.
  const std::vector<std::string>& triedLeafs;
  /// The usual latency of this kind of request.
  Duration typicalLatency;
  /// The zone of this daemon; leafs elsewhere cost more to reach.
  const std::string& ownZone;
};

/// The expected time to an answer, with penalties for what makes one doubtful.
Duration expectedLatency(const LeafStatus& leaf, const SelectionRequest& request, Moment now);

/// Null when no usable leaf is left.
std::shared_ptr<LeafStatus> selectLeaf(const LeafRegistry::Leafs& leafs, const SelectionRequest& request,
                                       RandomEngine& random, Moment now);

}  // namespace oakpier::serving
