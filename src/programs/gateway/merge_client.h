#pragma once

/// The asking side of merging in other zones: sends requests for leafs there to the daemon that merges, and
/// gives the queries what came of them. Runs on the request thread.
///
/// Invariant: an answer is given to its query only if all earlier answers of the same work were; one that
/// relies on a lost frame is no answer.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/serving/merge_server_selector.h"
#include "coordination/serving/query_policy.h"
#include "oakpier/peer.pb.h"
#include "programs/gateway/decision_timer.h"
#include "programs/gateway/owner_client.h"

namespace oakpier::serving {

struct MergeClientCounters {
  /// Requests to leafs that went by way of a merging daemon.
  std::uint64_t parts = 0;
  /// Of these, without a result in time.
  std::uint64_t expired = 0;
  /// Answers that relied on a lost one.
  std::uint64_t incomplete = 0;
};

class MergeClient {
 public:
  /// Outcomes that must be taken in together.
  using Listener = std::function<void(const std::vector<ExchangeOutcome>&)>;
  struct Order {
    std::shared_ptr<const HttpRequest> request;
    /// Kept until the last result.
    std::shared_ptr<const Route> route;
    /// Of the caller: its tenant's, or else the route's.
    unsigned rank = 0;
    Moment leafDeadline{};
    /// When the query decides next if nothing comes.
    Moment decidesAt{};
    std::shared_ptr<const Listener> listener;
  };

  MergeClient(boost::asio::io_context& io, QueryContext& context, MergeServerSelector& mergeServers,
              FrameSender sendFrame);

  /// `sends` are those of one query that have a merge server.
  void send(const std::vector<SendAction>& sends, const Order& order);
  /// Withdraws those of the exchanges that went to merging daemons. What becomes of them is still noted.
  void cancel(const std::vector<ExchangeId>& exchanges);
  void onResults(const Endpoint& mergeServer, const MergeResults& results);
  void onUndeliverable(const MergeWork& work);
  const MergeClientCounters& counters() const { return counters_; }

 private:
  /// What one merging daemon does for one query.
  struct Work {
    Endpoint mergeServer;
    std::shared_ptr<const Route> route;
    unsigned answersReceived = 0;
  };
  struct Pending {
    std::shared_ptr<Work> work;
    std::shared_ptr<LeafStatus> leaf;
    Moment startedAt{};
    Moment expiresAt{};
    /// Null once the query no longer wants the outcome.
    std::shared_ptr<const Listener> listener;
  };

  /// True when every answer of the frame and all that it relies on were or can be given to the query.
  bool countIn(const MergeResults& results);
  /// Records what the result tells of the leaf.
  void learn(const MergeResult& result, const Pending& pending, Moment now);
  /// Forgets the exchange; empty when it is not known.
  std::optional<Pending> take(ExchangeId exchange);
  /// Ends an exchange of which the merging daemon told nothing.
  void endWithoutResult(ExchangeId exchange, LeafOutcome::Kind kind);
  void expire();
  void armTimer();

  QueryContext& context_;
  MergeServerSelector& mergeServers_;
  FrameSender sendFrame_;
  /// Tells this process from earlier ones at its address.
  std::uint64_t run_;
  std::unordered_map<ExchangeId, Pending> pending_;
  std::set<std::pair<Moment, ExchangeId>> expiries_;
  DecisionTimer timer_;
  MergeClientCounters counters_;
};

}  // namespace oakpier::serving
