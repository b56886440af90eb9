#pragma once

/// Chooses the leaf that is expected to answer a request first.

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/serving/leaf_status.h"
#include "coordination/serving/warmup_allowance.h"
#include "state/random.h"

namespace oakpier::serving {

/// What an answer of one kind of request needs at an ordinary leaf.
struct AnswerTime {
  /// Work and the ways there and back.
  Duration withoutQueue{};
  /// With this much time left a request may go to any leaf.
  Duration alwaysWorthTrying{};
};

struct SelectionRequest {
  /// Lives of leafs that were already tried for the request.
  const std::vector<LeafLife>& triedLeafs;
  /// The usual latency of this kind of request.
  Duration typicalLatency;
  /// The zone of this daemon; leafs elsewhere cost more to reach.
  const std::string& ownZone;
  /// The other zone that costs least; may be empty.
  std::string_view preferredZone = {};
  /// Until the leaf's deadline; leafs that usually need longer are left out.
  Duration timeLeft = Duration::max();
  AnswerTime answerTime = {};
  /// What this daemon may send to a cold leaf; null when that is not bounded.
  const WarmupAllowance* warmup = nullptr;
};

/// The least time that the leaf usually needs for an answer, its queue aside.
Duration leastAnswerTime(const LeafStatus& leaf, const AnswerTime& time);

/// The time to an answer that the leaf's speed and queue let expect.
Duration queueingLatency(const LeafStatus& leaf, Duration typicalLatency, Moment now);

/// The same, with penalties for what makes an answer doubtful or costly.
Duration expectedLatency(const LeafStatus& leaf, const SelectionRequest& request, Moment now);

/// Null when no usable leaf is left.
std::shared_ptr<LeafStatus> selectLeaf(const LeafRegistry::Leafs& leafs, const SelectionRequest& request,
                                       RandomEngine& random, Moment now);

}  // namespace oakpier::serving
