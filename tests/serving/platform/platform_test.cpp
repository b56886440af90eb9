#include <catch2/catch.hpp>

#include "platform/settings.h"
#include "platform/store_dialect.h"

namespace oakpier::serving::platform {

namespace {

const char* const kSettings = R"({
  "node_name": "edge-a-1", "zone": "a", "ip": "10.1.0.9", "unknown": [1],
  "bind_addresses": {"http": "10.1.0.9:8104", "readiness": "10.1.0.9:8108", "admin": "10.1.0.9:8106"},
  "internal_port_range": [7380, 7395], "seeds": ["10.1.0.9:8106", "10.2.0.21:8106"],
  "bounds": {"grace_s": 6, "drain_ms": 5000, "retry_budget_ratio": 0.2, "budget_slack": 56, "budget_window_s": 10,
             "warmup_tolerance": 1.5, "warmup_slack": 5,
             "quota_window_s": 4, "quota_tolerance": 0.25, "quota_burst": 20},
  "platform": {"address": "10.200.1.7:8102"}})";

const char* const kConfiguration = R"({"version": 7, "routes": [
  {"name": "g", "host": "h.example", "path_prefix": "/a/", "route_type": "idempotent", "timeout_ms": 800,
   "target_latency_ms": 80, "priority": 2, "gather": ["s", "t"], "attempts": 2, "top_k": 5,
   "min_success_ratio": 0.75},
  {"name": "o", "host": "h.example", "path_prefix": "/b/", "route_type": "non_idempotent", "timeout_ms": 900,
   "target_latency_ms": 90, "priority": 1, "service": "s", "attempts": 1},
  {"name": "w", "host": "h.example", "path_prefix": "/c/", "route_type": "idempotent", "timeout_ms": 900,
   "target_latency_ms": 90, "priority": 1, "backends": [{"service": "s", "weight": 1},
   {"service": "t", "weight": 3}], "attempts": 1}],
  "services": [{"name": "s", "max_connections": 26, "warmup_per_s": 20}, {"name": "t", "max_connections": 110}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
             "idle_timeout_ms": 15000}})";

HttpReply okReply(const std::string& body) {
  HttpReply reply;
  reply.status = 200;
  reply.body = body;
  return reply;
}

}  // namespace

TEST_CASE("settings are parsed and unknown fields ignored", "[platform]") {
  const auto settings = std::get<GatewaySettings>(parseSettings(kSettings));
  REQUIRE(settings.callerAddress.text() == "10.1.0.9:8104");
  REQUIRE(settings.peerAddress.text() == "10.1.0.9:7380");
  REQUIRE(settings.seeds[1].text() == "10.2.0.21:7380");
  REQUIRE(settings.stopGrace == std::chrono::seconds(6));
  REQUIRE(settings.retryLimit.slack == 56);
  REQUIRE(settings.warmup.factor == 1.5);
  REQUIRE(settings.warmup.slack == 5);
  REQUIRE(settings.quota.window == std::chrono::seconds(4));
  REQUIRE(settings.quota.tolerance == 0.25);
  REQUIRE(settings.quota.slack == 20);
  REQUIRE(settings.leaveBound == std::chrono::seconds(5));
  REQUIRE_FALSE(settings.keyRevocationBound);
}

