#include "state/routing_table.h"

#include <algorithm>

#include "state/configuration_change.h"
#include "state/erase.h"
#include "state/hashing.h"

namespace oakpier {

namespace {

const std::string& nameOf(const std::shared_ptr<const ServiceEntry>& service) { return service->name; }
const std::string& nameOf(const ClassEntry& entry) { return entry.name; }

template <typename Items>
auto positionOf(Items& items, std::string_view name) {
  return std::lower_bound(items.begin(), items.end(), name,
                          [](const auto& item, std::string_view wanted) { return nameOf(item) < wanted; });
}

/// Inserts into items sorted by name, or replaces the one of the same name.
template <typename Items, typename Item>
void putByName(Items& items, Item item) {
  const auto position = positionOf(items, nameOf(item));
  if (position != items.end() && nameOf(*position) == nameOf(item)) {
    *position = std::move(item);
  } else {
    items.insert(position, std::move(item));
  }
}

template <typename Items>
void removeByName(Items& items, std::string_view name) {
  const auto position = positionOf(items, name);
  if (position != items.end() && nameOf(*position) == name) {
    items.erase(position);
  }
}

}  // namespace

const PartitionEntry& ServiceEntry::partitionAt(std::uint64_t snapshot) const {
  const PartitionEntry* current = &partitions.front();
  for (const auto& partition : partitions) {
    if (partition.firstSnapshot <= snapshot) {
      current = &partition;
    }
  }
  return *current;
}

RoutingTable::RoutingTable(const Configuration& configuration, const RoutingTable* former)
    : buckets_(kBuckets) {
  ConfigurationChange change = differenceBetween(Configuration(), configuration);
  change.set_revision(configuration.revision());
  apply(change, former);
}

RoutingTable::RoutingTable(const RoutingTable& former, const ConfigurationChange& change)
    : indexCount_(former.indexCount_),
      chunks_(former.chunks_),
      buckets_(former.buckets_),
      free_(former.free_),
      services_(former.services_),
      classes_(former.classes_),
      zones_(former.zones_) {
  apply(change, &former);
}

/// Adds leafs before services, since shards refer to leafs by index.
void RoutingTable::apply(const ConfigurationChange& change, const RoutingTable* former) {
  revision_ = change.revision();
  for (const auto& leaf : change.put_leaves()) {
    putLeaf(leaf, former);
  }
  for (const auto& service : change.put_services()) {
    putByName(services_, serviceOf(service));
  }
  for (const auto& declared : change.put_classes()) {
    putByName(classes_, ClassEntry{declared.name(), declared.priority(), declared.max_in_flight()});
  }
  for (const auto& name : change.removed_services()) {
    removeByName(services_, name);
  }
  for (const auto& name : change.removed_classes()) {
    removeByName(classes_, name);
  }
  for (const auto& name : change.removed_leaves()) {
    removeLeaf(name);
  }
  ownChunks_ = {};
  ownBuckets_ = {};
}

void RoutingTable::putLeaf(const Leaf& declared, const RoutingTable* former) {
  const auto known = findLeaf(declared.name());
  const LeafIndex index = known ? *known : newIndex(declared.name());
  LeafEntry entry;
  entry.name = declared.name();
  entry.address = Endpoint::parse(declared.address()).value_or(Endpoint());
  entry.zone = zoneNumber(declared.zone());
  entry.slots = static_cast<std::uint16_t>(declared.slots());
  entry.maxConnections = static_cast<std::uint16_t>(declared.max_connections());
  entry.drained = declared.drained();
  const LeafEntry* before = former == nullptr ? nullptr : former->leafNamed(entry.name);
  const bool sameAddress = before != nullptr && before->address == entry.address;
  entry.knowledge = sameAddress ? before->knowledge : std::make_shared<LeafKnowledge>();
  writableLeaf(index) = std::move(entry);
  touched_.push_back(index);
}

void RoutingTable::removeLeaf(const std::string& name) {
  const auto index = findLeaf(name);
  if (!index) {
    return;
  }
  eraseValue(writableBucket(name), *index);
  writableLeaf(*index) = LeafEntry();
  free_.push_back(*index);
  touched_.push_back(*index);
}

LeafIndex RoutingTable::newIndex(const std::string& name) {
  LeafIndex index = 0;
  if (!free_.empty()) {
    index = free_.back();
    free_.pop_back();
  } else {
    index = static_cast<LeafIndex>(indexCount_++);
    if (index / kChunkLeaves == chunks_.size()) {
      chunks_.push_back(std::make_shared<const Chunk>(kChunkLeaves));
    }
  }
  writableBucket(name).push_back(index);
  return index;
}

/// Copies the chunk on first write, since other versions may share it.
LeafEntry& RoutingTable::writableLeaf(LeafIndex index) {
  const std::size_t chunk = index / kChunkLeaves;
  std::shared_ptr<Chunk>& own = ownChunks_[chunk];
  if (own == nullptr) {
    own = std::make_shared<Chunk>(*chunks_[chunk]);
    chunks_[chunk] = own;
  }
  return (*own)[index % kChunkLeaves];
}

RoutingTable::Bucket& RoutingTable::writableBucket(std::string_view name) {
  const std::size_t bucket = hashText(name) % kBuckets;
  std::shared_ptr<Bucket>& own = ownBuckets_[bucket];
  if (own == nullptr) {
    own = buckets_[bucket] == nullptr ? std::make_shared<Bucket>()
                                      : std::make_shared<Bucket>(*buckets_[bucket]);
    buckets_[bucket] = own;
  }
  return *own;
}

std::shared_ptr<const ServiceEntry> RoutingTable::serviceOf(const Service& declared) const {
  auto service = std::make_shared<ServiceEntry>();
  service->name = declared.name();
  service->defaultDeadline = fromMilliseconds(declared.default_deadline_ms());
  service->maxDeadline = fromMilliseconds(declared.max_deadline_ms());
  service->maxRows = declared.max_rows();
  service->wait = declared.wait();
  service->hedge = declared.hedge();
  service->retry = declared.retry();
  for (const auto& declaredPartition : declared.partitions()) {
    PartitionEntry partition;
    partition.firstSnapshot = declaredPartition.first_snapshot();
    for (const auto& declaredShard : declaredPartition.shards()) {
      ShardEntry shard{declaredShard.name(), {}};
      for (const auto& replica : declaredShard.replicas()) {
        if (const auto index = findLeaf(replica)) {
          shard.replicas.push_back(*index);
        }
      }
      partition.shards.push_back(std::move(shard));
    }
    service->partitions.push_back(std::move(partition));
  }
  return service;
}

std::uint16_t RoutingTable::zoneNumber(const std::string& zone) {
  const auto found = std::find(zones_.begin(), zones_.end(), zone);
  if (found == zones_.end()) {
    zones_.push_back(zone);
    return static_cast<std::uint16_t>(zones_.size() - 1);
  }
  return static_cast<std::uint16_t>(found - zones_.begin());
}

std::optional<LeafIndex> RoutingTable::findLeaf(std::string_view name) const {
  const auto& bucket = buckets_[hashText(name) % kBuckets];
  if (bucket != nullptr) {
    for (const LeafIndex index : *bucket) {
      if (leaf(index).name == name) {
        return index;
      }
    }
  }
  return std::nullopt;
}

const LeafEntry* RoutingTable::leafNamed(std::string_view name) const {
  const auto index = findLeaf(name);
  return index ? &leaf(*index) : nullptr;
}

const ServiceEntry* RoutingTable::findService(std::string_view name) const {
  const auto position = positionOf(services_, name);
  return position != services_.end() && nameOf(*position) == name ? position->get() : nullptr;
}

const ClassEntry* RoutingTable::findClass(std::string_view name) const {
  const auto position = positionOf(classes_, name);
  return position != classes_.end() && nameOf(*position) == name ? &*position : nullptr;
}

}  // namespace oakpier
