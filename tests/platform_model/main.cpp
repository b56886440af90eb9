/// oakpier-platform-day: simulates a deployment on loopback, with stand-ins for its clients, leafs and store.

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "platform_model/platform_day.h"

namespace {

constexpr unsigned kFewConnections = 5;

}  // namespace

int main(int argumentCount, char** arguments) {
  using oakpier::serving::model::DaySettings;
  CLI::App app{"Simulates a deployment on loopback and checks what its clients and leafs observe."};
  std::string name = "tavua";
  DaySettings settings;
  settings.folder = "/tmp/oakpier-platform-day-" + std::to_string(getpid());
  double seconds = 6;
  bool hold = false;
  app.add_option("deployment", name, "simulate tavua or fund-prices")
      ->check(CLI::IsMember({"tavua", "fund-prices"}));
  app.add_option("--gateway", settings.gatewayProgram, "run this gateway program")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--folder", settings.folder, "write settings files and logs to this directory");
  app.add_option("--seconds", seconds, "generate traffic for this many seconds")
      ->check(CLI::Range(1.0, 600.0));
  app.add_option("--seed", settings.seed, "draw arrivals, service times, answers and faults from this seed");
  app.add_flag("!--calm", settings.disturbances, "omit the fixed sequence of disturbances");
  app.add_flag("--ending-requests", settings.crashingRequests,
               "send requests repeatedly that crash each leaf that runs them");
  app.add_flag("--faults", settings.faults,
               "inject random faults drawn from the seed and print their schedule");
  app.add_flag("--restorations", settings.restorations, "restore the store from backups (requires --faults)");
  app.add_flag("--process-faults", settings.processFaults,
               "kill gateways and start them under faults of their environment (requires --faults)");
  app.add_flag("--stalled-output", settings.stalledOutput, "leave the gateways' output unread");
  app.add_flag(
      "--few-connections", settings.expectDelegation,
      "limit leafs to fewer connections than there are gateways, so that shards are delegated to owners");
  app.add_flag("--hold", hold, "start, print addresses and serve without generated traffic until stopped");
  CLI11_PARSE(app, argumentCount, arguments);
  settings.length = oakpier::Duration(static_cast<std::int64_t>(seconds * 1e6));
  auto deployment =
      name == "tavua" ? oakpier::serving::model::tavua() : oakpier::serving::model::fundPrices();
  if (settings.expectDelegation) {
    deployment.shardConnections = kFewConnections;
  }
  oakpier::serving::model::PlatformDay day(deployment, settings);
  const std::string problem = day.start();
  if (!problem.empty()) {
    std::cerr << "start failed: " << problem << "\n";
    return EXIT_FAILURE;
  }
  day.printAddresses(std::cout);
  if (hold) {
    day.serveForever();
    return EXIT_SUCCESS;
  }
  if (settings.faults) {
    oakpier::serving::model::printFaults(
        oakpier::serving::model::generateFaults(settings.length, settings.seed), std::cout);
  }
  if (settings.faults && settings.restorations) {
    oakpier::serving::model::printRestorations(
        oakpier::serving::model::generateRestorations(settings.length, settings.seed), std::cout);
  }
  if (settings.faults && settings.processFaults) {
    oakpier::serving::model::printProcessFaults(
        oakpier::serving::model::generateProcessFaults(settings.length, settings.seed), std::cout);
  }
  day.run();
  day.report(std::cout);
  return day.passed() ? EXIT_SUCCESS : EXIT_FAILURE;
}