TEST_CASE("invalid settings are refused with a reason", "[platform]") {
  REQUIRE(std::get<SettingsError>(parseSettings("{")).text == "the settings are not a JSON object");
  REQUIRE(std::get<SettingsError>(readSettings("")).text.find("--settings") != std::string::npos);
  REQUIRE(std::get<SettingsError>(parseSettings(R"({"node_name": 5})")).text ==
          "setting \"node_name\" cannot be 5");
  std::string without = kSettings;
  without.replace(without.find("\"grace_s\""), 9, "\"other_s\"");
  REQUIRE(std::get<SettingsError>(parseSettings(without)).text == "setting \"bounds.grace_s\" is missing");
  std::string negative = kSettings;
  negative.replace(negative.find("\"drain_ms\": 5000"), 16, "\"drain_ms\": 12");
  REQUIRE(std::get<SettingsError>(parseSettings(negative)).text ==
          "the bound on use after a leave is not within 0.5 and 60 seconds");
  std::string heartbeat = kSettings;
  heartbeat.insert(heartbeat.find("\"bounds\""), "\"heartbeat_ms\": 3, ");
  REQUIRE(std::get<SettingsError>(parseSettings(heartbeat)).text ==
          "the time between writes of a leaf's entry is not within 0.05 and 60 seconds");
  heartbeat.replace(heartbeat.find("\"heartbeat_ms\": 3"), 17, "\"heartbeat_ms\": 900");
  REQUIRE(std::get<GatewaySettings>(parseSettings(heartbeat)).leafHeartbeat ==
          std::chrono::milliseconds(900));
  REQUIRE(std::get<SettingsError>(parseSettings("{}")).text.find("node_name") != std::string::npos);
  std::string wrong = kSettings;
  wrong.replace(wrong.find("10.200.1.7:8102"), 15, "store.example:1");
  REQUIRE(std::get<SettingsError>(parseSettings(wrong)).text.find("store.example:1") != std::string::npos);
}

TEST_CASE("settings out of range are refused, and those in effect are printed with their units",
          "[platform]") {
  std::string wrong = kSettings;
  wrong.replace(wrong.find("\"retry_budget_ratio\": 0.2"), 25, "\"retry_budget_ratio\": 7.0");
  REQUIRE(std::get<SettingsError>(parseSettings(wrong)).text ==
          "the ratio of extra sends is not within 0 and 1");
  std::string negative = kSettings;
  negative.replace(negative.find("\"quota_tolerance\": 0.25"), 23, "\"quota_tolerance\": -0.5");
  REQUIRE(std::get<SettingsError>(parseSettings(negative)).text ==
          "the tolerance of tenants' limits is negative");
  // Without these settings no excess over the limit is allowed.
  std::string without = kSettings;
  for (const std::string name : {"quota_window_s", "quota_tolerance", "quota_burst"}) {
    without.replace(without.find(name), name.size(), std::string(name.size(), 'x'));
  }
  const auto strict = std::get<GatewaySettings>(parseSettings(without));
  REQUIRE(strict.quota.tolerance == 0);
  REQUIRE(strict.quota.slack == 0);
  REQUIRE(allowedInWindow(TenantLimit{2, 3}, strict.quota) == 13);
  const std::string described = describe(std::get<GatewaySettings>(parseSettings(kSettings)));
  REQUIRE(described.find("stop_grace_ms = 6000\n") != std::string::npos);
  REQUIRE(described.find("quota_window_ms = 4000\nquota_tolerance = 0.25\nquota_slack = 20\n") !=
          std::string::npos);
}

TEST_CASE("machine limits are optional settings", "[platform]") {
  const auto withLimits = [](const std::string& limits) {
    std::string text = kSettings;
    return text.replace(text.find("\"unknown\": [1]"), 14, "\"limits\": " + limits);
  };
  const auto limited = std::get<GatewaySettings>(parseSettings(withLimits(
      R"({"cpu_share": 0.25, "cpu_cores": 2, "memory_mb": 260, "max_open_files": 4100, "network_mbps": 24.0})")));
  REQUIRE(limited.machine.processorCores == 0.5);
  REQUIRE(limited.machine.memoryMegabytes == 260);
  REQUIRE(limited.machine.descriptors == 4100);
  REQUIRE(limited.machine.linkMegabits == 24);
  const std::string described = describe(limited);
  REQUIRE(described.find("machine_processor_cores = 0.5\n") != std::string::npos);
  REQUIRE(described.find("machine_link_mbit_per_s = 24\n") != std::string::npos);
  REQUIRE(described.find("capacity_core_hundredths = 24\n") != std::string::npos);

  // Some or all of them may be missing.
  const auto unlimited = std::get<GatewaySettings>(parseSettings(kSettings));
  REQUIRE(capacityOf(unlimited.machine) == 0);
  REQUIRE(describe(unlimited).find("capacity_core_hundredths = not told\n") != std::string::npos);
  const auto partial = std::get<GatewaySettings>(
      parseSettings(withLimits(R"({"cpu_share": 0.12, "network_mbps": null, "memory_mb": 0})")));
  REQUIRE(capacityOf(partial.machine) == 12);
  REQUIRE(describe(partial).find("machine_memory_mb = not told\n") != std::string::npos);
  const auto none = parseSettings(withLimits("null"));
  REQUIRE(capacityOf(std::get<GatewaySettings>(none).machine) == 0);

  const auto errorOf = [&](const std::string& limits) {
    return std::get<SettingsError>(parseSettings(withLimits(limits))).text;
  };
  REQUIRE(errorOf(R"({"cpu_share": -0.5})") ==
          "the processor share of the machine is not within 0 and 256 cores");
  REQUIRE(errorOf(R"({"cpu_share": 1, "cpu_cores": 1000})") ==
          "the processor share of the machine is not within 0 and 256 cores");
  REQUIRE(errorOf(R"({"network_mbps": 1e12})") ==
          "the link of the machine is not within 0 and 10,000,000 Mbit/s");
  REQUIRE(errorOf(R"({"cpu_share": "much"})") == "setting \"limits.cpu_share\" cannot be \"much\"");
}

