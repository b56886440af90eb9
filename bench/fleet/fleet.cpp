#include "fleet/fleet.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "programs/common/json_files.h"
#include "transport/http_channel.h"
#include "transport/steady_clock.h"

namespace oakpier {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(8);
constexpr Duration kPollPeriod = std::chrono::milliseconds(20);
constexpr const char* kLoopback = "127.0.0.1:";

Endpoint loopback(unsigned short port) {
  return Endpoint::parse(kLoopback + std::to_string(port)).value_or(Endpoint());
}

/// One call on a connection of its own; empty when it did not arrive.
template <typename Stub, typename Request, typename Reply>
std::optional<Reply> callOnce(const Endpoint& server,
                              void (Stub::*method)(google::protobuf::RpcController*, const Request*, Reply*,
                                                   google::protobuf::Closure*),
                              const Request& request) {
  HttpChannel channel(server, kCallTimeout);
  Stub stub(&channel);
  CallController call;
  Reply reply;
  (stub.*method)(&call, &request, &reply, nullptr);
  return call.Failed() ? std::nullopt : std::optional<Reply>(reply);
}

}  // namespace

bool waitUntil(const std::function<bool()>& condition, Duration limit) {
  const Moment end = steadyNow() + limit;
  while (!condition()) {
    if (steadyNow() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

std::string ownFolder() { return std::filesystem::read_symlink("/proc/self/exe").parent_path().string(); }

Fleet::Fleet(const FleetOptions& options) : options_(options) {
  for (const std::string& problem : {readJsonFile(options.example + "/configuration.json", configuration_),
                                     readJsonFile(options.example + "/machines.json", machines_)}) {
    if (!problem.empty()) {
      throw std::runtime_error(problem);
    }
  }
  std::filesystem::create_directories(options.workFolder);
  for (const auto& entry : std::filesystem::directory_iterator(options.workFolder)) {
    if (entry.path().extension() == ".executions") {
      std::filesystem::remove(entry.path());
    }
  }
  moveAddresses();
}

void Fleet::moveAddresses() {
  std::size_t daemonCount = 0;
  for (const auto& machine : machines_.machines()) {
    daemonCount += machine.daemon() ? 1 : 0;
  }
  const auto leafCount = static_cast<std::size_t>(configuration_.leaves_size());
  const std::vector<unsigned short> ports = freePorts(leafCount + 3 * daemonCount + 1);
  auto next = ports.begin();
  platformAddress_ = loopback(*next++);
  std::map<std::string, std::string> moved;
  for (auto& leaf : *configuration_.mutable_leaves()) {
    const Endpoint address = loopback(*next++);
    moved[leaf.address()] = address.text();
    leaf.set_address(address.text());
    leaves_.push_back(FleetLeaf{leaf.name(), address, leaf.slots(), leaf.max_connections(), nullptr});
  }
  for (auto& machine : *machines_.mutable_machines()) {
    if (machine.daemon()) {
      const Endpoint peer = loopback(*next++);
      const Endpoint caller = loopback(*next++);
      const Endpoint operators = loopback(*next++);
      daemons_.push_back(FleetDaemon{caller, operators, peer, machine.zone(), nullptr});
      machine.set_address(peer.text());
    } else {
      machine.set_address(moved.at(machine.address()));
    }
  }
  for (const std::string& problem :
       {writeJsonFile(options_.workFolder + "/configuration.json", configuration_),
        writeJsonFile(options_.workFolder + "/machines.json", machines_)}) {
    if (!problem.empty()) {
      throw std::runtime_error(problem);
    }
  }
}

bool Fleet::start(Duration limit) {
  const Moment end = steadyNow() + limit;
  startPlatform();
  for (std::size_t leaf = 0; leaf < leaves_.size(); ++leaf) {
    startLeaf(leaf);
  }
  for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
    startDaemon(daemon);
  }
  for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
    const bool complete = waitUntil(
        [&] {
          const auto reply = status(daemon, false);
          return reply && reply->ready() && reply->guards_ids() &&
                 reply->members_size() == static_cast<int>(daemons_.size());
        },
        std::max(Duration(0), end - steadyNow()));
    if (!complete) {
      return false;
    }
  }
  return true;
}

void Fleet::startPlatform() {
  platform_ = std::make_unique<Process>(
      options_.binaries + "/oakpier-standin",
      std::vector<std::string>{"platform", "--address", platformAddress_.text(), "--configuration",
                               options_.workFolder + "/configuration.json", "--machines",
                               options_.workFolder + "/machines.json"},
      log("platform"));
}

void Fleet::startLeaf(std::size_t leaf) {
  FleetLeaf& started = leaves_[leaf];
  std::vector<std::string> arguments{"leaf",
                                     "--address",
                                     started.address.text(),
                                     "--slots",
                                     std::to_string(started.slots),
                                     "--max-connections",
                                     std::to_string(started.maxConnections),
                                     "--seed",
                                     std::to_string(leaf + 1)};
  if (options_.logExecutions) {
    arguments.insert(arguments.end(),
                     {"--log-file", options_.workFolder + "/" + started.name + ".executions"});
  }
  arguments.insert(arguments.end(), options_.leafFlags.begin(), options_.leafFlags.end());
  started.process =
      std::make_unique<Process>(options_.binaries + "/oakpier-standin", arguments, log(started.name));
}

void Fleet::startDaemon(std::size_t daemon) {
  FleetDaemon& started = daemons_[daemon];
  std::vector<std::string> arguments{"--caller-address",
                                     started.caller.text(),
                                     "--operator-address",
                                     started.operators.text(),
                                     "--peer-address",
                                     started.peer.text(),
                                     "--zone",
                                     started.zone,
                                     "--platform",
                                     platformAddress_.text()};
  arguments.insert(arguments.end(), options_.daemonFlags.begin(), options_.daemonFlags.end());
  started.process = std::make_unique<Process>(options_.binaries + "/oakpierd", arguments,
                                              log("daemon-" + std::to_string(daemon)));
}

bool Fleet::waitReady(std::size_t daemon, Duration limit) const {
  return waitUntil(
      [&] {
        const auto reply = status(daemon, true);
        return reply && reply->ready();
      },
      limit);
}

std::size_t Fleet::leafNamed(const std::string& name) const {
  const auto found =
      std::find_if(leaves_.begin(), leaves_.end(), [&](const FleetLeaf& leaf) { return leaf.name == name; });
  return static_cast<std::size_t>(found - leaves_.begin());
}

std::optional<QueryAnswer> Fleet::query(std::size_t daemon, const QueryRequest& request) const {
  return callOnce(daemons_[daemon].caller, &Caller_Stub::Query, request);
}

std::optional<StatusReply> Fleet::status(std::size_t daemon, bool localOnly) const {
  StatusRequest request;
  request.set_local_only(localOnly);
  return callOnce(daemons_[daemon].operators, &Operator_Stub::Status, request);
}

std::optional<ApplyReply> Fleet::apply(std::size_t daemon, const ApplyRequest& request) const {
  return callOnce(daemons_[daemon].operators, &Operator_Stub::Apply, request);
}

std::optional<Configuration> Fleet::configurationAt(std::size_t daemon) const {
  const auto reply =
      callOnce(daemons_[daemon].operators, &Operator_Stub::GetConfiguration, GetConfigurationRequest());
  return reply ? std::optional<Configuration>(reply->configuration()) : std::nullopt;
}

std::optional<DrainReply> Fleet::drain(std::size_t daemon, const std::string& leaf, bool drained) const {
  DrainRequest request;
  request.set_leaf(leaf);
  request.set_drained(drained);
  return callOnce(daemons_[daemon].operators, &Operator_Stub::Drain, request);
}

std::optional<ExecutionLog> Fleet::executionLog(std::size_t leaf, bool totalsOnly) const {
  ExecutionLogRequest request;
  request.set_totals_only(totalsOnly);
  return callOnce(leaves_[leaf].address, &LeafStandIn_Stub::GetLog, request);
}

std::optional<LeafFaults> Fleet::faultsOf(std::size_t leaf) const {
  return callOnce(leaves_[leaf].address, &LeafStandIn_Stub::GetFaults, ExecutionLogRequest());
}

bool Fleet::changeFaults(std::size_t leaf, const std::function<void(LeafFaults&)>& change) const {
  auto faults = faultsOf(leaf);
  if (!faults) {
    return false;
  }
  change(*faults);
  return callOnce(leaves_[leaf].address, &LeafStandIn_Stub::SetFaults, *faults).has_value();
}

bool Fleet::setPlatformFaults(const PlatformFaults& faults) const {
  return callOnce(platformAddress_, &PlatformStandIn_Stub::SetFaults, faults).has_value();
}

bool Fleet::setMachines(const MachineList& machines) const {
  return callOnce(platformAddress_, &PlatformStandIn_Stub::SetMachines, machines).has_value();
}

bool Fleet::setPlatformConfiguration(const Configuration& configuration) const {
  return callOnce(platformAddress_, &PlatformStandIn_Stub::SetConfiguration, configuration).has_value();
}

bool Fleet::setPeerCuts(std::size_t daemon, const PeerCuts& cuts) const {
  return callOnce(daemons_[daemon].operators, &FaultInjection_Stub::SetPeerCuts, cuts).has_value();
}

std::vector<Execution> Fleet::loggedExecutions(std::size_t leaf) const {
  std::vector<Execution> executions;
  std::ifstream file(options_.workFolder + "/" + leaves_[leaf].name + ".executions");
  std::string requestId;
  std::string shard;
  std::uint64_t snapshot = 0;
  std::uint64_t startedUs = 0;
  bool notRepeatable = false;
  while (file >> requestId >> shard >> snapshot >> startedUs >> notRepeatable) {
    Execution& execution = executions.emplace_back();
    execution.set_request_id(requestId);
    execution.set_shard(shard);
    execution.set_snapshot(snapshot);
    execution.set_started_us(startedUs);
    execution.set_not_repeatable(notRepeatable);
  }
  return executions;
}

std::string Fleet::log(const std::string& name) const { return options_.workFolder + "/" + name + ".log"; }

}  // namespace oakpier
