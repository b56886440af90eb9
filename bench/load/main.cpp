/// oakpier-load: sends an open-loop load to daemons, reports it, and writes the history for the checkers.

#include <cxxtools/http/client.h>

#include <CLI/CLI.hpp>
#include <iostream>
#include <sstream>

#include "history/history_file.h"
#include "load/load_plan.h"
#include "load/load_report.h"
#include "load/load_runner.h"
#include "oakpier/platform.pb.h"
#include "oakpier/standin.pb.h"
#include "programs/common/exit_codes.h"
#include "programs/common/flags.h"
#include "transport/http_channel.h"

namespace oakpier {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(5);

struct Settings {
  std::vector<std::string> callers;
  std::vector<std::string> streams;
  double seconds = 10;
  std::uint64_t seed = 1;
  std::size_t connections = 256;
  std::string platform;
  std::vector<std::string> operators;
  std::string history;
};

/// Processor seconds of all daemons together, from their metrics.
double processorSeconds(const std::vector<std::string>& operators) {
  double total = 0;
  for (const auto& address : operators) {
    cxxtools::http::Client client(parsedEndpoint(address).ip(), parsedEndpoint(address).port());
    std::istringstream lines(client.get("/metrics", cxxtools::Milliseconds(5000)).body());
    for (std::string line; std::getline(lines, line);) {
      const std::string name = "process_cpu_seconds_total ";
      total += line.rfind(name, 0) == 0 ? std::stod(line.substr(name.size())) : 0;
    }
  }
  return total;
}

nlohmann::ordered_json reportProcessor(const std::vector<QueryRecord>& records, double seconds) {
  std::uint64_t shards = 0;
  for (const auto& record : records) {
    shards += static_cast<std::uint64_t>(record.answer().covered_size());
  }
  nlohmann::ordered_json report;
  constexpr double kMicrosecondsPerSecond = 1e6;
  report["daemon_us_per_query"] = seconds * kMicrosecondsPerSecond / static_cast<double>(records.size());
  report["daemon_us_per_shard_answer"] = seconds * kMicrosecondsPerSecond / static_cast<double>(shards);
  return report;
}

std::vector<Machine> leafMachines(const Endpoint& platform) {
  HttpChannel channel(platform, kCallTimeout);
  Platform_Stub stub(&channel);
  CallController call;
  const MachineListRequest request;
  MachineList list;
  stub.ListMachines(&call, &request, &list, nullptr);
  std::vector<Machine> leaves;
  for (const auto& machine : list.machines()) {
    if (!machine.daemon()) {
      leaves.push_back(machine);
    }
  }
  return leaves;
}

/// Leafs that do not answer count as zero.
ExecutionLog readLog(const Machine& leaf, bool totalsOnly) {
  HttpChannel channel(parsedEndpoint(leaf.address()), kCallTimeout);
  LeafStandIn_Stub stub(&channel);
  CallController call;
  ExecutionLogRequest request;
  request.set_totals_only(totalsOnly);
  ExecutionLog log;
  stub.GetLog(&call, &request, &log, nullptr);
  return call.Failed() ? ExecutionLog() : log;
}

LeafWork totalWork(const std::vector<Machine>& leaves) {
  LeafWork work;
  for (const auto& leaf : leaves) {
    const ExecutionLog log = readLog(leaf, true);
    work.executions += log.total();
    work.cancelled += log.cancelled();
  }
  return work;
}

History historyOf(const std::vector<QueryRecord>& records, const std::vector<Machine>& leaves,
                  const Endpoint& platform) {
  History history;
  if (platform != Endpoint()) {
    HttpChannel channel(platform, kCallTimeout);
    Platform_Stub stub(&channel);
    CallController call;
    const PlatformConfigurationRequest request;
    stub.GetConfiguration(&call, &request, history.add_entries()->mutable_configuration(), nullptr);
  }
  for (const auto& record : records) {
    *history.add_entries()->mutable_query() = record;
  }
  for (const auto& leaf : leaves) {
    const ExecutionLog log = readLog(leaf, false);
    for (const auto& execution : log.executions()) {
      ExecutionRecord& record = *history.add_entries()->mutable_execution();
      record.set_leaf(leaf.address());
      *record.mutable_execution() = execution;
    }
  }
  return history;
}

int run(const Settings& settings, const std::vector<LoadStream>& streams) {
  LoadOptions options;
  options.connections = settings.connections;
  options.seed = settings.seed;
  for (const auto& caller : settings.callers) {
    options.callers.push_back(parsedEndpoint(caller));
  }
  const Endpoint platform = parsedEndpoint(settings.platform);
  const std::vector<Machine> leaves =
      platform == Endpoint() ? std::vector<Machine>() : leafMachines(platform);
  const LeafWork before = totalWork(leaves);
  const double processorBefore = processorSeconds(settings.operators);
  const auto plan =
      planLoad(streams, Duration(static_cast<std::int64_t>(settings.seconds * 1e6)), settings.seed);
  const std::vector<QueryRecord> records = runLoad(plan, options);
  const double processorAfter = processorSeconds(settings.operators);
  LeafWork work = totalWork(leaves);
  work.executions -= std::min(work.executions, before.executions);
  work.cancelled -= std::min(work.cancelled, before.cancelled);
  nlohmann::ordered_json report;
  report["seed"] = settings.seed;
  report["seconds"] = settings.seconds;
  report["streams"] = reportStreams(streams, plan, records);
  if (!leaves.empty()) {
    report["leaf_work"] = reportLeafWork(records, work);
  }
  if (!settings.operators.empty()) {
    report["processor"] = reportProcessor(records, processorAfter - processorBefore);
  }
  std::cout << report.dump(1) << std::endl;
  if (!settings.history.empty()) {
    const std::string problem = writeHistory(settings.history, historyOf(records, leaves, platform));
    if (!problem.empty()) {
      std::cerr << problem << "\n";
      return kExitFailure;
    }
  }
  const bool anyAnswer = std::any_of(records.begin(), records.end(), [](const QueryRecord& record) {
    return record.delivery() == DELIVERY_ANSWERED;
  });
  return anyAnswer ? kExitOk : kExitUnreachable;
}

}  // namespace

}  // namespace oakpier