TEST_CASE("the use of removed keys is bounded only when the settings require it", "[platform]") {
  const auto with = [](const std::string& bounds) {
    std::string text = kSettings;
    text.insert(text.find("\"grace_s\""), bounds);
    return parseSettings(text);
  };
  const auto strict = std::get<GatewaySettings>(
      with(R"("revoke_strict": true, "revoke_ms": 5000, "config_apply_ms": 4000, )"));
  REQUIRE(strict.keyRevocationBound == std::chrono::seconds(5));
  REQUIRE(strict.configurationBound == std::chrono::seconds(4));
  REQUIRE(describe(strict).find("key_revocation_bound_ms = 5000\n") != std::string::npos);
  const auto lax = std::get<GatewaySettings>(with(R"("revoke_strict": false, "revoke_ms": 5000, )"));
  REQUIRE_FALSE(lax.keyRevocationBound);
  REQUIRE(describe(lax).find("key_revocation_bound_ms = none\n") != std::string::npos);
  REQUIRE(std::get<SettingsError>(with(R"("revoke_strict": true, )")).text ==
          "setting \"bounds.revoke_ms\" is missing");
  REQUIRE(std::get<SettingsError>(with(R"("revoke_strict": true, "revoke_ms": 300, )")).text ==
          "the bound on the use of removed keys is not within 4 and 600 seconds");
  REQUIRE(std::get<SettingsError>(with(R"("revoke_strict": "yes", "revoke_ms": 5000, )")).text ==
          "setting \"bounds.revoke_strict\" cannot be \"yes\"");
}

TEST_CASE("configurations, leaf entries and evacuations are parsed", "[platform]") {
  const StoreDialect dialect;
  const auto configuration =
      std::get<ServingConfiguration>(dialect.interpret({"op/config", kConfiguration, 1, false}));
  REQUIRE(configuration.version == 7);
  REQUIRE(validationErrors(configuration).empty());
  const auto& gather = std::get<GatherTarget>(configuration.routes[0].target);
  REQUIRE(gather.shards.size() == 2);
  REQUIRE(gather.topRecords == 5);
  REQUIRE(configuration.routes[0].repeatable);
  REQUIRE_FALSE(configuration.routes[1].repeatable);
  REQUIRE(configuration.services[0].warmupRate == 20);
  REQUIRE(configuration.services[1].warmupRate == 0);
  REQUIRE(std::get<SingleTarget>(configuration.routes[2].target).services[1].weight == 3);
  REQUIRE(configuration.limits.idleTimeout == std::chrono::seconds(15));

  const auto leaf = std::get<LeafEntry>(
      dialect.interpret({"servers/i-1",
                         R"({"service":"s","address":"10.9.0.1:80","zone":"a","capacity":2,"state":"draining",
                             "warmup_left_ms":1500,"version":"v1","sequence":4})",
                         1, false}));
  REQUIRE(leaf.id == "i-1");
  REQUIRE(leaf.draining);
  REQUIRE(leaf.warmupLeft == std::chrono::milliseconds(1500));
  REQUIRE(std::get<LeafRemoval>(dialect.interpret({"servers/i-1", "", 2, true})).id == "i-1");
  REQUIRE(std::get<ZoneEvacuation>(dialect.interpret({"op/evacuate/ba", "{}", 3, false})).zone == "ba");
  REQUIRE(std::get<ZoneEvacuationEnd>(dialect.interpret({"op/evacuate/ba", "", 4, true})).zone == "ba");
  REQUIRE(std::holds_alternative<UnusableRecord>(dialect.interpret({"op/evacuate/", "{}", 3, false})));
  REQUIRE(std::holds_alternative<std::monostate>(dialect.interpret({"other/key", "x", 1, false})));
  REQUIRE(std::get<UnusableRecord>(dialect.interpret({"op/config", "{", 1, false})).isConfiguration);
  REQUIRE_FALSE(
      std::get<UnusableRecord>(dialect.interpret({"op/evacuate/", "{}", 3, false})).isConfiguration);
  REQUIRE(std::holds_alternative<UnusableLeaf>(dialect.interpret({"servers/i", "{}", 1, false})));
}

