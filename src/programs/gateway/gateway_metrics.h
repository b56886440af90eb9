#pragma once

/// The gateway's figures in the text format of Prometheus.

#include <cstdint>
#include <map>
#include <string>

#include "coordination/serving/source_follower.h"
#include "programs/gateway/latency_histogram.h"
#include "programs/gateway/merge_client.h"
#include "programs/gateway/owner_client.h"
#include "programs/gateway/quota_link.h"
#include "transport/peer_transport.h"
#include "transport/serving/leaf_pool.h"

namespace oakpier::serving {

struct RequestCounters {
  std::uint64_t received = 0;
  std::uint64_t answered = 0;
  std::uint64_t partial = 0;
  std::uint64_t refused = 0;
  std::uint64_t refusedBusy = 0;
  std::uint64_t refusedUnservable = 0;
  /// Rejected as leafs end under them.
  std::uint64_t rejectedEndingLeafs = 0;
  /// Sent to one leaf first, as leafs have ended under them.
  std::uint64_t trials = 0;
  /// Answered 401.
  std::uint64_t rejectedKeys = 0;
  /// Refused as the configuration was not proved fresh.
  std::uint64_t refusedUnproved = 0;
  /// Answered 429.
  std::uint64_t refusedOverLimit = 0;
  std::uint64_t failed = 0;
  std::uint64_t noRoute = 0;
  std::uint64_t callersGone = 0;
  std::uint64_t sends = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t budgetEmpty = 0;
  /// Time to the answer, by route.
  std::map<std::string, LatencyHistogram> answerTimes;
};

/// What is told at one moment.
struct GatewayFigures {
  const RequestCounters& requests;
  const LeafPoolCounters& pool;
  const OwnerClientCounters& owners;
  /// Shards served for other daemons.
  std::uint64_t partsServed = 0;
  const MergeClientCounters& mergeServers;
  /// Requests to leafs sent for daemons of other zones.
  std::uint64_t partsMerged = 0;
  const PeerTransportCounters& peers;
  FollowerCounters source;
  std::uint64_t configurationVersion = 0;
  std::size_t leafs = 0;
  std::size_t daemons = 0;
  /// Requests that are rejected at present, as leafs end under them.
  std::size_t condemnedRequests = 0;
  bool ready = false;
  std::uint64_t logLinesLeftOut = 0;
  std::uint64_t logLinesDropped = 0;
  /// Told to the other daemons, in hundredths of a core; 0: nothing.
  unsigned capacity = 0;
  /// Of all serving daemons, in hundredths of a core.
  std::uint64_t fleetCapacity = 0;
  /// Keys of all tenants in the configuration.
  std::size_t keys = 0;
  /// Since the configuration was last proved the newest; infinite while nothing is proved.
  double proofAgeSeconds = 0;
  QuotaFigures quota;
};

std::string metricsText(const GatewayFigures& figures);

}  // namespace oakpier::serving
