#pragma once

/// The accepted configuration in the form that requests read: indexes in place of names, policies at hand.
/// Immutable; one table is shared by all threads through `Published`.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "oakpier/configuration.pb.h"
#include "state/endpoint.h"
#include "state/leaf_knowledge.h"
#include "state/time.h"

namespace oakpier {

using LeafIndex = std::uint32_t;

struct LeafEntry {
  std::string name;
  Endpoint address;
  std::uint16_t zone = 0;
  std::uint16_t slots = 0;
  std::uint16_t maxConnections = 0;
  bool drained = false;
  /// Outlives the table: a later revision keeps what is known of a leaf that stays.
  std::shared_ptr<LeafKnowledge> knowledge;
};

struct ShardEntry {
  std::string name;
  std::vector<LeafIndex> replicas;
};

struct PartitionEntry {
  std::uint64_t firstSnapshot = 0;
  std::vector<ShardEntry> shards;
};

struct ServiceEntry {
  std::string name;
  std::vector<PartitionEntry> partitions;
  Duration defaultDeadline{0};
  Duration maxDeadline{0};
  std::uint32_t maxRows = 0;
  WaitPolicy wait;
  HedgePolicy hedge;
  RetryPolicy retry;

  /// The partition in force at `snapshot`; the oldest one for snapshots before it.
  const PartitionEntry& partitionAt(std::uint64_t snapshot) const;
};

struct ClassEntry {
  std::string name;
  std::uint32_t priority = 0;
  std::uint32_t maxInFlight = 0;
};

class RoutingTable {
 public:
  /// Builds the table of a valid configuration. `former` may be null.
  RoutingTable(const Configuration& configuration, const RoutingTable* former);

  std::uint64_t revision() const { return revision_; }
  const std::vector<LeafEntry>& leaves() const { return leaves_; }
  const std::vector<ServiceEntry>& services() const { return services_; }
  const std::vector<ClassEntry>& classes() const { return classes_; }
  const std::string& zoneName(std::uint16_t zone) const { return zones_[zone]; }

  const LeafEntry& leaf(LeafIndex index) const { return leaves_[index]; }
  std::optional<LeafIndex> findLeaf(std::string_view name) const;
  const ServiceEntry* findService(std::string_view name) const;
  const ClassEntry* findClass(std::string_view name) const;

 private:
  void addLeaves(const Configuration& configuration, const RoutingTable* former);
  void addServices(const Configuration& configuration);
  std::uint16_t zoneNumber(const std::string& zone);

  std::uint64_t revision_;
  std::vector<LeafEntry> leaves_;
  std::vector<ServiceEntry> services_;
  std::vector<ClassEntry> classes_;
  std::vector<std::string> zones_;
};

}  // namespace oakpier
