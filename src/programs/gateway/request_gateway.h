#pragma once

/// Request thread of the gateway: receives caller requests, runs their queries over the leaf pool and answers
/// them.

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "coordination/serving/caller_authorization.h"
#include "coordination/serving/leaf_assignment.h"
#include "coordination/serving/query.h"
#include "coordination/serving/shard_owners.h"
#include "programs/gateway/decision_timer.h"
#include "programs/gateway/gateway_metrics.h"
#include "programs/gateway/leaf_sender.h"
#include "programs/gateway/merge_client.h"
#include "programs/gateway/merge_service.h"
#include "programs/gateway/owner_client.h"
#include "programs/gateway/owner_service.h"
#include "programs/gateway/quarantine_gossip.h"
#include "programs/gateway/quota_enforcer.h"
#include "programs/gateway/request_log.h"
#include "protocol/serving/header_names.h"
#include "state/published.h"
#include "transport/serving/http_service.h"
#include "transport/serving/leaf_pool.h"

namespace oakpier::serving {

/// Minimum fleet size that is assumed until membership is stable. Also the minimum number of daemons among
/// which the slack of the fleet's retry limit is divided, except for the budgets of owners.
inline constexpr std::size_t kDefaultDaemons = 12;

/// Assumption about the daemons that share leafs until peers are known.
inline FleetParameters defaultSharingDaemons() {
  FleetParameters daemons;
  daemons.planned = kDefaultDaemons;
  return daemons;
}

class RequestGateway : public RequestHandler {
 public:
  /// `ownerBudgets`: retry budgets for shards that this daemon owns; `queryContext` has those for its own
  /// queries.
  RequestGateway(boost::asio::io_context& context, const HeaderNames& names,
                 Published<ServingView>& published, const Published<ConfigurationProof>& proof,
                 const Endpoint& self, QueryContext queryContext, RetryBudgets& ownerBudgets,
                 const FrameSender& sendFrame);

  std::function<void()> onRequest(HttpRequest request, ResponseWriter writer) override;

  /// Call after a new view was published.
  void onView();
  /// Takes effect with the next call of `onView`.
  void setWarmupTolerance(const WarmupTolerance& tolerance) { daemons_.warmup = tolerance; }
  void setAuthorization(const AuthorizationSettings& settings) { authorization_ = settings; }
  void setQuotaTolerance(const QuotaTolerance& tolerance) { quota_.setTolerance(tolerance); }
  /// `bytes`: memory of replies on all connections to leafs.
  void setReplyMemory(std::size_t bytes) { pool_.memory().setLimit(bytes); }
  const ReceiveMemory& replyMemory() const { return pool_.memory(); }
  /// `suspected`: all daemons that the membership protocol suspects.
  void setSuspectedDaemons(const std::vector<Endpoint>& suspected) { quota_.setSuspected(suspected); }
  /// `handler` is called at most once, when a caller is first refused because no configuration is known.
  void setOnConfigurationNeeded(std::function<void()> handler) {
    onConfigurationNeeded_ = std::move(handler);
  }
  /// `planned`: the number of daemons assumed to share each leaf's connections. `membershipStable`:
  /// whether `planned` is reliable.
  void setDaemons(const DaemonGroup& daemons, std::size_t planned, bool membershipStable);
  /// `sender` may be this daemon itself.
  void onFrame(const Endpoint& sender, const PeerEnvelope& envelope);
  /// `envelope` could not be handed to the network.
  void onUndeliverable(const PeerEnvelope& envelope);
  /// Requests of peers in progress.
  std::size_t inProgressForPeers() const { return ownerService_.inProgress() + mergeService_.inProgress(); }
  const QuarantineGossipCounters& quarantineCounters() const { return quarantineGossip_.counters(); }
  /// Number of fingerprints of requests that are currently rejected for crashing leafs.
  std::size_t quarantinedRequests() const;
  const RequestCounters& counters() const { return counters_; }
  QuotaMetrics quotaMetrics() const { return quota_.metrics(); }
  const LeafPoolCounters& poolCounters() const { return pool_.counters(); }
  const OwnerClientCounters& ownerCounters() const { return ownerClient_.counters(); }
  std::uint64_t partsServed() const { return ownerService_.partsServed(); }
  const MergeClientCounters& mergeCounters() const { return mergeClient_.counters(); }
  std::uint64_t partsMerged() const { return mergeService_.partsMerged(); }
  std::uint64_t logLinesSuppressed() const {
    return log_.linesSuppressed() + ownerService_.logLinesSuppressed();
  }

