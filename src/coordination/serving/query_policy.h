#pragma once

/// How long queries wait before they hedge, answer with what there is, or give up; and what they share.

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>

#include "coordination/latency_tracker.h"
#include "coordination/serving/extra_send_budget.h"
#include "coordination/serving/leaf_status.h"
#include "coordination/serving/request_quarantine.h"
#include "coordination/serving/warmup_allowance.h"
#include "state/random.h"
#include "state/serving/serving_configuration.h"

namespace oakpier::serving {

struct QueryPolicy {
  /// Kept free before the target latency for the way back to the caller and for merging.
  Duration answerMargin = std::chrono::milliseconds(9);
  double answerMarginShare = 0.08;
  /// Leafs may work on shards' answers for this multiple of the target latency. A leaf drops a request that
  /// is still queued by then, so that an overloaded leaf spends its time on requests that can be answered in
  /// time.
  double usefulFactor = 1.0;
  /// A refused caller is told to come back after this.
  Duration retryAfter = std::chrono::milliseconds(150);
  /// Kept free before the caller's deadline, so that the final answer reaches it.
  Duration deadlineMargin = std::chrono::milliseconds(15);
};

/// Latencies of leaf requests of one route.
class RouteLatency {
 public:
  explicit RouteLatency(Duration targetLatency) : targetLatency_(targetLatency) {}

  void record(Duration latency, Moment now) {
    quick_.record(latency, now);
    typical_.record(latency, now);
    high_.record(latency, now);
  }
  Duration typical() const { return typical_.estimate().value_or(targetLatency_ / 5); }
  /// Work and ways alone: the quickest quarter of answers met no queue.
  Duration withoutQueue() const { return quick_.estimate().value_or(targetLatency_ / 5); }
  /// With this much time left a request may be sent to any leaf, however slow it was: what is known of it may
  /// be out of date. Half of the target latency, so that a first send always may.
  Duration alwaysWorthTrying() const { return targetLatency_ / 2; }
  /// Most answers of healthy leafs are in by then. The high quantile alone is not enough: when more than its
  /// rest of the leafs pause or are slow, it tells of those.
  Duration high() const { return std::min(high_.estimate().value_or(targetLatency_ / 3), typical() * 5 / 2); }

 private:
  Duration targetLatency_;
  LatencyTracker quick_{0.25};
  LatencyTracker typical_{0.5};
  LatencyTracker high_{0.95};
};

class ShardOwners;
class MergeServerSelector;

/// Numbers exchanges, so that no two of a process are alike.
struct ExchangeNumbers {
  std::uint64_t next = 1;
};

/// What the queries of one request thread share. Not thread-safe.
struct QueryContext {
  LeafRegistry& leafs;
  ExtraSendBudgets& budgets;
  RandomEngine& random;
  QueryPolicy policy;
  std::string ownZone;
  ExchangeNumbers& exchanges;
  /// Null when every daemon sends to all leafs itself.
  ShardOwners* owners = nullptr;
  std::unordered_map<std::string, RouteLatency> latencies;
  /// Null when nothing is merged in other zones.
  MergeServerSelector* mergeServers = nullptr;
  /// Of the other zones the one that is chosen from first, while a query starts.
  std::string preferredZone = {};
  WarmupAllowances warmups = {};
  /// Null where nothing is known of requests that end leafs.
  const RequestQuarantine* quarantine = nullptr;

  /// Null when what cold leafs of the service get is not bounded.
  const WarmupAllowance* warmupOf(const std::string& service) const {
    const auto found = warmups.find(service);
    return found == warmups.end() ? nullptr : &found->second;
  }
  RouteLatency& latencyOf(const Route& route) {
    return latencies.try_emplace(route.name, route.targetLatency).first->second;
  }
};

}  // namespace oakpier::serving
