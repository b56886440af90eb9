#pragma once

/// The two users' deployments as the platform model simulates them.

#include <string>
#include <vector>

#include "state/time.h"

namespace oakpier::serving::model {

struct RequestClass {
  /// Also the route's name and its path prefix.
  std::string name;
  bool gather = true;
  bool repeatable = true;
  Duration targetLatency{};
  Duration deadline{};
  std::size_t topRecords = 0;
  double minimumShare = 1.0;
  unsigned rank = 0;
  double perSecond = 0;
};

struct Deployment {
  std::string name;
  std::vector<std::string> zones;
  std::size_t gateways = 0;
  std::size_t shards = 0;
  std::size_t replicas = 2;
  /// Connections that a shard's leaf accepts in total from all gateways.
  unsigned shardConnections = 26;
  std::size_t singleLeafs = 0;
  std::vector<RequestClass> classes;
};

Deployment tavua();
Deployment fundPrices();
/// The operator's configuration as JSON. `extraRoute` adds a route that the first version does not have.
std::string configurationText(const Deployment& deployment, std::uint64_t version, bool extraRoute);
std::string shardName(std::size_t number);
inline const char* const kHost = "shop.example";
inline const char* const kSingleService = "single";
std::string pathOf(const RequestClass& requestClass);

}  // namespace oakpier::serving::model