 private:
  /// Registers the leafs of delegated shards that this daemon does not consider its own: the requester's
  /// member table may differ from that of this daemon.
  void acceptDelegatedShards(const OwnerWork& work);
  struct ActiveQuery;
  struct IncomingRequest;
  using ActivePointer = std::shared_ptr<ActiveQuery>;

  // From the arrival of a request to the start of its query, in request_intake.cpp. The first three return
  // false if they have answered the request.
  bool findRoute(IncomingRequest& incoming);
  bool identifyCaller(IncomingRequest& incoming);
  bool admit(IncomingRequest& incoming);
  void rejectCaller(const IncomingRequest& incoming, AuthorizationError problem);
  void onQuotaDecision(IncomingRequest& incoming, const QuotaDecision& decision);
  void onCallerDisconnected(IncomingRequest& incoming);
  void begin(IncomingRequest& incoming);

  /// Refuses a request before its query starts. `route` is empty if no configuration is known.
  void refuse(const ResponseWriter& writer, const LoggedRequest& request, const std::string& route,
              LossCause cause, Duration retryAfter);
  /// Answers a request that has crashed leafs and may not be sent now; returns false if it may be sent.
  bool rejectQuarantined(const ResponseWriter& writer, const LoggedRequest& request, const Route& route,
                         const RequestQuarantine::Assessment& assessment);
  /// The deadline that the caller sent, limited by the route's timeout.
  Moment deadlineOf(const HttpRequest& request, const Route& route, Moment now) const;

  // Applies the actions of a running query, in request_queries.cpp.
  void apply(const ActivePointer& active, QueryActions actions);
  void send(const ActivePointer& active, const SendAction& action);
  void delegate(const ActivePointer& active, const std::vector<DelegateAction>& delegations);
  void sendToMergeServers(const ActivePointer& active, const std::vector<SendAction>& sends);
  void onOutcome(const ActivePointer& active, ExchangeId exchange, const LeafOutcome& outcome);
  void answer(const ActivePointer& active, const FinalAnswer& answer);
  void countDecisions(const RequestTrace& trace);
  void armTimer(const ActivePointer& active);

  /// Records evidence against the requests that were in progress at a leaf that crashed, except those that
  /// another leaf has answered.
  void onLeafCrash(const LeafEntry& leaf, const std::vector<std::shared_ptr<RequestRecord>>& inProgress);
  /// Closes connections to leafs that are no longer assigned to this daemon. Requests queued for leafs that
  /// still accept requests are sent first.
  void retainConnections(const LeafAssignment& assignment);
  /// Opens connections to assigned leafs before requests need them.
  void preconnect(const LeafAssignment& assignment);

  boost::asio::io_context& context_;
  const HeaderNames& names_;
  Published<ServingView>& published_;
  const Published<ConfigurationProof>& proof_;
  AuthorizationSettings authorization_;
  RequestQuarantine quarantine_;
  QueryContext queryContext_;
  LeafRegistry& leafs_;
  LeafPool pool_;
  std::shared_ptr<const ServingView> view_;
  Endpoint self_;
  LeafSender sender_;
  ShardOwners owners_;
  OwnerClient ownerClient_;
  OwnerService ownerService_;
  MergeServerSelector mergeServers_;
  MergeClient mergeClient_;
  MergeService mergeService_;
  QuarantineGossip quarantineGossip_;
  QuotaEnforcer quota_;
  FleetParameters daemons_ = defaultSharingDaemons();
  bool membershipStable_ = false;
  std::function<void()> onConfigurationNeeded_;
  RequestCounters counters_;
  RequestLog log_{RequestLogSettings{}};
};

}  // namespace oakpier::serving
