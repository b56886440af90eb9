#include "programs/gateway/gateway_settings.h"

#include <sstream>

namespace oakpier::serving {

namespace {

constexpr Duration kShortestGrace = std::chrono::seconds(1);
constexpr Duration kLongestGrace = std::chrono::minutes(10);
constexpr Duration kShortestLeaveBound = std::chrono::milliseconds(500);
constexpr Duration kLongestLeaveBound = std::chrono::minutes(1);
constexpr Duration kShortestHeartbeat = std::chrono::milliseconds(50);
constexpr Duration kLongestHeartbeat = std::chrono::minutes(1);
/// A reader's proof reaches an age of 2.25 s between two answers of the source; daemons deep in its
/// distribution tree are half a second behind, and the failure of a reader adds one second.
constexpr Duration kShortestKeyBound = std::chrono::seconds(4);
constexpr Duration kLongestKeyBound = std::chrono::minutes(10);
constexpr Duration kShortestConfigurationBound = std::chrono::milliseconds(500);
constexpr Duration kShortestWindow = std::chrono::seconds(1);

template <typename Figure>
std::string told(Figure figure) {
  std::ostringstream text;
  text << figure;
  return figure == 0 ? "not told" : text.str();
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
       << "\nextra_send_ratio = " << settings.extraSends.ratio
       << "\nextra_send_slack = " << settings.extraSends.slack
       << "\nextra_send_window_ms = " << toMilliseconds(settings.extraSends.window)
       << "\nwarmup_factor = " << settings.warmup.factor << "\nwarmup_slack_per_s = " << settings.warmup.slack
       << "\nmachine_processor_cores = " << told(settings.machine.processorCores)
       << "\nmachine_memory_mb = " << told(settings.machine.memoryMegabytes)
       << "\nmachine_descriptors = " << told(settings.machine.descriptors)
       << "\nmachine_link_mbit_per_s = " << told(settings.machine.linkMegabits)
       << "\ncapacity_core_hundredths = " << told(capacityOf(settings.machine))
       << "\nquota_window_ms = " << toMilliseconds(settings.quota.window)
       << "\nquota_tolerance = " << settings.quota.tolerance << "\nquota_slack = " << settings.quota.slack
       << "\n";
  return text.str();
}

std::vector<std::string> problemsOf(const GatewaySettings& settings) {
  std::vector<std::string> problems;
  const auto require = [&](bool holds, const std::string& problem) {
    if (!holds) {
      problems.push_back(problem);
    }
  };
  require(!settings.name.empty(), "the name is empty");
  require(!settings.zone.empty(), "the zone is empty");
  require(settings.callerAddress != settings.readinessAddress, "callers' and status address are the same");
  require(settings.stopGrace >= kShortestGrace && settings.stopGrace <= kLongestGrace,
          "the grace of a stop is not within 1 and 600 seconds");
  require(settings.leaveBound >= kShortestLeaveBound && settings.leaveBound <= kLongestLeaveBound,
          "the bound on use after a leave is not within 0.5 and 60 seconds");
  require(settings.leafHeartbeat >= kShortestHeartbeat && settings.leafHeartbeat <= kLongestHeartbeat,
          "the time between writes of a leaf's entry is not within 0.05 and 60 seconds");
  require(settings.configurationBound >= kShortestConfigurationBound,
          "the bound on new configurations is below 0.5 seconds");
  require(!settings.keyRevocationBound || (*settings.keyRevocationBound >= kShortestKeyBound &&
                                           *settings.keyRevocationBound <= kLongestKeyBound),
          "the bound on the use of removed keys is not within 4 and 600 seconds");
  require(settings.extraSends.ratio >= 0 && settings.extraSends.ratio <= 1,
          "the ratio of extra sends is not within 0 and 1");
  require(settings.extraSends.slack >= 0, "the slack of extra sends is negative");
  require(settings.extraSends.window >= kShortestWindow, "the window of extra sends is below 1 second");
  require(settings.warmup.factor >= 0, "the factor on the rate of cold leafs is negative");
  require(settings.warmup.slack >= 0, "the slack on the rate of cold leafs is negative");
  const auto ofMachine = problemsOf(settings.machine);
  problems.insert(problems.end(), ofMachine.begin(), ofMachine.end());
  require(settings.quota.window >= kShortestWindow, "the window of tenants' limits is below 1 second");
  require(settings.quota.tolerance >= 0, "the tolerance of tenants' limits is negative");
  require(settings.quota.slack >= 0, "the slack of tenants' limits is negative");
  return problems;
}

}  // namespace oakpier::serving
