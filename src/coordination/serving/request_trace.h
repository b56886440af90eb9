#pragma once

/// Trace of the decisions for one request, kept in memory until the request ends, and logged then if it
/// failed or its answer was late or partial.

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "coordination/serving/leaf_outcome.h"
#include "coordination/serving/leaf_status.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier::serving {

enum class Decision {
  kSend,
  kHedge,
  kRetry,
  /// Retried after the leafs' deadline, as too few shards had answered.
  kLateRetry,
  /// No leaf was eligible.
  kNoLeaf,
  /// An extra attempt was denied, as the retry budget was empty.
  kBudgetEmpty,
  kOutcome,
  /// Delegated to the daemon that owns the shard.
  kDelegate,
  /// The owner reported a result.
  kOwnerOutcome,
  /// The owner became unresponsive, and the delegation was given up.
  kOwnerUnresponsive,
  /// The part was suspended until a leaf answers, as leafs have crashed under the request.
  kSuspended,
};

struct TraceEvent {
  Moment at;
  Decision decision = Decision::kSend;
  /// Service of the part; valid as long as the request.
  std::string_view service;
  /// Null if the event does not concern a leaf.
  std::shared_ptr<const LeafStatus> leaf;
  /// The leaf's status that the selection was based on.
  double queueLength = 0;
  double latencyRatio = 0;
  Duration overdueFor{};
  /// For kOutcome and kOwnerOutcome.
  std::optional<LeafOutcome::Kind> outcome;
  /// For kDelegate, kOwnerOutcome and kOwnerUnresponsive.
  std::optional<Endpoint> owner;
};

/// Keeps the first `kMaxEvents` events of a request. Not thread-safe.
class RequestTrace {
 public:
  void add(TraceEvent event) {
    if (events_.size() < kMaxEvents) {
      events_.push_back(std::move(event));
    } else {
      ++dropped_;
    }
  }
  const std::vector<TraceEvent>& events() const { return events_; }
  std::size_t dropped() const { return dropped_; }

 private:
  static constexpr std::size_t kMaxEvents = 400;
  std::vector<TraceEvent> events_;
  std::size_t dropped_ = 0;
};

}  // namespace oakpier::serving
