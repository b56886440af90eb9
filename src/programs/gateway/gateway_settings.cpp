#include "programs/gateway/gateway_settings.h"

#include <sstream>

namespace oakpier::serving {

namespace {

constexpr Duration kMinGrace = std::chrono::seconds(1);
constexpr Duration kMaxGrace = std::chrono::minutes(10);
constexpr Duration kMinLeaveBound = std::chrono::milliseconds(500);
constexpr Duration kMaxLeaveBound = std::chrono::minutes(1);
constexpr Duration kMinHeartbeat = std::chrono::milliseconds(50);
constexpr Duration kMaxHeartbeat = std::chrono::minutes(1);
/// A reader's proof reaches an age of 2.25 s between two answers of the source; daemons deep in its
/// distribution tree are half a second behind, and the failure of a reader adds one second.
constexpr Duration kMinKeyBound = std::chrono::seconds(4);
constexpr Duration kMaxKeyBound = std::chrono::minutes(10);
constexpr Duration kMinConfigurationBound = std::chrono::milliseconds(500);
constexpr Duration kMinWindow = std::chrono::seconds(1);

template <typename Value>
std::string formatLimit(Value value) {
  std::ostringstream text;
  text << value;
  return value == 0 ? "not told" : text.str();
}

}  // namespace

std::string describe(const GatewaySettings& settings) {
  std::ostringstream text;
  text << "name = " << settings.name << "\nzone = " << settings.zone
       << "\ncaller_address = " << settings.callerAddress.text()
       << "\nstatus_address = " << settings.readinessAddress.text()
       << "\npeer_address = " << settings.peerAddress.text() << "\nseeds =";
  for (const Endpoint& seed : settings.seeds) {
    text << " " << seed.text();
  }
  text << "\nsource_address = " << settings.sourceAddress.text()
       << "\nstop_grace_ms = " << toMilliseconds(settings.stopGrace)
       << "\nleave_bound_ms = " << toMilliseconds(settings.leaveBound)
       << "\nleaf_heartbeat_ms = " << toMilliseconds(settings.leafHeartbeat)
       << "\nconfiguration_bound_ms = " << toMilliseconds(settings.configurationBound)
       << "\nkey_revocation_bound_ms = "
       << (settings.keyRevocationBound ? std::to_string(toMilliseconds(*settings.keyRevocationBound))
                                       : "none")
       << "\nextra_send_ratio = " << settings.retryLimit.ratio
       << "\nextra_send_slack = " << settings.retryLimit.slack
       << "\nextra_send_window_ms = " << toMilliseconds(settings.retryLimit.window)
       << "\nwarmup_factor = " << settings.warmup.factor << "\nwarmup_slack_per_s = " << settings.warmup.slack
       << "\nmachine_processor_cores = " << formatLimit(settings.machine.processorCores)
       << "\nmachine_memory_mb = " << formatLimit(settings.machine.memoryMegabytes)
       << "\nmachine_descriptors = " << formatLimit(settings.machine.descriptors)
       << "\nmachine_link_mbit_per_s = " << formatLimit(settings.machine.linkMegabits)
       << "\ncapacity_core_hundredths = " << formatLimit(capacityOf(settings.machine))
       << "\nquota_window_ms = " << toMilliseconds(settings.quota.window)
       << "\nquota_tolerance = " << settings.quota.tolerance << "\nquota_slack = " << settings.quota.slack
       << "\n";
  return text.str();
}

std::vector<std::string> validationErrors(const GatewaySettings& settings) {
  std::vector<std::string> errors;
  const auto require = [&](bool holds, const std::string& error) {
    if (!holds) {
      errors.push_back(error);
    }
  };
  require(!settings.name.empty(), "the name is empty");
  require(!settings.zone.empty(), "the zone is empty");
  require(settings.callerAddress != settings.readinessAddress, "callers' and status address are the same");
  require(settings.stopGrace >= kMinGrace && settings.stopGrace <= kMaxGrace,
          "the grace of a stop is not within 1 and 600 seconds");
  require(settings.leaveBound >= kMinLeaveBound && settings.leaveBound <= kMaxLeaveBound,
          "the bound on use after a leave is not within 0.5 and 60 seconds");
  require(settings.leafHeartbeat >= kMinHeartbeat && settings.leafHeartbeat <= kMaxHeartbeat,
          "the time between writes of a leaf's entry is not within 0.05 and 60 seconds");
  require(settings.configurationBound >= kMinConfigurationBound,
          "the bound on new configurations is below 0.5 seconds");
  require(!settings.keyRevocationBound ||
              (*settings.keyRevocationBound >= kMinKeyBound && *settings.keyRevocationBound <= kMaxKeyBound),
          "the bound on the use of removed keys is not within 4 and 600 seconds");
  require(settings.retryLimit.ratio >= 0 && settings.retryLimit.ratio <= 1,
          "the ratio of extra sends is not within 0 and 1");
  require(settings.retryLimit.slack >= 0, "the slack of extra sends is negative");
  require(settings.retryLimit.window >= kMinWindow, "the window of extra sends is below 1 second");
  require(settings.warmup.factor >= 0, "the factor on the rate of cold leafs is negative");
  require(settings.warmup.slack >= 0, "the slack on the rate of cold leafs is negative");
  const auto machineErrors = validationErrors(settings.machine);
  errors.insert(errors.end(), machineErrors.begin(), machineErrors.end());
  require(settings.quota.window >= kMinWindow, "the window of tenants' limits is below 1 second");
  require(settings.quota.tolerance >= 0, "the tolerance of tenants' limits is negative");
  require(settings.quota.slack >= 0, "the slack of tenants' limits is negative");
  return errors;
}

}  // namespace oakpier::serving
