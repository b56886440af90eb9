#pragma once

/// Simulates a deployment on loopback: real gateway processes between simulated clients, leafs and store.

#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "fleet/process.h"
#include "platform_model/deployment.h"
#include "platform_model/fault_schedule.h"
#include "platform_model/leaf_standin.h"
#include "platform_model/model_gateway.h"
#include "platform_model/observations.h"
#include "platform_model/store_standin.h"
#include "transport/serving/source_client.h"

namespace oakpier::serving::model {

struct DaySettings {
  std::string gatewayProgram;
  /// Directory for settings files and logs.
  std::string folder;
  Duration length = std::chrono::seconds(6);
  std::uint64_t seed = 1;
  /// A fixed sequence of disturbances: a leaf drains, another stops answering, the store is down and compacts
  /// its history, the configuration changes, one gateway receives invalid settings, another is restarted.
  bool disturbances = true;
  /// The gateways' standard output is a full pipe that is never read.
  bool stalledOutput = false;
  /// Clients repeatedly send requests that crash each leaf that runs them, to random gateways.
  bool crashingRequests = false;
  /// Random faults as drawn from `seed`, see fault_schedule.h.
  bool faults = false;
  /// The store is restored from backups; requires `faults`.
  bool restorations = false;
  /// Gateways are killed and started again under faults of their environment; requires `faults`.
  bool processFaults = false;
  /// The leafs' connection limits are too low for all gateways, so that shards must be delegated to owners.
  /// Without this, none may be delegated. Not checked in runs with `faults`.
  bool expectDelegation = false;
};

struct ClassResult {
  std::size_t sent = 0;
  std::size_t answered = 0;
  std::size_t partial = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;
  std::size_t inTarget = 0;
};

class PlatformDay {
 public:
  PlatformDay(Deployment deployment, DaySettings settings);
  ~PlatformDay();

  /// Starts all processes and waits until every gateway is ready. Returns an error, or an empty string.
  std::string start();
  /// Runs the traffic with its disturbances and faults, then stops the gateways and makes the final checks.
  void run();
  void report(std::ostream& out) const;
  /// No violation was observed, at least one request of each class was answered, service recovered after the
  /// last fault, and shards were delegated as `expectDelegation` requires.
  bool passed() const;
  /// Prints the gateways' addresses and an example request.
  void printAddresses(std::ostream& out) const;
  /// Serves without generated traffic until the process is terminated.
  void serveForever() { context_.run(); }

 private:
  struct Gateway;
  struct Client;

  void addLeaf(const std::string& service, const std::string& zone);
  void publish(const LeafStandin& leaf);
  void startGateway(Gateway& gateway);
  /// Records a violation if the gateway's process has ended without an order.
  void checkEnd(Gateway& gateway);
  void fetchMetrics();
  bool allReady();
  void runFor(Duration duration);
  void scheduleRequests(std::size_t classNumber);
  void sendRequest(std::size_t classNumber);
  void onReply(std::size_t classNumber, const std::string& id, Moment sentAt,
               const std::optional<HttpReply>& reply);
  void check(const RequestClass& requestClass, const std::string& id, const HttpReply& reply);
  std::shared_ptr<Client> clientOf(Gateway& gateway);
  void after(Duration delay, std::function<void()> action);
  void scheduleDisturbances();
  /// Sends the request periodically, each time under a new id.
  void repeatCrashingRequest(const std::string& target);
  void sendCrashingRequest(const std::string& target, Gateway& gateway);
  void scheduleFaults();
  void scheduleRestorations();
  void scheduleProcessFaults();
  /// Kills the gateway and starts it again under the fault.
  void apply(const ProcessFault& fault);
  /// Checks that every gateway that had time to recover uses the newest configuration.
  void checkConfigurations();
  void apply(const Fault& fault);
  void stopGateway(Gateway& gateway);
  void killGateway(Gateway& gateway, Duration downFor);
  void pauseGateway(Gateway& gateway, Duration duration);
  /// Polls until the gateway has exited, then restarts it.
  void restartAfterExit(Gateway& gateway);
  void checkGateways();
  /// No fault has hit it for long enough that it has the state of its peers.
  bool isUpToDate(const Gateway& gateway) const;

  Deployment deployment_;
  DaySettings settings_;
  RandomEngine random_;
  boost::asio::io_context context_;
  Observations observations_;
  StoreStandin store_;
  Endpoint storeAddress_;
  std::vector<std::unique_ptr<LeafStandin>> leafs_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
  std::vector<ClassResult> results_;
  std::set<std::string> nonIdempotentIds_;
  std::set<std::string> shards_;
  std::uint64_t nextRequest_ = 1;
  std::size_t pendingRequests_ = 0;
  std::size_t metricsFetched_ = 0;
  /// The first gateway has delegated shards to their owners.
  bool delegationObserved_ = false;
  bool trafficActive_ = false;
  std::uint64_t configurationVersion_ = 1;
  unsigned storeOutages_ = 0;
  /// Requests sent, and those of them answered, in the time at the end in which recovery is checked.
  std::size_t sentAfterFaults_ = 0;
  std::size_t answeredAfterFaults_ = 0;
  Moment faultFreeFrom_ = kNever;
};

}  // namespace oakpier::serving::model
