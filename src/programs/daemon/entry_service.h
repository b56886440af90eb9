#pragma once

/// The caller interface: validates and admits a request, and runs its state machine on the calling HTTP
/// thread until it is answered.

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>

#include "coordination/admission.h"
#include "coordination/entry_query.h"
#include "coordination/repeat_guard.h"
#include "oakpier/caller.pb.h"
#include "programs/daemon/daemon_metrics.h"
#include "programs/daemon/daemon_settings.h"
#include "programs/daemon/mailbox.h"
#include "state/published.h"

namespace oakpier {

class EntryService : public Caller {
 public:
  using Sender = std::function<void(const Endpoint& to, PeerEnvelope envelope)>;

  EntryService(const DaemonSettings& settings, std::uint64_t incarnation, const Published<RoutingView>& view,
               DaemonMetrics& metrics, Sender sender);

  void Query(google::protobuf::RpcController* controller, const QueryRequest* request, QueryAnswer* answer,
             google::protobuf::Closure* done) override;

  /// Results for a query of this daemon; discarded if the query has ended.
  void onResults(const Endpoint& owner, ResultBatch results);
  /// A reply to `reserve` from a guardian: a daemon that remembers the ids of non-repeatable requests.
  void onVerdict(const Endpoint& guardian, const ReserveReply& reply);

  /// Refuses all queries that arrive later.
  void refuseNew() { stopping_ = true; }
  std::uint32_t inFlight() const { return admission_.inFlight(); }

 private:
  /// A message from a peer for one query.
  struct Delivery {
    Endpoint sender;
    std::variant<ResultBatch, ReserveReply> content;
  };
  using Inbox = Mailbox<Delivery>;

  /// Fills in defaults and validates the request; returns an error if it cannot be run.
  Error prepare(const RoutingView& view, QueryRequest& request, const ServiceEntry*& service,
                const ClassEntry*& priorityClass) const;
  void refuse(QueryAnswer& answer, const Error& error, Duration retryAfter) const;
  void run(QueryContext context, QueryAnswer& answer);
  void runQuery(QueryContext context, Inbox& inbox, QueryAnswer& answer);
  /// Reserves the id of a non-repeatable request with a majority of its guardians before it runs.
  Reservation::State reserve(const QueryContext& context, const std::vector<Endpoint>& guardians,
                             Inbox& inbox);
  void release(const QueryContext& context, const std::vector<Endpoint>& guardians);
  PeerEnvelope envelopeWith(std::uint32_t timeToLiveMs) const;
  void deliver(const std::string& workId, Delivery delivery);
  void apply(QueryActions actions);
  std::shared_ptr<Inbox> openInbox(const std::string& workId);
  void closeInbox(const std::string& workId);
  ServiceRuntime& runtimeOf(const ServiceEntry& service);
  void recordAnswer(const QueryRequest& request, const QueryAnswer& answer, Duration elapsed);

  std::string address_;
  std::uint64_t incarnation_;
  QueryPolicy policy_;
  const Published<RoutingView>& view_;
  DaemonMetrics& metrics_;
  Sender sender_;
  Admission admission_;
  OwnerHealth ownerHealth_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> nextWork_{1};
  std::mutex inboxMutex_;
  std::unordered_map<std::string, std::shared_ptr<Inbox>> inboxes_;
  std::mutex runtimeMutex_;
  std::unordered_map<std::string, std::unique_ptr<ServiceRuntime>> runtimes_;
};

}  // namespace oakpier
