#pragma once

/// One oakpierd process: the entry, owner and control roles and their transports.

#include <memory>

#include "programs/daemon/control_loop.h"
#include "programs/daemon/daemon_metrics.h"
#include "programs/daemon/daemon_settings.h"
#include "programs/daemon/entry_service.h"
#include "programs/daemon/fault_service.h"
#include "programs/daemon/operator_service.h"
#include "programs/daemon/owner_worker.h"
#include "programs/daemon/platform_poller.h"
#include "transport/http_server.h"
#include "transport/peer_transport.h"

namespace oakpier {

class Daemon {
 public:
  explicit Daemon(const DaemonSettings& settings);

  /// Returns an error message if an address cannot be listened on, else an empty string. May be called again
  /// after an error; callers come last.
  std::string start();

  /// Begins a graceful shutdown: leaves the membership and refuses new queries.
  void beginStop();
  /// No work is in progress in the entry and owner roles, and leaving the membership has completed.
  bool idle() const;
  /// Calls received from callers, including refused ones.
  std::uint64_t callsBegun() const { return callerServer_.callsBegun(); }
  /// Refuses new connections of callers and waits until calls in progress are answered, for `limit` at most.
  void drainCallers(Duration limit);
  void stop();

 private:
  /// Listens for peers and starts the roles, once.
  std::string startInternals();
  void onEnvelope(PeerEnvelope envelope, bool stale);
  void onUndeliverable(const Endpoint& to, const PeerEnvelope& envelope);
  void refuseStale(const Endpoint& sender, const WorkBatch& work);
  void reply(const ReplyToEntry& reply);
  void addPages();
  DaemonGauges readGauges();

  DaemonSettings settings_;
  SelfMember self_;
  Published<RoutingView> view_;
  DaemonMetrics metrics_;
  PeerTransport peers_;
  ControlLoop control_;
  OwnerWorkers owners_;
  EntryService entry_;
  OperatorService operators_;
  FaultService faults_;
  PlatformPoller platform_;
  HttpServer callerServer_;
  HttpServer operatorServer_;
  std::atomic<bool> stopping_{false};
  bool internalsStarted_ = false;
};

}  // namespace oakpier
