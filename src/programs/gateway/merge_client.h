#pragma once

/// Client of merge servers: sends requests for leafs in another zone to a merge server there and passes the
/// outcomes to the queries. Runs on the request thread.
///
/// Invariant: an answer is passed to its query only if all earlier answers of the same job were. A merge
/// server leaves out records that its earlier answers already outrank, so an answer that depends on a lost
/// frame is incomplete and is reported as no answer.

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
  /// Requests to leafs that were sent through a merge server.
  std::uint64_t parts = 0;
  /// Of these, the ones without a result in time.
  std::uint64_t expired = 0;
  /// Answers dropped because they depend on a lost frame.
  std::uint64_t incomplete = 0;
};

class MergeClient {
 public:
  /// Receives outcomes that must be processed together.
  using Listener = std::function<void(const std::vector<ExchangeOutcome>&)>;
  struct RequestParameters {
    std::shared_ptr<const HttpRequest> request;
    /// Held until the last result.
    std::shared_ptr<const Route> route;
    /// Request priority: the tenant's rank, or the route's if the tenant has none; 0 is the most urgent.
    unsigned rank = 0;
    Moment leafDeadline{};
    /// When the query next makes a decision if no outcome arrives.
    Moment decidesAt{};
    std::shared_ptr<const Listener> listener;
  };

  MergeClient(boost::asio::io_context& io, QueryContext& context, MergeServerSelector& mergeServers,
              FrameSender sendFrame);

  /// `sends` belong to one query and each name a merge server.
  void send(const std::vector<SendAction>& sends, const RequestParameters& parameters);
  /// Cancels the exchanges that were sent to merge servers and ignores others. Their results still update
  /// the leaf status.
  void cancel(const std::vector<ExchangeId>& exchanges);
  void onResults(const Endpoint& mergeServer, const MergeResults& results);
  void onUndeliverable(const MergeWork& work);
  const MergeClientCounters& counters() const { return counters_; }

 private:
  /// The requests of one `send` call that one merge server handles.
  struct MergeJob {
    Endpoint mergeServer;
    std::shared_ptr<const Route> route;
    unsigned answersReceived = 0;
  };
  struct Pending {
    std::shared_ptr<MergeJob> job;
    std::shared_ptr<LeafStatus> leaf;
    Moment startedAt{};
    Moment expiresAt{};
    /// Null once the exchange has been cancelled.
    std::shared_ptr<const Listener> listener;
  };

  /// Returns true if the answers of the frame are complete: their exchanges are pending and all earlier
  /// answers of the job were received. Then counts them as received.
  bool acceptAnswers(const MergeResults& results);
  /// Updates the leaf status and latency statistics from the result.
  void recordResult(const MergeResult& result, const Pending& pending, Moment now);
  /// Removes and returns the exchange; empty if it is not pending.
  std::optional<Pending> removePending(ExchangeId exchange);
  /// Ends an exchange for which the merge server sent no result.
  void failPending(ExchangeId exchange, LeafOutcome::Kind kind);
  void expire();
  void armTimer();

  QueryContext& context_;
  MergeServerSelector& mergeServers_;
  FrameSender sendFrame_;
  /// Random number that distinguishes this process from earlier ones at its address.
  std::uint64_t runId_;
  std::unordered_map<ExchangeId, Pending> pending_;
  std::set<std::pair<Moment, ExchangeId>> expiries_;
  DecisionTimer timer_;
  MergeClientCounters counters_;
};

}  // namespace oakpier::serving
