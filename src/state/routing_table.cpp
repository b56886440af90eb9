#include "state/routing_table.h"

#include <algorithm>

namespace oakpier {

namespace {

/// Items of a table are sorted by name.
template <typename Item>
const Item* findByName(const std::vector<Item>& items, std::string_view name) {
  const auto found = std::lower_bound(items.begin(), items.end(), name,
                                      [](const Item& item, std::string_view key) { return item.name < key; });
  return found != items.end() && found->name == name ? &*found : nullptr;
}

template <typename Item>
void sortByName(std::vector<Item>& items) {
  std::sort(items.begin(), items.end(),
            [](const Item& left, const Item& right) { return left.name < right.name; });
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
    : revision_(configuration.revision()) {
  addLeaves(configuration, former);
  addServices(configuration);
  for (const auto& declared : configuration.classes()) {
    classes_.push_back(ClassEntry{declared.name(), declared.priority(), declared.max_in_flight()});
  }
  sortByName(classes_);
}

void RoutingTable::addLeaves(const Configuration& configuration, const RoutingTable* former) {
  leaves_.reserve(static_cast<std::size_t>(configuration.leaves_size()));
  for (const auto& declared : configuration.leaves()) {
    LeafEntry entry;
    entry.name = declared.name();
    entry.address = Endpoint::parse(declared.address()).value_or(Endpoint());
    entry.zone = zoneNumber(declared.zone());
    entry.slots = static_cast<std::uint16_t>(declared.slots());
    entry.maxConnections = static_cast<std::uint16_t>(declared.max_connections());
    entry.drained = declared.drained();
    const auto kept = former == nullptr ? std::nullopt : former->findLeaf(entry.name);
    const bool sameProcess = kept && former->leaf(*kept).address == entry.address;
    entry.knowledge = sameProcess ? former->leaf(*kept).knowledge : std::make_shared<LeafKnowledge>();
    leaves_.push_back(std::move(entry));
  }
  sortByName(leaves_);
}

void RoutingTable::addServices(const Configuration& configuration) {
  for (const auto& declared : configuration.services()) {
    ServiceEntry service;
    service.name = declared.name();
    service.defaultDeadline = fromMilliseconds(declared.default_deadline_ms());
    service.maxDeadline = fromMilliseconds(declared.max_deadline_ms());
    service.maxRows = declared.max_rows();
    service.wait = declared.wait();
    service.hedge = declared.hedge();
    service.retry = declared.retry();
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
      service.partitions.push_back(std::move(partition));
    }
    services_.push_back(std::move(service));
  }
  sortByName(services_);
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
  const LeafEntry* entry = findByName(leaves_, name);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return static_cast<LeafIndex>(entry - leaves_.data());
}

const ServiceEntry* RoutingTable::findService(std::string_view name) const {
  return findByName(services_, name);
}

const ClassEntry* RoutingTable::findClass(std::string_view name) const { return findByName(classes_, name); }

}  // namespace oakpier
