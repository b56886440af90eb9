#pragma once

/// The gateway's configuration: routes, the services behind them, tenants and limits on requests. Durations
/// have microsecond resolution (`Duration`), sizes are in bytes.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/serving/tenant.h"
#include "state/time.h"

namespace oakpier::serving {

/// A service that receives a share of a route's requests in proportion to its weight.
struct WeightedService {
  std::string service;
  double weight = 1.0;
};

/// Each request goes to one leaf of one of the services, chosen by weight.
struct SingleTarget {
  std::vector<WeightedService> services;
};

/// Scatter-gather: each request goes to one leaf of every shard, and the shards' records are merged into one
/// answer.
struct GatherTarget {
  std::vector<std::string> shards;
  /// The number of greatest records, in byte order, that an answer contains.
  std::size_t topRecords = 0;
  /// The minimum fraction of the shards (0 to 1) that a successful answer covers.
  double minimumShardShare = 1.0;
};

struct Route {
  std::string name;
  std::string host;
  /// Starts and ends with a slash.
  std::string pathPrefix;
  /// Requests are idempotent and may run more than once; otherwise, each runs at most once.
  bool repeatable = false;
  /// The maximum time from the arrival of a request to its answer.
  Duration timeout{};
  /// The latency up to which an answer has its full value to the caller.
  Duration targetLatency{};
  /// The maximum number of leafs that a request may be sent to; for a gather route, per shard.
  unsigned attempts = 1;
  /// Priority; 0 is the highest.
  unsigned rank = 0;
  /// Callers need no key, even if the configuration has tenants.
  bool isPublic = false;
  std::variant<SingleTarget, GatherTarget> target;
};

struct ServiceDefinition {
  std::string name;
  /// The maximum number of connections that one leaf accepts, over all daemons.
  unsigned maximumConnections = 0;
  /// The maximum rate of a leaf that is warming up, in requests per second over all daemons; 0: unlimited.
  double warmupRate = 0.0;
};

/// Limits on the size of a caller's request and on the time it takes to arrive.
struct RequestLimits {
  std::size_t headerBytes = 16384;
  std::size_t bodyBytes = 262144;
  /// From the first byte of a request to its last, including the body.
  Duration headerTimeout = std::chrono::seconds(3);
  /// How long a connection may stay idle between requests.
  Duration idleTimeout = std::chrono::seconds(15);
};

struct ServingConfiguration {
  /// Increases with every change, not necessarily by 1.
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceDefinition> services;
  RequestLimits limits;
  /// If empty, no request needs a key.
  std::vector<Tenant> tenants;
};

/// One message per violated constraint; empty if the configuration is valid.
std::vector<std::string> validationErrors(const ServingConfiguration& configuration);

}  // namespace oakpier::serving
