#pragma once

/// The accepted configuration in the form that requests read: indexes in place of names, policies at hand.
/// Immutable; one table is shared by all threads through `Published`.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
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

/// A leaf keeps its index as long as it is declared; versions share all parts that a change does not touch.
class RoutingTable {
 public:
  /// Of nothing; revision 0.
  RoutingTable() : buckets_(kBuckets) {}
  /// Of a valid whole configuration. Keeps what `former` knows of leafs that stay; `former` may be null.
  RoutingTable(const Configuration& configuration, const RoutingTable* former);
  /// The next version after `former`. Costs by the size of the change, not of the table.
  RoutingTable(const RoutingTable& former, const ConfigurationChange& change);

  std::uint64_t revision() const { return revision_; }
  /// Indexes run from 0 to this; some may stand for no leaf any more.
  std::size_t indexCount() const { return indexCount_; }
  bool declared(LeafIndex index) const { return !leaf(index).name.empty(); }
  const LeafEntry& leaf(LeafIndex index) const {
    return (*chunks_[index / kChunkLeaves])[index % kChunkLeaves];
  }
  const std::string& zoneName(std::uint16_t zone) const { return zones_[zone]; }
  /// Leafs that came, changed or went with the change that made this version; all of them for a whole one.
  const std::vector<LeafIndex>& touched() const { return touched_; }

  std::optional<LeafIndex> findLeaf(std::string_view name) const;
  /// Null when there is none.
  const LeafEntry* leafNamed(std::string_view name) const;
  const ServiceEntry* findService(std::string_view name) const;
  const ClassEntry* findClass(std::string_view name) const;

 private:
  static constexpr std::size_t kChunkLeaves = 256;
  static constexpr std::size_t kBuckets = 1024;

  using Chunk = std::vector<LeafEntry>;
  /// Indexes of the leafs whose names hash to one bucket.
  using Bucket = std::vector<LeafIndex>;

  void apply(const ConfigurationChange& change, const RoutingTable* former);
  void putLeaf(const Leaf& declared, const RoutingTable* former);
  void removeLeaf(const std::string& name);
  LeafIndex newIndex(const std::string& name);
  LeafEntry& writableLeaf(LeafIndex index);
  Bucket& writableBucket(std::string_view name);
  std::shared_ptr<const ServiceEntry> serviceOf(const Service& declared) const;
  std::uint16_t zoneNumber(const std::string& zone);

  std::uint64_t revision_ = 0;
  std::size_t indexCount_ = 0;
  std::vector<std::shared_ptr<const Chunk>> chunks_;
  std::vector<std::shared_ptr<const Bucket>> buckets_;
  std::vector<LeafIndex> free_;
  std::vector<LeafIndex> touched_;
  std::vector<std::shared_ptr<const ServiceEntry>> services_;
  std::vector<ClassEntry> classes_;
  std::vector<std::string> zones_;
  /// Parts that this version alone holds, while it is built.
  std::unordered_map<std::size_t, std::shared_ptr<Chunk>> ownChunks_;
  std::unordered_map<std::size_t, std::shared_ptr<Bucket>> ownBuckets_;
};

}  // namespace oakpier
