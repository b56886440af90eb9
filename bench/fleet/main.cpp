/// oakpier-fleet: runs an example deployment on loopback, shows a query of each service answered, and ends or
/// holds.

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "fleet/fleet.h"
#include "programs/common/exit_codes.h"

namespace oakpier {

namespace {

constexpr Duration kStartLimit = std::chrono::seconds(60);
constexpr Duration kAnswerLimit = std::chrono::seconds(10);

QueryRequest sampleQuery(const Fleet& fleet, const Service& service) {
  QueryRequest request;
  request.set_request_id("sample-" + service.name());
  request.set_service(service.name());
  request.set_priority_class(fleet.configuration().classes(0).name());
  request.set_query("sample");
  request.set_max_rows(3);
  return request;
}

nlohmann::ordered_json describe(const Service& service, const QueryAnswer& answer) {
  nlohmann::ordered_json line;
  line["service"] = service.name();
  line["outcome"] = Outcome_Name(answer.outcome());
  line["snapshot"] = answer.snapshot();
  line["covered"] = answer.covered_size();
  line["lacking"] = answer.lacking_size();
  line["rows"] = nlohmann::json::array();
  for (const auto& row : answer.rows()) {
    line["rows"].push_back(row.key() + " = " + row.value());
  }
  line["answered_by"] = answer.answered_by();
  return line;
}

/// Asks each service until it answers in full; false when one does not in time.
bool showQueries(const Fleet& fleet) {
  for (const auto& service : fleet.configuration().services()) {
    std::optional<QueryAnswer> answer;
    const bool complete = waitUntil(
        [&] {
          answer = fleet.query(0, sampleQuery(fleet, service));
          return answer && answer->outcome() == OUTCOME_COMPLETE;
        },
        kAnswerLimit);
    std::cout << (answer ? describe(service, *answer).dump() : "no answer from " + service.name())
              << std::endl;
    if (!complete) {
      return false;
    }
  }
  return true;
}

void printAddresses(Fleet& fleet) {
  nlohmann::ordered_json line;
  line["platform"] = fleet.platformAddress().text();
  for (const auto& daemon : fleet.daemons()) {
    line["callers"].push_back(daemon.caller.text());
    line["operators"].push_back(daemon.operators.text());
  }
  std::cout << line.dump() << std::endl;
}

int runFleet(const FleetOptions& options, bool hold) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  if (hold) {
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  }
  Fleet fleet(options);
  if (!fleet.start(kStartLimit)) {
    std::cerr << "the fleet was not ready in time; logs are in " << options.workFolder << "\n";
    return kExitFailure;
  }
  printAddresses(fleet);
  const bool answered = showQueries(fleet);
  if (hold && answered) {
    std::cout << "running; end with SIGINT" << std::endl;
    int received = 0;
    sigwait(&signals, &received);
  }
  return answered ? kExitOk : kExitFailure;
}

}  // namespace

}  // namespace oakpier

int main(int argumentCount, char** arguments) {
  CLI::App app("Runs an example deployment on loopback with stand-ins.", "oakpier-fleet");
  oakpier::FleetOptions options;
  options.binaries = oakpier::ownFolder();
  bool hold = false;
  app.add_option("--example", options.example, "Folder with configuration.json and machines.json")
      ->required()
      ->check(CLI::ExistingDirectory);
  app.add_option("--work-folder", options.workFolder, "For logs; a new temporary folder by default");
  app.add_option("--daemon-flag", options.daemonFlags,
                 "Further flag of every daemon, for example --daemon-flag=--log-level=debug");
  app.add_option("--leaf-flag", options.leafFlags, "Further flag of every leaf stand-in");
  app.add_flag("--hold", hold, "Keep running until SIGINT or SIGTERM");
  CLI11_PARSE(app, argumentCount, arguments);
  if (options.workFolder.empty()) {
    std::string name = (std::filesystem::temp_directory_path() / "oakpier-fleet-XXXXXX").string();
    options.workFolder = mkdtemp(name.data()) == nullptr ? "." : name;
  }
  try {
    return oakpier::runFleet(options, hold);
  } catch (const std::exception& problem) {
    std::cerr << problem.what() << "\n";
    return oakpier::kExitUsage;
  }
}
