#pragma once

/// Gateway metrics in the Prometheus text format.

#include <cstdint>
#include <map>
#include <string>

#include "coordination/serving/source_follower.h"
#include "programs/gateway/latency_histogram.h"
#include "programs/gateway/merge_client.h"
#include "programs/gateway/owner_client.h"
#include "programs/gateway/quota_enforcer.h"
#include "transport/peer_transport.h"
#include "transport/serving/leaf_pool.h"

namespace oakpier::serving {

struct RequestCounters {
  std::uint64_t received = 0;
  std::uint64_t answered = 0;
  std::uint64_t partial = 0;
  /// Answered with 503 because the request was not run. Includes `refusedBusy`, `refusedUnservable` and
  /// `refusedUnproven`.
  std::uint64_t refused = 0;
  std::uint64_t refusedBusy = 0;
  std::uint64_t refusedUnservable = 0;
  /// Answered with 500 because the request is quarantined for crashing leafs; not included in `refused`.
  std::uint64_t rejectedQuarantined = 0;
  /// Sent to a single leaf first because they have crashed leafs.
  std::uint64_t trials = 0;
  /// Answered with 401; not included in `refused`.
  std::uint64_t rejectedKeys = 0;
  /// Admitted on a public route as anonymous although they have a key.
  std::uint64_t anonymousWithKey = 0;
  /// Refused because there was no sufficiently recent freshness proof of the configuration.
  std::uint64_t refusedUnproven = 0;
  /// Answered with 429; not included in `refused`.
  std::uint64_t refusedOverLimit = 0;
  std::uint64_t failed = 0;
  std::uint64_t noRoute = 0;
  std::uint64_t callersDisconnected = 0;
  std::uint64_t sends = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t retryBudgetExhausted = 0;
  /// Time to the answer, by route.
  std::map<std::string, LatencyHistogram> answerTimes;
};

/// What the process itself needs and has failed to get.
struct ProcessMetrics {
  std::uint64_t logLinesUnwritten = 0;
  /// Handlers of the request thread that ended by an exception.
  std::uint64_t handlerFailures = 0;
  std::size_t descriptorLimit = 0;
  std::size_t callerConnections = 0;
  /// Beyond the maximum number of connections.
  std::uint64_t callerConnectionsRejected = 0;
  /// Memory of large replies, in bytes.
  std::size_t replyBytes = 0;
  /// Replies and requests given up, as all of them together took too much memory.
  std::uint64_t repliesGivenUp = 0;
  std::uint64_t requestsGivenUp = 0;
};

/// Values of all metrics at one point in time. Refers to the counters of the gateway, which must outlive it.
struct GatewayMetrics {
  const RequestCounters& requests;
  const LeafPoolCounters& pool;
  const OwnerClientCounters& ownerClient;
  /// Shards served for peers as their owner.
  std::uint64_t partsServed = 0;
  const MergeClientCounters& mergeClient;
  /// Requests sent to leafs as the merge server for peers in other zones.
  std::uint64_t partsMerged = 0;
  const PeerTransportCounters& peers;
  FollowerCounters source;
  std::uint64_t configurationVersion = 0;
  std::size_t leafs = 0;
  std::size_t daemons = 0;
  /// Fingerprints of requests that are currently rejected for crashing leafs.
  std::size_t quarantinedRequests = 0;
  bool ready = false;
  std::uint64_t logLinesSuppressed = 0;
  std::uint64_t logLinesDropped = 0;
  /// Capacity reported to peers, in hundredths of a core; 0 if none is reported.
  unsigned capacity = 0;
  /// Total capacity of all serving daemons, in hundredths of a core.
  std::uint64_t fleetCapacity = 0;
  /// Number of keys of all tenants in the configuration.
  std::size_t keys = 0;
  /// Age of the latest freshness proof of the configuration; infinite if there is none.
  double proofAgeSeconds = 0;
  QuotaMetrics quota;
  ProcessMetrics process{};
};

std::string metricsText(const GatewayMetrics& metrics);

}  // namespace oakpier::serving
