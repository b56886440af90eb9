#pragma once

/// What operators declare for the gateway: routes, the services behind them and limits on callers.
/// Durations are microseconds (`Duration`), sizes are bytes.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/serving/tenant.h"
#include "state/time.h"

namespace oakpier::serving {

/// One of several services that share the requests of a route in proportion to their weights.
struct WeightedService {
  std::string service;
  double weight = 1.0;
};

/// Requests go to one leaf of one of these services.
struct SingleTarget {
  std::vector<WeightedService> services;
};

/// Requests go to one leaf of every shard; the answer merges the shards' records.
struct GatherTarget {
  std::vector<std::string> shards;
  /// How many of the greatest records an answer holds.
  std::size_t topRecords = 0;
  /// The least share of the shards (0 to 1) that a successful answer covers.
  double minimumShardShare = 1.0;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string pathPrefix;
  /// A repeatable request may run more than once; any other at most once.
  bool repeatable = false;
  /// The longest that a request is held.
  Duration timeout{};
  /// The time within which an answer has its full worth to the caller.
  Duration targetLatency{};
  /// The most leafs that one request may be sent to; for a gather route, for each shard.
  unsigned attempts = 1;
  /// 0 is the most urgent.
  unsigned rank = 0;
  /// Callers need no key, even where the configuration names tenants.
  bool isPublic = false;
  std::variant<SingleTarget, GatherTarget> target;
};

struct ServiceDefinition {
  std::string name;
  /// Connections that one leaf accepts from all daemons together.
  unsigned maximumConnections = 0;
  /// Requests a second that a cold leaf bears from all daemons together; 0 when no bound is told.
  double warmupRate = 0.0;
};

/// What a caller may send, and how long it may take over it.
struct RequestLimits {
  std::size_t headerBytes = 16384;
  std::size_t bodyBytes = 262144;
  Duration headerTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

struct ServingConfiguration {
  /// Versions rise, in uneven steps.
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceDefinition> services;
  RequestLimits limits;
  /// None: no request needs a key.
  std::vector<Tenant> tenants;
};

/// Every reason, in plain words, why the configuration cannot be used; empty when it can.
std::vector<std::string> validationErrors(const ServingConfiguration& configuration);

}  // namespace oakpier::serving
