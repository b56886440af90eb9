#include "state/serving/serving_configuration.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace oakpier::serving {

namespace {

/// True for printable ASCII without leading or trailing spaces, which reaches leafs unchanged and cannot
/// inject header lines.
bool canBeHeaderValue(const std::string& text) {
  const bool printable = std::all_of(text.begin(), text.end(),
                                     [](char character) { return character >= ' ' && character <= '~'; });
  return printable && (text.empty() || (text.front() != ' ' && text.back() != ' '));
}

std::string loggableName(const std::string& name) {
  return canBeHeaderValue(name) ? name : std::string("<invalid name>");
}

class ConfigurationValidator {
 public:
  explicit ConfigurationValidator(const ServingConfiguration& configuration) : configuration_(configuration) {
    for (const ServiceDefinition& service : configuration.services) {
      services_.insert(service.name);
    }
  }

  std::vector<std::string> run() {
    for (const ServiceDefinition& service : configuration_.services) {
      require(service.maximumConnections > 0,
              "service " + service.name + ": the maximum number of connections is 0");
      require(service.warmupRate >= 0, "service " + service.name + ": the warm-up rate is negative");
    }
    for (const Route& route : configuration_.routes) {
      checkRoute(route);
    }
    for (const Tenant& tenant : configuration_.tenants) {
      checkTenant(tenant);
    }
    require(configuration_.limits.headerBytes > 0, "limits: the maximum header size is 0");
    require(configuration_.limits.headerTimeout.count() > 0, "limits: the header timeout is 0");
    require(configuration_.limits.idleTimeout.count() > 0, "limits: the idle timeout is 0");
    return std::move(errors_);
  }

 private:
  void require(bool condition, const std::string& error) {
    if (!condition) {
      errors_.push_back(error);
    }
  }

  void checkRoute(const Route& route) {
    const std::string label = "route " + route.name + ": ";
    const std::string& prefix = route.pathPrefix;
    const bool slashes = !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
    require(slashes, label + "the path prefix does not start and end with a slash");
    require(!route.host.empty(), label + "the host is empty");
    require(routeKeys_.insert(route.host + prefix).second,
            label + "another route has the same host and path prefix");
    require(route.timeout.count() > 0, label + "the timeout is 0");
    require(route.targetLatency.count() > 0, label + "the target latency is 0");
    require(route.attempts > 0, label + "the maximum number of attempts is 0");
    if (const auto* gather = std::get_if<GatherTarget>(&route.target)) {
      checkGather(route, *gather, label);
    } else {
      checkSingle(std::get<SingleTarget>(route.target), label);
    }
  }

  void checkSingle(const SingleTarget& target, const std::string& label) {
    require(!target.services.empty(), label + "no service is given");
    double total = 0;
    for (const WeightedService& weighted : target.services) {
      checkService(weighted.service, label);
      require(weighted.weight >= 0, label + "a weight is negative");
      total += weighted.weight;
    }
    require(total > 0, label + "all weights are 0");
  }

  void checkGather(const Route& route, const GatherTarget& target, const std::string& label) {
    require(route.repeatable, label + "a gather route must be repeatable");
    require(!target.shards.empty(), label + "no shard is given");
    require(target.topRecords > 0, label + "the number of records is 0");
    const bool shareInBounds = target.minimumShardShare >= 0 && target.minimumShardShare <= 1;
    require(shareInBounds, label + "the minimum fraction of the shards is not between 0 and 1");
    std::set<std::string> seen;
    for (const std::string& shard : target.shards) {
      checkService(shard, label);
      std::string duplicate = label;
      duplicate.append("shard ").append(shard).append(" is listed twice");
      require(seen.insert(shard).second, duplicate);
    }
  }

  void checkService(const std::string& service, const std::string& label) {
    require(services_.count(service) != 0, label + "service " + service + " is not defined");
  }

  /// Error messages are logged, so they identify a key by its number and never contain it.
  void checkTenant(const Tenant& tenant) {
    require(!tenant.name.empty(), "a tenant has no name");
    require(canBeHeaderValue(tenant.name), "a tenant's name cannot be the value of a header");
    const std::string label = "tenant " + loggableName(tenant.name) + ": ";
    require(tenants_.insert(tenant.name).second, label + "another tenant has its name");
    require(tenant.limit.perSecond >= 0, label + "the rate is negative");
    require(tenant.limit.burst >= 0, label + "the burst is negative");
    for (std::size_t index = 0; index < tenant.keys.size(); ++index) {
      const std::string number = label + "its key number " + std::to_string(index + 1);
      require(!tenant.keys[index].empty(), number + " is empty");
      require(tenantKeys_.insert(tenant.keys[index]).second, number + " is named elsewhere as well");
    }
  }

  const ServingConfiguration& configuration_;
  std::set<std::string> services_;
  /// The host and path prefix of each route, concatenated.
  std::set<std::string> routeKeys_;
  std::set<std::string> tenants_;
  std::set<std::string_view> tenantKeys_;
  std::vector<std::string> errors_;
};

}  // namespace

std::vector<std::string> validationErrors(const ServingConfiguration& configuration) {
  return ConfigurationValidator(configuration).run();
}

}  // namespace oakpier::serving
