#include "protocol/configuration_check.h"

#include <catch2/catch.hpp>
#include <functional>

namespace oakpier {

namespace {

Configuration validConfiguration() {
  Configuration configuration;
  PriorityClass& priorityClass = *configuration.add_classes();
  priorityClass.set_name("gold");
  priorityClass.set_max_in_flight(10);
  Leaf& leaf = *configuration.add_leaves();
  leaf.set_name("leaf");
  leaf.set_address("10.0.0.1:7001");
  leaf.set_zone("zone");
  leaf.set_slots(2);
  leaf.set_max_connections(70);
  Service& service = *configuration.add_services();
  service.set_name("service");
  service.set_default_deadline_ms(100);
  service.set_max_deadline_ms(1000);
  service.set_max_rows(10);
  service.mutable_retry()->set_max_attempts(2);
  Partition& partition = *service.add_partitions();
  partition.set_first_snapshot(1);
  Shard& shard = *partition.add_shards();
  shard.set_name("shard");
  shard.add_replicas("leaf");
  return configuration;
}

struct Fault {
  const char* field;
  std::function<void(Configuration&)> make;
};

}  // namespace

TEST_CASE("a valid configuration has no validation errors", "[protocol]") {
  REQUIRE(checkConfiguration(validConfiguration()).empty());
}

TEST_CASE("each validation error names its field and the allowed values", "[protocol]") {
  const std::vector<Fault> faults{
      {"classes[0].max_in_flight", [](Configuration& c) { c.mutable_classes(0)->set_max_in_flight(0); }},
      {"classes[1].name", [](Configuration& c) { *c.add_classes() = c.classes(0); }},
      {"leaves[0].address", [](Configuration& c) { c.mutable_leaves(0)->set_address("host:80"); }},
      {"leaves[0].zone", [](Configuration& c) { c.mutable_leaves(0)->set_zone(""); }},
      {"leaves[0].slots", [](Configuration& c) { c.mutable_leaves(0)->set_slots(0); }},
      {"services[0].default_deadline_ms",
       [](Configuration& c) { c.mutable_services(0)->set_default_deadline_ms(2000); }},
      {"services[0].wait.minimum_coverage",
       [](Configuration& c) { c.mutable_services(0)->mutable_wait()->set_minimum_coverage(1.5); }},
      {"services[0].retry.max_attempts",
       [](Configuration& c) { c.mutable_services(0)->mutable_retry()->set_max_attempts(0); }},
      {"services[0].hedge.delay_quantile",
       [](Configuration& c) { c.mutable_services(0)->mutable_hedge()->set_enabled(true); }},
      {"services[0].partitions", [](Configuration& c) { c.mutable_services(0)->clear_partitions(); }},
      {"services[0].partitions[0].shards[0].replicas",
       [](Configuration& c) {
         c.mutable_services(0)->mutable_partitions(0)->mutable_shards(0)->set_replicas(0, "other");
       }},
      {"services[0].partitions[1].first_snapshot",
       [](Configuration& c) { *c.mutable_services(0)->add_partitions() = c.services(0).partitions(0); }},
  };
  for (const auto& fault : faults) {
    Configuration configuration = validConfiguration();
    fault.make(configuration);
    const auto errors = checkConfiguration(configuration);
    CAPTURE(fault.field);
    REQUIRE(errors.size() == 1);
    REQUIRE(errors[0].field() == fault.field);
    REQUIRE(errors[0].code() == ERROR_INVALID_CONFIGURATION);
    REQUIRE(errors[0].message().find("allowed: ") != std::string::npos);
  }
}

}  // namespace oakpier
