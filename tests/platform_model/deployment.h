#pragma once

/// The shapes of the two users' deployments, for a day on stand-ins.

#include <string>
#include <vector>

#include "state/time.h"

namespace oakpier::serving::model {

struct RequestClass {
  std::string name;
  /// Path prefix and route name follow from the class's name.
  bool gather = true;
  bool repeatable = true;
  Duration target{};
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
  /// Connections that a shard's leaf accepts from all gateways together.
  unsigned shardConnections = 26;
  std::size_t singleLeafs = 0;
  std::vector<RequestClass> classes;
};

Deployment tavua();
Deployment fundPrices();
/// The operator's configuration. `extraRoute`: with a further route that was not there at the start.
std::string configurationText(const Deployment& deployment, std::uint64_t version, bool extraRoute);
std::string shardName(std::size_t number);
inline const char* const kHost = "shop.example";
inline const char* const kSingleService = "single";
std::string pathOf(const RequestClass& requestClass);

}  // namespace oakpier::serving::model
