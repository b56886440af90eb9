#pragma once

/// Time limits of queries, and the state that queries share.

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>

#include "coordination/latency_tracker.h"
#include "coordination/serving/leaf_status.h"
#include "coordination/serving/request_quarantine.h"
#include "coordination/serving/retry_budget.h"
#include "coordination/serving/warmup_allowance.h"
#include "state/random.h"
#include "state/serving/serving_configuration.h"

namespace oakpier::serving {

struct QueryPolicy {
  /// Reserved before the target latency for merging and for the response to reach the caller: a fixed time
  /// plus a share of the target latency.
  Duration answerMargin = std::chrono::milliseconds(9);
  double answerMarginShare = 0.08;
  /// Deadline of scatter-gather requests at leafs, as a multiple of the target latency. A leaf drops requests
  /// that are still queued by then, so that an overloaded leaf works only on requests that can be answered in
  /// time.
  double leafDeadlineFactor = 1.0;
  /// Minimum retry delay of a refused request.
  Duration retryAfter = std::chrono::milliseconds(150);
  /// Reserved before the caller's deadline for the final answer to reach it.
  Duration deadlineMargin = std::chrono::milliseconds(15);
};

/// Latency estimates for the leaf requests of one route.
class RouteLatency {
 public:
  explicit RouteLatency(Duration targetLatency) : targetLatency_(targetLatency) {}

  void record(Duration latency, Moment now) {
    firstQuartile_.record(latency, now);
    median_.record(latency, now);
    high_.record(latency, now);
  }
  Duration median() const { return median_.estimate().value_or(targetLatency_ / 5); }
  /// Latency without queueing, that is, service time plus network round trip, estimated by the first
  /// quartile.
  Duration unloadedLatency() const { return firstQuartile_.estimate().value_or(targetLatency_ / 5); }
  /// With this much time left, a request may be sent to any leaf, however slow its recent answers, since that
  /// estimate may be outdated. Half the target latency, so that the first send is always allowed.
  Duration sufficientTime() const { return targetLatency_ / 2; }
  /// Latency that most answers of healthy leafs stay below: the 95th percentile, capped at a multiple of the
  /// median. Without the cap, it would rise to the latency of slow leafs once they give more than 5 % of the
  /// answers.
  Duration high() const { return std::min(high_.estimate().value_or(targetLatency_ / 3), median() * 5 / 2); }

 private:
  Duration targetLatency_;
  LatencyTracker firstQuartile_{0.25};
  LatencyTracker median_{0.5};
  LatencyTracker high_{0.95};
};

class ShardOwners;
class MergeServerSelector;

/// Source of exchange ids that are unique within the process.
struct ExchangeIdSource {
  std::uint64_t next = 1;
};

/// State shared by the queries of one request thread. Not thread-safe.
struct QueryContext {
  LeafRegistry& leafs;
  RetryBudgets& budgets;
  RandomEngine& random;
  QueryPolicy policy;
  std::string ownZone;
  ExchangeIdSource& exchanges;
  /// Null if no shard has an owner, so that every daemon sends to all leafs itself.
  ShardOwners* owners = nullptr;
  std::unordered_map<std::string, RouteLatency> latencies;
  /// Null if answers are not merged in other zones.
  MergeServerSelector* mergeServers = nullptr;
  /// The zone preferred after `ownZone`; drawn anew when a query starts.
  std::string preferredZone = {};
  WarmupAllowances warmups = {};
  /// Null if requests that crash leafs are not tracked.
  const RequestQuarantine* quarantine = nullptr;

  /// Null if the request rate to cold leafs of the service is not limited.
  const WarmupAllowance* warmupOf(const std::string& service) const {
    const auto found = warmups.find(service);
    return found == warmups.end() ? nullptr : &found->second;
  }
  RouteLatency& latencyOf(const Route& route) {
    return latencies.try_emplace(route.name, route.targetLatency).first->second;
  }
};

}  // namespace oakpier::serving
