#include "programs/daemon/daemon_settings.h"

#include <CLI/CLI.hpp>
#include <map>
#include <sstream>

#include "programs/common/exit_codes.h"
#include "programs/common/flags.h"

namespace oakpier {

namespace {

/// Unconverted values of flags and settings file.
struct RawSettings {
  std::string callerAddress;
  std::string operatorAddress;
  std::string peerAddress;
  std::string zone;
  std::vector<std::string> peers;
  std::string platform;
  std::uint32_t platformPeriodMs = 1000;
  std::uint32_t maxQueries = 128;
  std::uint32_t ownerThreads = 2;
  std::size_t maxRequestBytes = std::size_t{1} << 20U;
  std::size_t voters = 5;
  std::uint32_t probePeriodMs = 1000;
  std::uint32_t stopTimeoutMs = 30'000;
  std::uint32_t repeatWindowMs = 30'000;
  HedgeMode hedge = HedgeMode::kAdaptive;
  ReplicaPolicy choice = ReplicaPolicy::kPowerOfTwoChoices;
  bool noAdmission = false;
  LogLevel logLevel = LogLevel::kInfo;
  bool checkConfigOnly = false;
  bool allowFaultInjection = false;
};

void addAddressOptions(CLI::App& app, RawSettings& raw) {
  app.add_option("--caller-address", raw.callerAddress, "Where callers are served")
      ->required()
      ->check(endpointValidator());
  app.add_option("--operator-address", raw.operatorAddress,
                 "Where operators, /metrics, /healthz and /readyz are served")
      ->required()
      ->check(endpointValidator());
  app.add_option("--peer-address", raw.peerAddress, "Where other daemons reach this one")
      ->required()
      ->check(endpointValidator());
  app.add_option("--zone", raw.zone, "Name of the zone this machine is in")->required();
  app.add_option("--peers", raw.peers, "Peer addresses of other daemons")->check(endpointValidator());
  app.add_option("--platform", raw.platform,
                 "Address of the platform's configuration service and list of machines")
      ->check(endpointValidator());
  app.add_option("--platform-period-ms", raw.platformPeriodMs, "How often the platform is read")
      ->check(CLI::Range(50, 60'000))
      ->capture_default_str();
}

void addLimitOptions(CLI::App& app, RawSettings& raw) {
  app.add_option("--max-queries", raw.maxQueries, "Queries in progress at once")
      ->check(CLI::Range(1, 10'000))
      ->capture_default_str();
  app.add_option("--owner-threads", raw.ownerThreads, "Threads that hold leaf connections")
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
  app.add_option("--max-request-bytes", raw.maxRequestBytes, "Largest request body")
      ->check(CLI::Range(std::size_t{1024}, std::size_t{64} << 20U))
      ->capture_default_str();
  app.add_option("--voters", raw.voters, "Daemons that vote on configuration changes")
      ->check(CLI::Range(1, 15))
      ->capture_default_str();
  app.add_option("--probe-period-ms", raw.probePeriodMs, "How often one other daemon is probed")
      ->check(CLI::Range(20, 60'000))
      ->capture_default_str();
  app.add_option("--stop-timeout-ms", raw.stopTimeoutMs,
                 "Longest wait for work in progress on a planned stop")
      ->check(CLI::Range(0, 600'000))
      ->capture_default_str();
  app.add_option("--repeat-window-ms", raw.repeatWindowMs,
                 "How long the id of a request not to be repeated is remembered")
      ->check(CLI::Range(100, 600'000))
      ->capture_default_str();
}

void addPolicyOptions(CLI::App& app, RawSettings& raw) {
  const std::map<std::string, HedgeMode> hedges{
      {"learnt", HedgeMode::kAdaptive}, {"fixed", HedgeMode::kFixed}, {"off", HedgeMode::kOff}};
  const std::map<std::string, ReplicaPolicy> choices{{"least-loaded", ReplicaPolicy::kPowerOfTwoChoices},
                                                     {"random", ReplicaPolicy::kRandom}};
  const std::map<std::string, LogLevel> levels{{"debug", LogLevel::kDebug},
                                               {"info", LogLevel::kInfo},
                                               {"warning", LogLevel::kWarning},
                                               {"error", LogLevel::kError}};
  app.add_option("--hedge-rule", raw.hedge, "learnt, fixed or off; the last two are for comparison")
      ->transform(CLI::CheckedTransformer(hedges));
  app.add_option("--choice-rule", raw.choice, "least-loaded or random; the last is for comparison")
      ->transform(CLI::CheckedTransformer(choices));
  app.add_flag("--no-admission", raw.noAdmission, "Refuse nothing ahead of time; for comparison");
  app.add_option("--log-level", raw.logLevel, "debug, info, warning or error")
      ->transform(CLI::CheckedTransformer(levels));
  app.add_flag("--allow-fault-injection", raw.allowFaultInjection,
               "Serve the fault interface; for proofs only");
  app.add_flag("--check-config", raw.checkConfigOnly, "Check the settings and exit");
}

DaemonSettings convert(const RawSettings& raw) {
  DaemonSettings settings;
  settings.callerAddress = parsedEndpoint(raw.callerAddress);
  settings.operatorAddress = parsedEndpoint(raw.operatorAddress);
  settings.peerAddress = parsedEndpoint(raw.peerAddress);
  settings.zone = raw.zone;
  for (const auto& peer : raw.peers) {
    settings.peers.push_back(parsedEndpoint(peer));
  }
  settings.platform = parsedEndpoint(raw.platform);
  settings.platformPeriod = fromMilliseconds(raw.platformPeriodMs);
  settings.maxQueries = raw.maxQueries;
  settings.ownerThreads = raw.ownerThreads;
  settings.maxRequestBytes = raw.maxRequestBytes;
  settings.voters = raw.voters;
  settings.probePeriod = fromMilliseconds(raw.probePeriodMs);
  settings.stopTimeout = fromMilliseconds(raw.stopTimeoutMs);
  settings.repeatWindow = fromMilliseconds(raw.repeatWindowMs);
  settings.policy.hedge = raw.hedge;
  settings.policy.choice = raw.choice;
  settings.admission = !raw.noAdmission;
  settings.logLevel = raw.logLevel;
  settings.allowFaultInjection = raw.allowFaultInjection;
  settings.checkConfigOnly = raw.checkConfigOnly;
  return settings;
}

}  // namespace

std::variant<DaemonSettings, SettingsExit> readDaemonSettings(int argumentCount,
                                                              const char* const* arguments) {
  RawSettings raw;
  CLI::App app("The query tier daemon: answers callers from many shards and keeps leafs within their limits.",
               "oakpierd");
  app.set_version_flag("--version", std::string("oakpierd ") + OAKPIER_VERSION);
  app.set_config("--config", "", "Settings file (TOML); its keys are the flags' names");
  app.allow_config_extras(CLI::config_extras_mode::error);
  addAddressOptions(app, raw);
  addLimitOptions(app, raw);
  addPolicyOptions(app, raw);
  try {
    app.parse(argumentCount, arguments);
  } catch (const CLI::ParseError& problem) {
    std::ostringstream out;
    std::ostringstream error;
    const int code = app.exit(problem, out, error);
    return SettingsExit{code == 0 ? kExitOk : kExitUsage, out.str() + error.str()};
  }
  if (raw.zone.empty()) {
    return SettingsExit{kExitUsage, "--zone: '' is not allowed: give the name of a zone\n"};
  }
  if (raw.peers.empty() && raw.platform.empty()) {
    return SettingsExit{kExitUsage, "--platform or --peers is required to find other daemons\n"};
  }
  return convert(raw);
}

}  // namespace oakpier
