#include "state/serving/tenant_table.h"

#include <catch2/catch.hpp>

#include "state/serving/serving_configuration.h"

namespace oakpier::serving {

namespace {

ServingConfiguration configurationWith(std::vector<Tenant> tenants) {
  ServingConfiguration configuration;
  configuration.version = 1;
  configuration.tenants = std::move(tenants);
  return configuration;
}

/// The validation errors of a configuration with these tenants, one per line.
std::string validationErrorsWith(std::vector<Tenant> tenants) {
  std::string text;
  for (const std::string& problem : validationErrors(configurationWith(std::move(tenants)))) {
    text += problem + "\n";
  }
  return text;
}

}  // namespace

TEST_CASE("a key is found if and only if the configuration contains it", "[serving]") {
  const TenantTable table({{"amber", {"key-1", "key-2"}, 3, {8, 4}}, {"birch", {"key-3"}, {}, {}}});
  REQUIRE(table.findByKey("key-1")->name == "amber");
  REQUIRE(table.findByKey("key-2") == table.findByKey("key-1"));
  REQUIRE(table.findByKey("key-3")->name == "birch");
  REQUIRE(table.keyCount() == 3);
  REQUIRE(table.findByName("amber")->rank == 3U);
  REQUIRE(table.findByName("amber")->limit.burst == 4);
  REQUIRE(table.findByName("cedar") == nullptr);
  for (const char* other : {"", "key-", "key-11", "KEY-1", " key-1", "amber"}) {
    REQUIRE(table.findByKey(other) == nullptr);
  }
  REQUIRE_FALSE(table.empty());
  REQUIRE(TenantTable({}).empty());
}

TEST_CASE("a table keeps no plain-text keys", "[serving]") {
  const TenantTable table({{"amber", {"key-1"}, {}, {}}});
  REQUIRE(table.tenants().front().keys.empty());
  const KeyDigest digest = digestOf("key-1");
  REQUIRE(digest == digestOf("key-1"));
  REQUIRE_FALSE(digest == digestOf("key-2"));
  const std::string bytes(digest.bytes.begin(), digest.bytes.end());
  REQUIRE(bytes.find("key-1") == std::string::npos);
}

TEST_CASE("validation errors of tenants do not disclose keys", "[serving]") {
  REQUIRE(
      validationErrorsWith({{"amber", {"secret-1", "secret-2"}, {}, {1, 2}}, {"birch", {}, {}, {}}}).empty());
  REQUIRE(
      validationErrorsWith({{"amber", {"secret-1"}, {}, {}}, {"birch", {"secret-2", "secret-1"}, {}, {}}}) ==
      "tenant birch: its key number 2 is named elsewhere as well\n");
  REQUIRE(validationErrorsWith({{"amber", {"secret-1", "secret-1"}, {}, {}}}) ==
          "tenant amber: its key number 2 is named elsewhere as well\n");
  REQUIRE(validationErrorsWith({{"amber", {"secret-1", ""}, {}, {}}}) ==
          "tenant amber: its key number 2 is empty\n");
  REQUIRE(validationErrorsWith({{"amber", {"secret-1"}, {}, {}}, {"amber", {"secret-2"}, {}, {}}}) ==
          "tenant amber: another tenant has its name\n");
  REQUIRE(validationErrorsWith({{"", {"secret-1"}, {}, {}}}) == "a tenant has no name\n");
  REQUIRE(validationErrorsWith({{"amber", {"secret-1"}, {}, {-1, 0}}}) ==
          "tenant amber: the rate is negative\n");
  REQUIRE(validationErrorsWith({{"amber", {"secret-1"}, {}, {1, -2}}}) ==
          "tenant amber: the burst is negative\n");
}

TEST_CASE("a tenant's name must be a valid header value", "[serving]") {
  for (const std::string name : {"a\r\nX-Other: 1", "a\n", " a", "a ", "a\tb", "a\x7f", "caf\xc3\xa9"}) {
    REQUIRE(validationErrorsWith({{name, {"secret-1"}, {}, {}}}) ==
            "a tenant's name cannot be the value of a header\n");
  }
  REQUIRE(validationErrorsWith({{"a b", {"secret-1"}, {}, {}}}).empty());
}

}  // namespace oakpier::serving
