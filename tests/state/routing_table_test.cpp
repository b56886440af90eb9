#include "state/routing_table.h"

#include "state/configuration_change.h"
#include "support/property.h"

namespace oakpier {

namespace {

constexpr int kNames = 12;

std::string leafName(int number) { return "leaf-" + std::to_string(100 + number); }

/// A random subset of leafs with random slots and addresses, and one service with a shard on each.
Configuration drawConfiguration() {
  Configuration configuration;
  Service& service = *configuration.add_services();
  service.set_name("service");
  Partition& partition = *service.add_partitions();
  for (int number = 0; number < kNames; ++number) {
    if (*rc::gen::arbitrary<bool>()) {
      Leaf& leaf = *configuration.add_leaves();
      leaf.set_name(leafName(number));
      leaf.set_address("10.0.0.1:" + std::to_string(7000 + *rc::gen::inRange(0, 3)));
      leaf.set_zone("zone");
      leaf.set_slots(*rc::gen::inRange(1U, 4U));
      Shard& shard = *partition.add_shards();
      shard.set_name("shard-" + leaf.name());
      shard.add_replicas(leaf.name());
    }
  }
  return configuration;
}

}  // namespace

TEST_CASE("a table updated incrementally equals one built from the complete configuration", "[state]") {
  OAKPIER_PROPERTY("incremental equals complete", [] {
    Configuration configuration;
    auto table = std::make_shared<const RoutingTable>();
    for (std::uint64_t revision = 1; revision < 6; ++revision) {
      ConfigurationChange change = differenceBetween(configuration, drawConfiguration());
      change.set_revision(revision);
      applyChange(change, configuration);
      const auto next = std::make_shared<const RoutingTable>(*table, change);
      const RoutingTable whole(configuration, nullptr);
      RC_ASSERT(next->revision() == whole.revision());
      for (int number = 0; number < kNames; ++number) {
        const LeafEntry* found = next->leafNamed(leafName(number));
        const LeafEntry* expected = whole.leafNamed(leafName(number));
        const LeafEntry* before = table->leafNamed(leafName(number));
        RC_ASSERT((found == nullptr) == (expected == nullptr));
        if (found == nullptr) {
          continue;
        }
        RC_ASSERT(found->slots == expected->slots);
        RC_ASSERT(found->address == expected->address);
        if (before != nullptr && before->address == found->address) {
          RC_ASSERT(before->knowledge == found->knowledge);
          RC_ASSERT(table->findLeaf(leafName(number)) == next->findLeaf(leafName(number)));
        }
      }
      for (const auto& shard : next->findService("service")->partitionAt(1).shards) {
        RC_ASSERT("shard-" + next->leaf(shard.replicas.at(0)).name == shard.name);
      }
      table = next;
    }
  });
}

}  // namespace oakpier