TEST_CASE("tenants and public routes of a configuration are parsed", "[platform]") {
  const StoreDialect dialect;
  std::string text = kConfiguration;
  text.replace(text.find("\"service\": \"s\", \"attempts\""), 14, "\"public\": true, \"service\": \"s\"");
  text.insert(text.find("\"services\""), R"("tenants": [
    {"name": "amber", "api_keys": ["key-1", "key-2"], "priority": 1, "rate_per_s": 8, "burst": 4.5},
    {"name": "birch", "api_keys": [], "priority": null}, {"name": "cedar"}], )");
  const auto configuration = std::get<ServingConfiguration>(dialect.interpret({"op/config", text, 1, false}));
  REQUIRE(validationErrors(configuration).empty());
  REQUIRE_FALSE(configuration.routes[0].isPublic);
  REQUIRE(configuration.routes[1].isPublic);
  REQUIRE(configuration.tenants.size() == 3);
  const Tenant& amber = configuration.tenants[0];
  REQUIRE(amber.name == "amber");
  REQUIRE(amber.keys == std::vector<std::string>{"key-1", "key-2"});
  REQUIRE(amber.rank == 1U);
  REQUIRE(amber.limit.perSecond == 8);
  REQUIRE(amber.limit.burst == 4.5);
  const Tenant& birch = configuration.tenants[1];
  REQUIRE(birch.keys.empty());
  REQUIRE_FALSE(birch.rank);
  REQUIRE_FALSE(birch.limit.limited());
  REQUIRE(configuration.tenants[2].name == "cedar");
}

TEST_CASE("errors of an invalid configuration do not quote it", "[platform]") {
  const StoreDialect dialect;
  const std::string text = kConfiguration;
  const std::string head = text.substr(0, text.find("\"services\""));
  const std::string rest = text.substr(text.find("\"services\""));
  const auto errorWith = [&](const std::string& tenants) {
    const SourceRecord record{"op/config", head + "\"tenants\": " + tenants + ", " + rest, 1, false};
    return std::get<UnusableRecord>(dialect.interpret(record)).error;
  };
  for (const char* tenants :
       {R"([{"name": "amber", "api_keys": ["secret-1" "secret-2"]}])",
        R"([{"name": "amber", "api_keys": ["secret-1\q"]}])", R"([{"name": "amber", "api_keys": ["secret-1)",
        R"([{"name": "amber", "api_keys": "secret-1"}])",
        R"([{"name": "amber", "api_keys": [{"secret-1": 1}]}])", R"([{"api_keys": ["secret-1"]}])",
        R"([{"name": "amber", "api_keys": secret-1}])", R"(["secret-1"])", R"("secret-1")",
        R"([{"name": "amber", "api_keys": ["secret-1"], "priority": -1}])",
        R"([{"name": "amber", "api_keys": ["secret-1"], "rate_per_s": "secret-1"}])"}) {
    CAPTURE(tenants);
    const std::string problem = errorWith(tenants);
    REQUIRE(problem.find("op/config: ") == 0);
    REQUIRE(problem.size() > 20);
    REQUIRE(problem.find("secret") == std::string::npos);
  }
  // For a number out of range in place of a key, the library's message would quote the number.
  REQUIRE(errorWith(R"([{"name": "amber", "api_keys": [99123e9999]}])").find("99123") == std::string::npos);
  REQUIRE(errorWith(R"([{"name": "amber", "api_keys": ["secret-1"], "priority": -1}])") ==
          "op/config: tenant amber: the priority is not an integer of at least 0");
}

