#pragma once

/// A small deployment on loopback: the platform stand-in, a stand-in for each leaf, and daemons, from an
/// example's files with all addresses moved to free ports.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/process.h"
#include "oakpier/caller.pb.h"
#include "oakpier/operator.pb.h"
#include "oakpier/platform.pb.h"
#include "oakpier/standin.pb.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier {

struct FleetOptions {
  /// Holds configuration.json and machines.json.
  std::string example;
  /// Holds the programs.
  std::string binaries;
  /// For logs and the moved files; made when absent.
  std::string workFolder;
  /// Further flags of every daemon.
  std::vector<std::string> daemonFlags;
  /// Leafs write their executions to files in the work folder.
  bool logExecutions = false;
  /// Further flags of every leaf stand-in.
  std::vector<std::string> leafFlags;
};

struct FleetDaemon {
  Endpoint caller;
  Endpoint operators;
  Endpoint peer;
  std::string zone;
  std::unique_ptr<Process> process;
};

struct FleetLeaf {
  std::string name;
  Endpoint address;
  std::uint32_t slots = 0;
  std::uint32_t maxConnections = 0;
  std::unique_ptr<Process> process;
};

class Fleet {
 public:
  /// Reads and moves the example; starts nothing.
  explicit Fleet(const FleetOptions& options);

  /// Starts everything and waits until every daemon is ready and knows all others. False after `limit`.
  bool start(Duration limit);

  void startPlatform();
  void startLeaf(std::size_t leaf);
  void startDaemon(std::size_t daemon);
  /// Until `daemon` is ready; false after `limit`.
  bool waitReady(std::size_t daemon, Duration limit) const;

  std::vector<FleetDaemon>& daemons() { return daemons_; }
  std::vector<FleetLeaf>& leaves() { return leaves_; }
  std::size_t leafNamed(const std::string& name) const;
  const Configuration& configuration() const { return configuration_; }
  const MachineList& machines() const { return machines_; }
  const Endpoint& platformAddress() const { return platformAddress_; }
  Process& platform() { return *platform_; }

  std::optional<QueryAnswer> query(std::size_t daemon, const QueryRequest& request) const;
  std::optional<StatusReply> status(std::size_t daemon, bool localOnly) const;
  std::optional<ApplyReply> apply(std::size_t daemon, const ApplyRequest& request) const;
  std::optional<Configuration> configurationAt(std::size_t daemon) const;
  std::optional<DrainReply> drain(std::size_t daemon, const std::string& leaf, bool drained) const;
  std::optional<ExecutionLog> executionLog(std::size_t leaf, bool totalsOnly) const;
  std::optional<LeafFaults> faultsOf(std::size_t leaf) const;
  bool changeFaults(std::size_t leaf, const std::function<void(LeafFaults&)>& change) const;
  bool setPlatformFaults(const PlatformFaults& faults) const;
  bool setMachines(const MachineList& machines) const;
  bool setPlatformConfiguration(const Configuration& configuration) const;
  /// Cuts `daemon` off from the peers given, on both ways.
  bool setPeerCuts(std::size_t daemon, const PeerCuts& cuts) const;
  /// What a leaf executed, over all its restarts; needs `logExecutions`.
  std::vector<Execution> loggedExecutions(std::size_t leaf) const;

 private:
  void moveAddresses();
  std::string log(const std::string& name) const;

  FleetOptions options_;
  Configuration configuration_;
  MachineList machines_;
  Endpoint platformAddress_;
  std::unique_ptr<Process> platform_;
  std::vector<FleetLeaf> leaves_;
  std::vector<FleetDaemon> daemons_;
};

/// Polls `condition` until it holds; false after `limit`.
bool waitUntil(const std::function<bool()>& condition, Duration limit);

/// The folder of the running program, where the other programs are too.
std::string ownFolder();

}  // namespace oakpier
