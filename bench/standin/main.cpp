/// oakpier-standin: stands in for leafs or for the platform, in examples, tests and measurements.

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "programs/common/exit_codes.h"
#include "programs/common/flags.h"
#include "programs/common/json_files.h"
#include "standin/leaf_standin.h"
#include "standin/platform_standin.h"
#include "transport/http_server.h"

namespace oakpier {

namespace {

constexpr unsigned kSpareThreads = 4;
constexpr unsigned kPlatformThreads = 16;
constexpr std::size_t kMaxBodyBytes = std::size_t{64} << 20U;

int waitForStop(HttpServer& server) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const std::string problem = server.start();
  if (!problem.empty()) {
    std::cerr << problem << "\n";
    return kExitUnreachable;
  }
  int received = 0;
  sigwait(&signals, &received);
  // Requests in progress need no answer any more.
  std::_Exit(kExitOk);
}

int runLeaf(const LeafStandInOptions& options) {
  LeafModel model(options);
  LeafBackendStandIn backend(model);
  LeafStandInControl control(model);
  HttpServer server({options.address, options.maxConnections + kSpareThreads, kMaxBodyBytes});
  server.addRpcService(backend);
  server.addRpcService(control);
  return waitForStop(server);
}

int runPlatform(const Endpoint& address, const std::string& configurationFile,
                const std::string& machinesFile) {
  Configuration configuration;
  MachineList machines;
  for (const std::string& problem :
       {readJsonFile(configurationFile, configuration), readJsonFile(machinesFile, machines)}) {
    if (!problem.empty()) {
      std::cerr << problem << "\n";
      return kExitUsage;
    }
  }
  PlatformModel model;
  model.setConfiguration(configuration);
  model.setMachines(machines);
  PlatformServiceStandIn platform(model);
  PlatformStandInControl control(model);
  HttpServer server({address, kPlatformThreads, kMaxBodyBytes});
  server.addRpcService(platform);
  server.addRpcService(control);
  return waitForStop(server);
}

}  // namespace

}  // namespace oakpier

int main(int argumentCount, char** arguments) {
  CLI::App app("Stand-ins for what oakpier works with.", "oakpier-standin");
  app.require_subcommand(1);
  std::string address;
  oakpier::LeafStandInOptions leaf;
  std::uint32_t serviceTimeUs = 3000;
  std::uint64_t newestSnapshot = 1;
  std::uint32_t rows = 20;
  CLI::App* leafCommand = app.add_subcommand("leaf", "Stand in for one leaf");
  leafCommand->add_option("--address", address)->required()->check(oakpier::endpointValidator());
  leafCommand->add_option("--slots", leaf.slots)->capture_default_str();
  leafCommand->add_option("--max-connections", leaf.maxConnections)->capture_default_str();
  leafCommand->add_option("--seed", leaf.seed)->capture_default_str();
  leafCommand->add_option("--service-time-us", serviceTimeUs)->capture_default_str();
  leafCommand->add_option("--snapshot", newestSnapshot, "The one snapshot held at first")
      ->capture_default_str();
  leafCommand->add_option("--rows", rows, "Rows of each shard")->capture_default_str();
  leafCommand->add_option("--log-file", leaf.logFile, "Append every execution here");
  std::string configurationFile;
  std::string machinesFile;
  CLI::App* platformCommand = app.add_subcommand("platform", "Stand in for the platform");
  platformCommand->add_option("--address", address)->required()->check(oakpier::endpointValidator());
  platformCommand->add_option("--configuration", configurationFile, "JSON of a Configuration")->required();
  platformCommand->add_option("--machines", machinesFile, "JSON of a MachineList")->required();
  try {
    app.parse(argumentCount, arguments);
  } catch (const CLI::ParseError& problem) {
    return app.exit(problem) == 0 ? oakpier::kExitOk : oakpier::kExitUsage;
  }
  if (leafCommand->parsed()) {
    leaf.address = oakpier::parsedEndpoint(address);
    leaf.faults.set_service_time_us(serviceTimeUs);
    leaf.faults.set_oldest_snapshot(newestSnapshot);
    leaf.faults.set_newest_snapshot(newestSnapshot);
    leaf.faults.set_rows_per_shard(rows);
    return oakpier::runLeaf(leaf);
  }
  return oakpier::runPlatform(oakpier::parsedEndpoint(address), configurationFile, machinesFile);
}