int main(int argumentCount, char** arguments) {
  CLI::App app("Sends an open-loop load and reports latency, coverage, outcomes and extra leaf work.",
               "oakpier-load");
  oakpier::Settings settings;
  app.add_option("--caller", settings.callers, "Caller address of a daemon; give one or more")
      ->required()
      ->check(oakpier::endpointValidator());
  app.add_option(
         "--stream", settings.streams,
         "service:class:queries a second, and deadline=MS, rows=N, coverage=SHARE, once=SHARE, bykey=1")
      ->required();
  app.add_option("--seconds", settings.seconds, "Length of the run")
      ->check(CLI::Range(0.1, 3600.0))
      ->capture_default_str();
  app.add_option("--seed", settings.seed, "Of arrivals and keys")->capture_default_str();
  app.add_option("--connections", settings.connections, "Queries on the way at once")
      ->check(CLI::Range(1, 2000))
      ->capture_default_str();
  app.add_option("--platform", settings.platform, "Platform stand-in, to find the leafs and count their work")
      ->check(oakpier::endpointValidator());
  app.add_option("--operator", settings.operators,
                 "Operator addresses, to measure the daemons' processor time")
      ->check(oakpier::endpointValidator());
  app.add_option("--history", settings.history, "Write the history to this file");
  std::vector<oakpier::LoadStream> streams;
  try {
    app.parse(argumentCount, arguments);
    for (const auto& text : settings.streams) {
      const std::string problem = oakpier::parseStream(text, streams.emplace_back());
      if (!problem.empty()) {
        throw CLI::ValidationError("--stream", problem);
      }
    }
  } catch (const CLI::ParseError& problem) {
    return app.exit(problem) == 0 ? oakpier::kExitOk : oakpier::kExitUsage;
  }
  return oakpier::run(settings, streams);
}
