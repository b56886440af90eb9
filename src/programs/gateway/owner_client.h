#pragma once

/// The asking side of the hop between daemons: sends shards of callers' requests to their owners and gives
/// their results to the queries. Runs on the request thread.

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

/// Sends a frame to another daemon, or to this one. Thread-safe.
using FrameSender = std::function<void(const Endpoint& to, PeerEnvelope envelope)>;

struct OwnerClientCounters {
  /// Shards left to owners.
  std::uint64_t parts = 0;
  /// Signs of life asked of silent owners.
  std::uint64_t probes = 0;
  /// Times that the zone was told of silent daemons.
  std::uint64_t silencesTold = 0;
  /// Frames that could not be handed to the network.
  std::uint64_t undeliverable = 0;
};

class OwnerClient {
 public:
  /// Gets what came in one frame together.
  using Listener = std::function<void(const std::vector<ExchangeOutcome>&)>;
  /// What the owners are told of a query.
  struct Order {
    std::shared_ptr<const HttpRequest> request;
    /// Owners need not refuse it, though leafs have ended under it.
    bool vetted = false;
    /// Kept until the last result.
    std::shared_ptr<const Route> route;
    /// Of the caller: its tenant's, or else the route's.
    unsigned rank = 0;
    Moment leafDeadline{};
    /// As in `PartDeadlines`.
    Moment lateRetryDeadline{};
    Moment answerBy{};
    std::shared_ptr<const Listener> listener;
  };

  OwnerClient(QueryContext& context, ShardOwners& owners, FrameSender sendFrame);

  void send(const std::vector<DelegateAction>& delegations, const Order& order);
  /// `daemons`: those of the zone. Asks the new ones for a sign of life, so that connections stand before
  /// work comes.
  void greet(const std::vector<Endpoint>& daemons);
  /// Withdraws those of the exchanges that were left to owners.
  void cancel(const std::vector<ExchangeId>& exchanges);
  void onResults(const Endpoint& owner, const OwnerResults& results);
  void onUndeliverable(const OwnerWork& work);
  /// Tells the other daemons of the zone which have fallen silent here, so that not each has to lose a query
  /// to find out.
  void tellOfSilence();
  void onSilentDaemons(const SilentDaemons& silent);
  const OwnerClientCounters& counters() const { return counters_; }

 private:
  struct Pending {
    Endpoint owner;
    Moment startedAt{};
    std::shared_ptr<const Route> route;
    std::shared_ptr<const Listener> listener;
  };

  void askForSignOfLife(const Endpoint& owner);
  void probeSilentOwners(Moment now);
  using Listeners = std::map<std::shared_ptr<const Listener>, std::vector<ExchangeOutcome>>;
  /// Adds what the result says to what its listener is told.
  void takeResult(const OwnerResult& result, Moment now, Listeners& listeners);

  QueryContext& context_;
  ShardOwners& owners_;
  FrameSender sendFrame_;
  /// Tells this process from earlier ones at its address.
  std::uint64_t run_;
  std::unordered_map<ExchangeId, Pending> pending_;
  std::set<Endpoint> greeted_;
  OwnerClientCounters counters_;
};

}  // namespace oakpier::serving