TEST_CASE("calls and answers follow the store's published format", "[platform]") {
  const StoreDialect dialect;
  const SourceCall list{SourceCall::Kind::kList, "a b/c", 0, {}};
  const SourceCall changes{SourceCall::Kind::kChanges, "", 411, std::chrono::milliseconds(1500)};
  REQUIRE(dialect.requestFor(list).target == "/kv-range?path_prefix=&after=a%20b/c");
  REQUIRE(dialect.requestFor(changes).target == "/kv-watch?path_prefix=&after=411&wait_ms=1500");
  const auto page = std::get<SourcePage>(
      dialect
          .decode(
              list,
              okReply(
                  R"({"items":[{"tls_key":"k","value":"bm9kZS0x","revision":4,"created":4,"lease":0}],"more":true,
                  "at":530})"))
          .content);
  REQUIRE(page.more);
  REQUIRE(page.revision == 530);
  REQUIRE(page.records[0].value == "node-1");
  const auto events = std::get<SourcePage>(
      dialect.decode(changes, okReply(R"({"events":[{"tls_key":"k","revision":5,"gone":true}],"at":531})"))
          .content);
  REQUIRE(events.records[0].deleted);
  const auto failureOf = [&](unsigned status) {
    HttpReply reply;
    reply.status = status;
    return std::get<SourceFailure>(dialect.decode(changes, reply).content);
  };
  REQUIRE(failureOf(410) == SourceFailure::kHistoryUnavailable);
  REQUIRE(failureOf(429) == SourceFailure::kThrottled);
  REQUIRE(failureOf(503) == SourceFailure::kUnavailable);
  REQUIRE(failureOf(404) == SourceFailure::kNoAnswer);
  REQUIRE(std::get<SourceFailure>(dialect.decode(changes, okReply("{}")).content) ==
          SourceFailure::kNoAnswer);
}

TEST_CASE("the epoch is read from every answer of the store, also from errors", "[platform]") {
  const StoreDialect dialect;
  const SourceCall changes{SourceCall::Kind::kChanges, "", 411, std::chrono::milliseconds(1500)};
  const auto epochOf = [&](unsigned status, const HeaderList& headers) {
    HttpReply reply;
    reply.status = status;
    reply.headers = headers;
    reply.body = R"({"events":[],"at":531})";
    return dialect.decode(changes, reply).epoch;
  };
  for (const unsigned status : {200U, 404U, 410U, 429U, 503U}) {
    CAPTURE(status);
    const ReportedEpoch epoch = epochOf(status, {{"store-era", "7"}});
    REQUIRE(epoch.kind == ReportedEpoch::Kind::kReported);
    REQUIRE(epoch.epoch == 7);
    REQUIRE(epochOf(status, {}).kind == ReportedEpoch::Kind::kMissing);
  }
  REQUIRE(epochOf(200, {{"Store-Era", "0"}}).kind == ReportedEpoch::Kind::kReported);
  REQUIRE(epochOf(200, {{"Store-Era", "18446744073709551615"}}).epoch == 18446744073709551615U);
  REQUIRE(epochOf(200, {{"Store-Era", "7"}, {"Store-Era", "7"}}).epoch == 7);
  for (const char* malformed : {"", " ", "-1", "+7", "7.0", "7 8", "0x7", "seven", "18446744073709551616"}) {
    CAPTURE(malformed);
    REQUIRE(epochOf(200, {{"Store-Era", malformed}}).kind == ReportedEpoch::Kind::kMalformed);
  }
  REQUIRE(epochOf(200, {{"Store-Era", "7"}, {"Store-Era", "8"}}).kind == ReportedEpoch::Kind::kMalformed);
}

}  // namespace oakpier::serving::platform
