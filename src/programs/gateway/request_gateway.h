#pragma once

/// The request thread's side of the gateway: takes callers' requests, runs their queries over the leaf pool,
/// answers.

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
#include "programs/gateway/quarantine_link.h"
#include "programs/gateway/quota_link.h"
#include "programs/gateway/request_log.h"
#include "protocol/serving/header_names.h"
#include "state/published.h"
#include "transport/serving/http_service.h"
#include "transport/serving/leaf_pool.h"

namespace oakpier::serving {

/// Until the others had time to be found, this many daemons are assumed.
inline constexpr std::size_t kUsualDaemons = 12;

/// What is assumed of the daemons that share leafs until any are known.
inline SharingDaemons sharingUntilKnown() {
  SharingDaemons daemons;
  daemons.planned = kUsualDaemons;
  return daemons;
}

class RequestGateway : public RequestHandler {
 public:
  /// `ownerBudgets`: those of a shard's owner, while `queryContext` has those of every daemon.
  RequestGateway(boost::asio::io_context& context, const HeaderNames& names,
                 Published<ServingView>& published, const Published<ConfigurationProof>& proof,
                 const Endpoint& self, QueryContext queryContext, ExtraSendBudgets& ownerBudgets,
                 const FrameSender& sendFrame);

  std::function<void()> onRequest(HttpRequest request, ResponseWriter writer) override;

  /// A new view was published.
  void onView();
  /// Takes effect with the next view.
  void setWarmupTolerance(const WarmupTolerance& tolerance) { daemons_.warmup = tolerance; }
  void setAuthorization(const AuthorizationSettings& settings) { authorization_ = settings; }
  void setQuotaTolerance(const QuotaTolerance& tolerance) { quota_.setTolerance(tolerance); }
  /// All daemons that are suspected to have ended.
  void setSuspectedDaemons(const std::vector<Endpoint>& suspected) { quota_.setSuspected(suspected); }
  /// Called once, when a caller is refused as no configuration is known.
  void setOnStateWanted(std::function<void()> handler) { onStateWanted_ = std::move(handler); }
  /// `planned`: how many daemons share each leaf's connections. `settled`: that can be relied on.
  void setDaemons(const DaemonGroup& daemons, std::size_t planned, bool settled);
  /// A frame of another daemon, or of this one, about shards.
  void onFrame(const Endpoint& sender, const PeerEnvelope& envelope);
  /// A frame could not be handed to the network.
  void onUndeliverable(const PeerEnvelope& envelope);
  /// Requests of other daemons that this one works on.
  std::size_t servedForOthers() const { return ownerService_.inProgress() + mergeService_.inProgress(); }
  const QuarantineLinkCounters& quarantineCounters() const { return quarantineLink_.counters(); }
  /// Requests that are rejected at present, as leafs end under them.
  std::size_t condemnedRequests() const;
  const RequestCounters& counters() const { return counters_; }
  QuotaFigures quotaFigures() const { return quota_.figures(); }
  const LeafPoolCounters& poolCounters() const { return pool_.counters(); }
  const OwnerClientCounters& ownerCounters() const { return ownerClient_.counters(); }
  std::uint64_t partsServed() const { return ownerService_.partsServed(); }
  const MergeClientCounters& mergeCounters() const { return mergeClient_.counters(); }
  std::uint64_t partsMerged() const { return mergeService_.partsMerged(); }
  std::uint64_t logLinesLeftOut() const { return log_.linesLeftOut() + ownerService_.logLinesLeftOut(); }

 private:
  /// Takes up the shards that the asking daemon takes this one for the owner of: member tables may differ.
  void serveForOther(const OwnerWork& work);
  struct ActiveQuery;
  struct ArrivedRequest;
  using ActivePointer = std::shared_ptr<ActiveQuery>;

  // From a request's arrival to the start of its query: request_intake.cpp. The first three return false once
  // they have answered the request.
  bool findRoute(ArrivedRequest& arrived);
  bool identifyCaller(ArrivedRequest& arrived);
  bool admit(ArrivedRequest& arrived);
  void rejectCaller(const ArrivedRequest& arrived, AuthorizationProblem problem);
  void onQuota(ArrivedRequest& arrived, const QuotaDecision& decision);
  void onCallerGone(ArrivedRequest& arrived);
  void begin(ArrivedRequest& arrived);

  /// Answers before there is a query. `route`: empty when no configuration is known.
  void refuse(const ResponseWriter& writer, const LoggedRequest& request, const std::string& route,
              LossCause cause, Duration retryAfter);
  /// Answers a request under which leafs have ended and which may not be sent now. False when it may.
  bool rejectEndingLeafs(const ResponseWriter& writer, const LoggedRequest& request, const Route& route,
                         const RequestQuarantine::Judgement& judgement);
  /// The caller's own, and not beyond the route's timeout.
  Moment deadlineOf(const HttpRequest& request, const Route& route, Moment now) const;

  // A query and what it asks of the real world: request_queries.cpp.
  void apply(const ActivePointer& active, QueryActions actions);
  void send(const ActivePointer& active, const SendAction& action);
  void relay(const ActivePointer& active, const std::vector<RelayAction>& relays);
  /// Sends by way of merging daemons.
  void sendMerged(const ActivePointer& active, const std::vector<SendAction>& sends);
  void onOutcome(const ActivePointer& active, ExchangeId exchange, const LeafOutcome& outcome);
  void answer(const ActivePointer& active, const FinalAnswer& answer);
  void countDecisions(const RequestTrace& trace);
  void armTimer(const ActivePointer& active);

  /// Takes up evidence against requests under which a leaf's process has ended.
  void onLeafEnd(const LeafEntry& leaf, const std::vector<std::shared_ptr<RequestRecord>>& under);
  /// Ends the use of connections to leafs that are no longer assigned.
  void retainConnections(const LeafAssignment& assignment);
  /// Opens the first connections to leafs before requests need them.
  void openAhead(const LeafAssignment& assignment);

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
  QuarantineLink quarantineLink_;
  QuotaLink quota_;
  SharingDaemons daemons_ = sharingUntilKnown();
  bool settled_ = false;
  std::function<void()> onStateWanted_;
  RequestCounters counters_;
  RequestLog log_{RequestLogSettings{}};
};

}  // namespace oakpier::serving
