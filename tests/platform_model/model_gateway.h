#pragma once

/// A gateway process of a simulated deployment: how it is started, under which faults of its environment, and
/// whether it has ended without an order.

#include <memory>
#include <optional>
#include <string>

#include "fleet/process.h"
#include "platform_model/fault_schedule.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier::serving::model {

struct ModelGateway {
  ModelGateway() = default;
  ModelGateway(const ModelGateway&) = delete;
  ModelGateway& operator=(const ModelGateway&) = delete;
  ~ModelGateway();

  std::string name;
  std::string zone;
  Endpoint callerAddress;
  Endpoint readinessAddress;
  std::string settingsFile;
  std::unique_ptr<Process> process;
  /// It was stopped or killed, and is not restarted yet.
  bool stopping = false;
  bool paused = false;
  /// The process has answered a request, so its signal handlers are installed.
  bool answered = false;
  /// When it was last stopped, killed, restarted or resumed.
  Moment lastFaultAt{};
  /// When it was last killed or resumed: requests sent before may remain unanswered.
  Moment connectionsLostAt{};
  /// The fault under which it is started next.
  std::optional<ProcessFaultKind> nextStart;

  /// Starts the program, with its output to a file in the folder. `stalledOutput`: to a full pipe that is
  /// never read.
  void start(const std::string& program, const std::string& folder, bool stalledOutput);
  /// Ends the fault under which it was started, if that lasts.
  void endStartFault();
  /// If the process has ended without an order, tells how, with the end of its output. Once for each process.
  std::optional<std::string> unexpectedEnd(const std::string& folder);

 private:
  std::string outputFile(const std::string& folder) const { return folder + "/" + name + ".log"; }
  std::string stalledPipe(const std::string& folder);

  /// Pipes that stay open, and the listening socket that holds the gateway's address; -1: none.
  int stalledPipe_ = -1;
  int heldAddress_ = -1;
  /// Settings to write back; empty if they are complete.
  std::string completeSettings_;
  bool endReported_ = false;
};

}  // namespace oakpier::serving::model
