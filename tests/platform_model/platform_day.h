#pragma once

/// A day of one deployment on loopback: real gateway processes between the model's clients, leafs and store.

#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "fleet/process.h"
#include "platform_model/deployment.h"
#include "platform_model/fault_schedule.h"
#include "platform_model/leaf_standin.h"
#include "platform_model/observations.h"
#include "platform_model/store_standin.h"
#include "transport/serving/source_client.h"

namespace oakpier::serving::model {

struct DaySettings {
  std::string gatewayProgram;
  /// For settings files and logs.
  std::string folder;
  Duration length = std::chrono::seconds(6);
  std::uint64_t seed = 1;
  /// With a leaf that leaves, one that falls silent, a store that is down for a while and forgets its
  /// history, a new configuration, and a gateway that is stopped and started again.
  bool troubles = true;
  /// Nobody reads the gateways' output, and its pipe is full from the start.
  bool stalledOutput = false;
  /// Now and then come requests that end each leaf that runs them, again and again, at any gateway.
  bool endingRequests = false;
  /// Random faults, of gateways, leafs, the store and requests, in series that overlap.
  bool faults = false;
  /// The store goes away and comes back from older copies of its records; goes with `faults`.
  bool restorations = false;
  /// The shards' connections do not suffice for all gateways, so that shards must be left to owners.
  bool expectOwners = false;
};

struct ClassResult {
  std::size_t asked = 0;
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

  /// Starts everything and waits until every gateway is ready; a text when that does not come about.
  std::string start();
  /// Plays the traffic and the troubles.
  void play();
  void report(std::ostream& out) const;
  /// No promise was broken and every class of request was served.
  bool passed() const;
  /// Addresses for a person to try.
  void printAddresses(std::ostream& out) const;
  /// Serves on without traffic of its own until the process is stopped.
  void hold() { context_.run(); }

 private:
  struct Gateway;
  struct Client;

  void addLeaf(const std::string& service, const std::string& zone);
  void publish(const LeafStandin& leaf);
  void startGateway(Gateway& gateway);
  /// A full pipe that nobody reads; returns its path.
  std::string stalledPipe(const Gateway& gateway);
  void fetchMetrics();
  bool allReady();
  void runFor(Duration duration);
  void scheduleRequests(std::size_t classNumber);
  void ask(std::size_t classNumber);
  void onReply(std::size_t classNumber, const std::string& id, Moment askedAt,
               const std::optional<HttpReply>& reply);
  void check(const RequestClass& requestClass, const std::string& id, const HttpReply& reply);
  std::shared_ptr<Client> clientOf(Gateway& gateway);
  void after(Duration delay, std::function<void()> action);
  void planTroubles();
  /// Asks for the same again and again, under new ids.
  void askEndingAgain(const std::string& target);
  void askEnding(const std::string& target, Gateway& gateway);
  void planFaults();
  void planRestorations();
  /// Every gateway uses the operator's newest configuration.
  void checkConfigurations();
  void apply(const Fault& fault);
  void stopGateway(Gateway& gateway);
  void killGateway(Gateway& gateway, Duration downFor);
  void pauseGateway(Gateway& gateway, Duration duration);
  /// Starts a gateway that has ended as it was told to.
  void startWhenEnded(Gateway& gateway);
  void checkGateways();
  /// Its process ran undisturbed for long enough to know what the others know.
  bool inTouch(const Gateway& gateway) const;

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
  std::set<std::string> onceIds_;
  std::set<std::string> shards_;
  std::uint64_t nextRequest_ = 1;
  std::size_t waiting_ = 0;
  std::size_t metricsFetched_ = 0;
  /// The front gateway has left shards to their owners.
  bool ownersUsed_ = false;
  std::vector<int> pipes_;
  bool playing_ = false;
  std::uint64_t configurationVersion_ = 1;
  unsigned storeOutages_ = 0;
  /// Asked and answered in the calm part at the end.
  std::size_t askedInCalm_ = 0;
  std::size_t answeredInCalm_ = 0;
  Moment calmFrom_ = kNever;
};

}  // namespace oakpier::serving::model
