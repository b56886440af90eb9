#pragma once

/// Client of shard owners: delegates shards of caller requests to their owners and passes the results to the
/// queries. Runs on the request thread.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/serving/query_actions.h"
#include "coordination/serving/query_policy.h"
#include "coordination/serving/shard_owners.h"
#include "oakpier/peer.pb.h"

namespace oakpier::serving {

/// Sends a frame to a peer or to this daemon itself. Thread-safe.
using FrameSender = std::function<void(const Endpoint& to, PeerEnvelope envelope)>;

struct OwnerClientCounters {
  /// Shards delegated to owners.
  std::uint64_t parts = 0;
  /// Probes of unresponsive owners.
  std::uint64_t probes = 0;
  /// Reports of unresponsive peers to the zone.
  std::uint64_t unresponsiveReports = 0;
  /// Work frames, including probes, that could not be handed to the network.
  std::uint64_t undeliverable = 0;
};

class OwnerClient {
 public:
  /// Receives all outcomes of one frame together.
  using Listener = std::function<void(const std::vector<ExchangeOutcome>&)>;
  /// What all delegated shards of one request share.
  struct RequestParameters {
    std::shared_ptr<const HttpRequest> request;
    /// The requester has checked the request against its quarantine and runs it as a trial, so owners do not
    /// refuse it although it has crashed leafs.
    bool skipQuarantineCheck = false;
    /// Held until the last result.
    std::shared_ptr<const Route> route;
    /// Request priority: the tenant's rank, or the route's if the tenant has none; 0 is the most urgent.
    unsigned rank = 0;
    Moment leafDeadline{};
    /// As in `PartDeadlines`.
    Moment lateRetryDeadline{};
    Moment answerBy{};
    std::shared_ptr<const Listener> listener;
  };

  OwnerClient(QueryContext& context, ShardOwners& owners, FrameSender sendFrame);

  void send(const std::vector<DelegateAction>& delegations, const RequestParameters& parameters);
  /// `daemons`: all serving daemons of this daemon's zone, including itself. Probes the new ones, up to a
  /// maximum number, so that connections are established before work is sent.
  void probeNewPeers(const std::vector<Endpoint>& daemons);
  /// Cancels the exchanges that were delegated to owners and ignores others.
  void cancel(const std::vector<ExchangeId>& exchanges);
  void onResults(const Endpoint& owner, const OwnerResults& results);
  void onUndeliverable(const OwnerWork& work);
  /// Reports newly unresponsive peers to the responsive daemons of the last `probeNewPeers` call, so that not
  /// every daemon has to lose a query to detect them.
  void reportUnresponsivePeers();
  void onUnresponsivePeers(const SilentDaemons& unresponsive);
  const OwnerClientCounters& counters() const { return counters_; }

 private:
  struct Pending {
    Endpoint owner;
    Moment startedAt{};
    std::shared_ptr<const Route> route;
    std::shared_ptr<const Listener> listener;
  };

  void sendProbe(const Endpoint& owner);
  void probeUnresponsiveOwners(Moment now);
  using Listeners = std::map<std::shared_ptr<const Listener>, std::vector<ExchangeOutcome>>;
  /// Adds the outcome of a result to the outcomes for its listener.
  void collectResult(const OwnerResult& result, Moment now, Listeners& listeners);

  QueryContext& context_;
  ShardOwners& owners_;
  FrameSender sendFrame_;
  /// Random number that distinguishes this process from earlier ones at its address.
  std::uint64_t runId_;
  std::unordered_map<ExchangeId, Pending> pending_;
  std::set<Endpoint> probed_;
  OwnerClientCounters counters_;
};

}  // namespace oakpier::serving
