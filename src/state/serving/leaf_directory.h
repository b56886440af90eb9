#pragma once

/// The leafs that the configuration source lists, by service.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/endpoint.h"
#include "state/serving/leaf_incarnation.h"
#include "state/serving/route_table.h"
#include "state/serving/serving_configuration.h"
#include "state/serving/source_position.h"
#include "state/serving/tenant_table.h"
#include "state/time.h"

namespace oakpier::serving {

/// What a leaf says of one life of it.
struct LeafEntry {
  std::string id;
  /// When its process began, in milliseconds since 1970; 0: not told. See `LeafIncarnation`.
  std::uint64_t processStartedAt = 0;
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
  /// Where in the source's history it stands; none when the source was not read.
  SourcePosition position;

  bool sameAs(const LeafEntry& other) const {
    return processStartedAt == other.processStartedAt && service == other.service &&
           address == other.address && zone == other.zone && slots == other.slots &&
           draining == other.draining && evacuated == other.evacuated;
  }
  LeafIncarnation incarnation() const { return LeafIncarnation{id, processStartedAt, address}; }
  bool isOf(const LeafIncarnation& incarnation) const {
    return processStartedAt == incarnation.processStartedAt && address == incarnation.address &&
           id == incarnation.id;
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
  /// Everything that the source held there was known when the view was made.
  SourcePosition position;
};

}  // namespace oakpier::serving
