/// oakpierctl: the operators' command-line tool.

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "programs/common/exit_codes.h"
#include "programs/common/flags.h"
#include "programs/control/causes.h"
#include "programs/control/commands.h"
#include "programs/control/explain.h"

namespace {

int showCauses(const std::vector<std::string>& logs, bool bySecond, bool json) {
  oakpier::LossReport report;
  if (logs.empty()) {
    oakpier::readLosses(std::cin, report);
  }
  for (const std::string& log : logs) {
    std::ifstream lines(log);
    if (!lines) {
      std::cerr << "cannot read " << log << "\n";
      return oakpier::kExitFailure;
    }
    oakpier::readLosses(lines, report);
  }
  if (report.routes.empty()) {
    std::cerr << "no request lines found; are these logs of oakpier-gateway?\n";
    return oakpier::kExitFailure;
  }
  if (json) {
    oakpier::printLossesAsJson(report, std::cout);
  } else {
    oakpier::printLosses(report, bySecond, std::cout);
  }
  return oakpier::kExitOk;
}

}  // namespace

int main(int argumentCount, char** arguments) {
  CLI::App app(
      "Reads and changes the configuration of a running oakpier deployment through any of its daemons.",
      "oakpierctl");
  app.set_version_flag("--version", std::string("oakpierctl ") + OAKPIER_VERSION);
  app.require_subcommand(1);
  std::string daemon;
  std::string output = "table";
  app.add_option("--daemon", daemon, "Call the daemon at this operator address; any daemon will do")
      ->check(oakpier::endpointValidator());
  app.add_option("--output", output, "Print a table or json")
      ->check(CLI::IsMember({"table", "json"}))
      ->capture_default_str();
  std::string file;
  std::string leaf;
  bool dryRun = false;
  CLI::App* get = app.add_subcommand("get", "Print the configuration in force, as JSON");
  CLI::App* validate = app.add_subcommand("validate", "Check a configuration file");
  validate->add_option("file", file, "Read a Configuration as JSON from this file")->required();
  CLI::App* apply =
      app.add_subcommand("apply", "Show the difference to the configuration in force, then apply the file");
  apply->add_option("file", file, "Read a Configuration as JSON from this file")->required();
  apply->add_flag("--dry-run", dryRun, "Show the difference, change nothing");
  CLI::App* status = app.add_subcommand("status", "Show members, revisions in force and leafs");
  CLI::App* drain = app.add_subcommand("drain", "Stop sending new requests to a leaf");
  drain->add_option("leaf", leaf, "Change the leaf of this name")->required();
  CLI::App* undrain = app.add_subcommand("undrain", "Send requests to a drained leaf again");
  undrain->add_option("leaf", leaf, "Change the leaf of this name")->required();
  CLI::App* explain = app.add_subcommand(
      "explain", "Explain the outcome of a request from gateways' log lines on standard input");
  std::string id;
  explain->add_option("id", id, "Explain the request of this id")->required();
  CLI::App* causes =
      app.add_subcommand("causes", "Sum up the losses in gateways' log lines, by route and cause");
  std::vector<std::string> logs;
  bool bySecond = false;
  causes->add_option("log", logs, "Read these log files; default: standard input")->check(CLI::ExistingFile);
  causes->add_flag("--by-second", bySecond, "Also show the losses of each second");
  try {
    app.parse(argumentCount, arguments);
  } catch (const CLI::RequiredError& problem) {
    const std::vector<std::string> unknown = app.remaining();
    if (unknown.empty()) {
      return app.exit(problem) == 0 ? oakpier::kExitOk : oakpier::kExitUsage;
    }
    std::cerr << "unknown command \"" << unknown.front() << "\"\nRun with --help for the commands.\n";
    return oakpier::kExitUsage;
  } catch (const CLI::ParseError& problem) {
    return app.exit(problem) == 0 ? oakpier::kExitOk : oakpier::kExitUsage;
  }
  if (explain->parsed()) {
    if (!oakpier::explainRequest(id, std::cin, std::cout)) {
      std::cerr << "no log line has request id " << id << "; only a sample of ordinary requests is logged\n";
      return oakpier::kExitFailure;
    }
    return oakpier::kExitOk;
  }
  if (causes->parsed()) {
    return showCauses(logs, bySecond, output == "json");
  }
  if (daemon.empty()) {
    std::cerr << "--daemon is required\n";
    return oakpier::kExitUsage;
  }
  const oakpier::ControlOptions options{oakpier::parsedEndpoint(daemon), output == "json"};
  if (get->parsed()) {
    return oakpier::showConfiguration(options);
  }
  if (validate->parsed()) {
    return oakpier::validateFile(options, file);
  }
  if (apply->parsed()) {
    return oakpier::applyFile(options, file, dryRun);
  }
  if (status->parsed()) {
    return oakpier::showStatus(options);
  }
  return oakpier::drainLeaf(options, leaf, drain->parsed() && !undrain->parsed());
}
