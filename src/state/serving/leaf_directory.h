#pragma once

/// The leafs that the configuration source lists, by service, and the view that request handling works on.

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

/// The state that a leaf has published about one of its incarnations.
struct LeafEntry {
  std::string id;
  /// Start time of its process, in milliseconds since the Unix epoch; 0: not reported. See `LeafIncarnation`.
  std::uint64_t processStartedAt = 0;
  std::string service;
  Endpoint address;
  std::string zone;
  /// Number of requests that it processes concurrently.
  unsigned slots = 1;
  /// Shutting down: accepts no new requests.
  bool draining = false;
  /// The operator is evacuating its zone: no new requests are sent there.
  bool evacuated = false;
  /// Remaining warm-up time, counted from when the leaf reported it.
  Duration warmupLeft{};
  /// Position of this entry in the source's history; default if it was not read from a source.
  SourcePosition position;

  /// Compares all but the id, the warm-up time and the position.
  bool sameDescription(const LeafEntry& other) const {
    return processStartedAt == other.processStartedAt && service == other.service &&
           address == other.address && zone == other.zone && slots == other.slots &&
           draining == other.draining && evacuated == other.evacuated;
  }
  LeafIncarnation incarnation() const { return LeafIncarnation{id, processStartedAt, address}; }
  bool isOf(const LeafIncarnation& incarnation) const {
    return processStartedAt == incarnation.processStartedAt && address == incarnation.address &&
           id == incarnation.id;
  }
  bool acceptsRequests() const { return !draining && !evacuated; }
};

using LeafsByService = std::unordered_map<std::string, std::vector<LeafEntry>>;

/// An immutable snapshot of the configuration and the leafs. Requests use one view throughout; changes are
/// published as a new view.
struct ServingView {
  /// Null until the first configuration is known. Its tenants do not include their keys.
  std::shared_ptr<const ServingConfiguration> configuration;
  std::shared_ptr<const RouteTable> routes;
  /// Null until the first configuration is known.
  std::shared_ptr<const TenantTable> tenants;
  std::shared_ptr<const LeafsByService> leafs;
  /// The view reflects all changes of the source up to this position.
  SourcePosition position;
};

}  // namespace oakpier::serving
