#include "protocol/configuration_check.h"

#include <set>
#include <string>

#include "protocol/rpc_codec.h"
#include "state/endpoint.h"

namespace oakpier {

namespace {

constexpr std::uint32_t kMaxDeadlineMs = 600'000;
constexpr std::uint32_t kMaxRows = 100'000;
constexpr std::uint32_t kMaxSlots = 10'000;
constexpr std::size_t kMaxNameLength = 128;

/// Collects the validation errors of one configuration.
class Checker {
 public:
  explicit Checker(const Configuration& configuration) : configuration_(configuration) {}

  std::vector<Error> run() {
    checkClasses();
    checkLeaves();
    checkServices();
    return std::move(errors_);
  }

 private:
  void addError(const std::string& field, const std::string& value, const std::string& allowed) {
    errors_.push_back(
        makeError(ERROR_INVALID_CONFIGURATION, field + " is '" + value + "', allowed: " + allowed, field));
  }

  void checkRange(const std::string& field, std::uint64_t value, std::uint64_t low, std::uint64_t high) {
    if (value < low || value > high) {
      addError(field, std::to_string(value), std::to_string(low) + " to " + std::to_string(high));
    }
  }

  void checkFraction(const std::string& field, double value) {
    if (!(value >= 0 && value <= 1)) {
      addError(field, std::to_string(value), "0 to 1");
    }
  }

  /// Requires a non-empty name of at most kMaxNameLength characters that is not yet in `seen`.
  void checkName(const std::string& field, const std::string& name, std::set<std::string>& seen) {
    if (name.empty() || name.size() > kMaxNameLength) {
      addError(field, name, "1 to " + std::to_string(kMaxNameLength) + " characters");
    } else if (!seen.insert(name).second) {
      addError(field, name, "a name not used before");
    }
  }

  static std::string elementPath(const std::string& list, int position) {
    return list + "[" + std::to_string(position) + "]";
  }

  void checkClasses() {
    std::set<std::string> names;
    for (int position = 0; position < configuration_.classes_size(); ++position) {
      const auto& declared = configuration_.classes(position);
      const std::string field = elementPath("classes", position);
      checkName(field + ".name", declared.name(), names);
      checkRange(field + ".max_in_flight", declared.max_in_flight(), 1, 1'000'000);
      checkRange(field + ".priority", declared.priority(), 0, 255);
    }
  }

  void checkLeaves() {
    std::set<std::string> addresses;
    for (int position = 0; position < configuration_.leaves_size(); ++position) {
      const auto& declared = configuration_.leaves(position);
      const std::string field = elementPath("leaves", position);
      checkName(field + ".name", declared.name(), leafNames_);
      if (!Endpoint::parse(declared.address())) {
        addError(field + ".address", declared.address(), "an IP number and a port, like 10.0.0.1:7001");
      } else if (!addresses.insert(declared.address()).second) {
        addError(field + ".address", declared.address(), "an address no other leaf has");
      }
      if (declared.zone().empty()) {
        addError(field + ".zone", declared.zone(), "the name of a zone");
      }
      checkRange(field + ".slots", declared.slots(), 1, kMaxSlots);
      checkRange(field + ".max_connections", declared.max_connections(), 1, kMaxSlots);
    }
  }

  void checkServices() {
    std::set<std::string> names;
    for (int position = 0; position < configuration_.services_size(); ++position) {
      const auto& declared = configuration_.services(position);
      const std::string field = elementPath("services", position);
      checkName(field + ".name", declared.name(), names);
      checkRange(field + ".max_deadline_ms", declared.max_deadline_ms(), 1, kMaxDeadlineMs);
      checkRange(field + ".default_deadline_ms", declared.default_deadline_ms(), 1,
                 std::max(1U, declared.max_deadline_ms()));
      checkRange(field + ".max_rows", declared.max_rows(), 1, kMaxRows);
      checkPolicies(field, declared);
      checkPartitions(field, declared);
    }
  }

  void checkPolicies(const std::string& field, const oakpier::Service& declared) {
    checkFraction(field + ".wait.minimum_coverage", declared.wait().minimum_coverage());
    checkRange(field + ".hedge.budget_percent", declared.hedge().budget_percent(), 0, 100);
    checkRange(field + ".retry.budget_percent", declared.retry().budget_percent(), 0, 100);
    checkRange(field + ".retry.max_attempts", declared.retry().max_attempts(), 1, 10);
    const double quantile = declared.hedge().delay_quantile();
    if (declared.hedge().enabled() && !(quantile >= 0.5 && quantile <= 0.999)) {
      addError(field + ".hedge.delay_quantile", std::to_string(quantile), "0.5 to 0.999");
    }
  }

  void checkPartitions(const std::string& serviceField, const oakpier::Service& declared) {
    if (declared.partitions().empty()) {
      addError(serviceField + ".partitions", "", "at least one partition");
    }
    for (int position = 0; position < declared.partitions_size(); ++position) {
      const auto& partition = declared.partitions(position);
      const std::string field = serviceField + "." + elementPath("partitions", position);
      if (position > 0 && partition.first_snapshot() <= declared.partitions(position - 1).first_snapshot()) {
        addError(field + ".first_snapshot", std::to_string(partition.first_snapshot()),
                 "more than that of the partition before");
      }
      if (partition.shards().empty()) {
        addError(field + ".shards", "", "at least one shard");
      }
      checkShards(field, partition);
    }
  }

  void checkShards(const std::string& partitionField, const Partition& partition) {
    std::set<std::string> names;
    for (int position = 0; position < partition.shards_size(); ++position) {
      const auto& shard = partition.shards(position);
      const std::string field = partitionField + "." + elementPath("shards", position);
      checkName(field + ".name", shard.name(), names);
      if (shard.replicas().empty()) {
        addError(field + ".replicas", "", "at least one leaf");
      }
      std::set<std::string> replicas;
      for (const auto& replica : shard.replicas()) {
        if (leafNames_.count(replica) == 0) {
          addError(field + ".replicas", replica, "the name of a declared leaf");
        } else if (!replicas.insert(replica).second) {
          addError(field + ".replicas", replica, "each leaf once");
        }
      }
    }
  }

  const Configuration& configuration_;
  std::set<std::string> leafNames_;
  std::vector<Error> errors_;
};

}  // namespace

std::vector<Error> checkConfiguration(const Configuration& configuration) {
  return Checker(configuration).run();
}

}  // namespace oakpier
