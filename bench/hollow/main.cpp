/// oakpier-hollow: what the control side costs at sizes that one machine holds only as hollow daemons.

#include <CLI/CLI.hpp>
#include <iostream>

#include "hollow/fleet_run.h"
#include "hollow/table_run.h"

int main(int argumentCount, char** arguments) {
  CLI::App app("Measures the control side of many daemons in one process.", "oakpier-hollow");
  app.require_subcommand(1);
  oakpier::HollowOptions fleet;
  double steady = 30;
  double day = 0;
  double cut = 0;
  CLI::App* fleetCommand = app.add_subcommand("fleet", "Run a simulated fleet and print its figures as JSON");
  fleetCommand->add_option("--daemons", fleet.daemons)->check(CLI::Range(3, 20'000))->capture_default_str();
  fleetCommand->add_option("--zones", fleet.zones)->check(CLI::Range(1, 100))->capture_default_str();
  fleetCommand->add_option("--seed", fleet.seed)->capture_default_str();
  fleetCommand->add_option("--steady-seconds", steady)->capture_default_str();
  fleetCommand->add_option("--changes", fleet.changes)->capture_default_str();
  fleetCommand->add_option("--deaths", fleet.deaths)->capture_default_str();
  fleetCommand->add_option("--day-seconds", day, "Play a day of failures in this time")
      ->capture_default_str();
  fleetCommand->add_option("--cut-seconds", cut, "Cut a region off for this long")->capture_default_str();
  oakpier::TableOptions tables;
  CLI::App* tablesCommand =
      app.add_subcommand("tables", "Measure the leaf tables and print their figures as JSON");
  tablesCommand->add_option("--leaves", tables.leaves)
      ->check(CLI::Range(10, 1'000'000))
      ->capture_default_str();
  tablesCommand->add_option("--daemons", tables.daemons)
      ->check(CLI::Range(10, 20'000))
      ->capture_default_str();
  CLI11_PARSE(app, argumentCount, arguments);
  const auto toDuration = [](double seconds) {
    return oakpier::Duration(static_cast<std::int64_t>(seconds * 1e6));
  };
  if (fleetCommand->parsed()) {
    fleet.steady = toDuration(steady);
    fleet.day = toDuration(day);
    fleet.cut = toDuration(cut);
    std::cout << runHollowFleet(fleet).dump() << std::endl;
  } else if (tablesCommand->parsed()) {
    std::cout << runTables(tables).dump() << std::endl;
  }
  return 0;
}
