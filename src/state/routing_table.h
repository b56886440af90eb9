#pragma once

/// The accepted configuration, indexed for request routing. Immutable; all threads share one table through
/// `Published`.

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
  /// Shared with later revisions of the table while the leaf keeps its name and address.
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

  /// The partition in effect at `snapshot`; the oldest one for snapshots before it.
  const PartitionEntry& partitionAt(std::uint64_t snapshot) const;
};

struct ClassEntry {
  std::string name;
  std::uint32_t priority = 0;
  std::uint32_t maxInFlight = 0;
};

/// A leaf keeps its index as long as it is declared. Versions share the chunks and buckets that a change does
/// not modify (copy-on-write).
class RoutingTable {
 public:
  /// An empty table of revision 0.
  RoutingTable() : buckets_(kBuckets) {}
  /// Builds from a valid, complete configuration. Shares the knowledge of leafs whose name and address are
  /// unchanged since `former`, which may be null.
  RoutingTable(const Configuration& configuration, const RoutingTable* former);
  /// Applies `change` to `former`. Copies only the chunks and buckets that the change modifies.
  RoutingTable(const RoutingTable& former, const ConfigurationChange& change);

  std::uint64_t revision() const { return revision_; }
  /// Upper bound of leaf indexes (exclusive); some may be unused, see `declared`.
  std::size_t indexCount() const { return indexCount_; }
  bool declared(LeafIndex index) const { return !leaf(index).name.empty(); }
  const LeafEntry& leaf(LeafIndex index) const {
    return (*chunks_[index / kChunkLeaves])[index % kChunkLeaves];
  }
  const std::string& zoneName(std::uint16_t zone) const { return zones_[zone]; }
  /// Leafs added, modified or removed by the change that produced this version; all leafs if it was built
  /// from a complete configuration.
  const std::vector<LeafIndex>& touched() const { return touched_; }

  std::optional<LeafIndex> findLeaf(std::string_view name) const;
  /// Null if not found.
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
  /// Chunks and buckets already copied for this version; used only during construction.
  std::unordered_map<std::size_t, std::shared_ptr<Chunk>> ownChunks_;
  std::unordered_map<std::size_t, std::shared_ptr<Bucket>> ownBuckets_;
};

}  // namespace oakpier
