#pragma once

/// The leafs that the configuration source lists, by service.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/endpoint.h"
#include "state/serving/route_table.h"
#include "state/serving/serving_configuration.h"
#include "state/serving/tenant_table.h"
#include "state/time.h"

namespace oakpier::serving {

/// One incarnation of a leaf; a restarted leaf has another id.
struct LeafEntry {
  std::string id;
  std::string service;
  Endpoint address;
  std::string zone;
  /// Requests that it works on at once.
  unsigned slots = 1;
  /// It takes no new work.
  bool draining = false;
  /// The operator wants nothing new sent to its zone.
  bool evacuated = false;
  /// How much longer it is cold, counted from when it said so.
  Duration warmupLeft{};
  /// The source's revision of this statement; 0 when the source was not read.
  std::uint64_t revision = 0;

  bool sameAs(const LeafEntry& other) const {
    return service == other.service && address == other.address && zone == other.zone &&
           slots == other.slots && draining == other.draining && evacuated == other.evacuated;
  }
  /// New requests may be sent to it.
  bool takesWork() const { return !draining && !evacuated; }
};

using LeafsByService = std::unordered_map<std::string, std::vector<LeafEntry>>;

/// One version of all that a request is served by; immutable, published as a whole.
struct ServingView {
  /// Null until the first configuration is known. Its tenants are without their keys.
  std::shared_ptr<const ServingConfiguration> configuration;
  std::shared_ptr<const RouteTable> routes;
  /// Null until the first configuration is known.
  std::shared_ptr<const TenantTable> tenants;
  std::shared_ptr<const LeafsByService> leafs;
};

}  // namespace oakpier::serving
