/// oakpier-platform-day: a deployment in the platform's shape on loopback, with stand-ins for all around it.

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "platform_model/platform_day.h"

namespace {

constexpr unsigned kFewConnections = 5;

}  // namespace

int main(int argumentCount, char** arguments) {
  using oakpier::serving::model::DaySettings;
  CLI::App app{"Plays a day of a deployment on loopback and checks what clients and leafs see."};
  std::string name = "tavua";
  DaySettings settings;
  settings.folder = "/tmp/oakpier-platform-day-" + std::to_string(getpid());
  double seconds = 6;
  bool hold = false;
  app.add_option("deployment", name, "tavua or fund-prices")->check(CLI::IsMember({"tavua", "fund-prices"}));
  app.add_option("--gateway", settings.gatewayProgram, "the gateway program")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--folder", settings.folder, "for settings files and logs");
  app.add_option("--seconds", seconds, "length of the traffic")->check(CLI::Range(1.0, 600.0));
  app.add_option("--seed", settings.seed, "of arrivals, work and answers");
  app.add_flag("!--calm", settings.troubles, "leave out the troubles");
  app.add_flag("--ending-requests", settings.endingRequests,
               "requests come, again and again, that end each leaf that runs them");
  app.add_flag("--faults", settings.faults, "random faults, of which those that a seed draws are printed");
  app.add_flag("--restorations", settings.restorations,
               "with --faults: the store comes back from older copies of its records");
  app.add_flag("--stalled-output", settings.stalledOutput, "nobody reads the gateways' output");
  app.add_flag("--few-connections", settings.expectOwners,
               "leafs accept fewer connections than there are gateways, so that shards have owners");
  app.add_flag("--hold", hold, "start, print addresses and serve without traffic until stopped");
  CLI11_PARSE(app, argumentCount, arguments);
  settings.length = oakpier::Duration(static_cast<std::int64_t>(seconds * 1e6));
  auto deployment =
      name == "tavua" ? oakpier::serving::model::tavua() : oakpier::serving::model::fundPrices();
  if (settings.expectOwners) {
    deployment.shardConnections = kFewConnections;
  }
  oakpier::serving::model::PlatformDay day(deployment, settings);
  const std::string problem = day.start();
  if (!problem.empty()) {
    std::cerr << "not started: " << problem << "\n";
    return EXIT_FAILURE;
  }
  day.printAddresses(std::cout);
  if (hold) {
    day.hold();
    return EXIT_SUCCESS;
  }
  if (settings.faults) {
    oakpier::serving::model::printFaults(oakpier::serving::model::drawFaults(settings.length, settings.seed),
                                         std::cout);
  }
  if (settings.faults && settings.restorations) {
    oakpier::serving::model::printRestorations(
        oakpier::serving::model::drawRestorations(settings.length, settings.seed), std::cout);
  }
  day.play();
  day.report(std::cout);
  return day.passed() ? EXIT_SUCCESS : EXIT_FAILURE;
}
