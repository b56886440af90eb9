#pragma once

/// The caller interface: checks a request, admits it, and runs its state machine on the calling HTTP thread
/// until there is an answer.

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

  /// Results for a query of this daemon; those of ended queries are dropped.
  void onResults(const Endpoint& owner, ResultBatch results);
  /// A guardian's word on the id of a request not to be repeated.
  void onVerdict(const Endpoint& guardian, const ReserveReply& reply);

  /// From now on new queries are refused.
  void refuseNew() { stopping_ = true; }
  std::uint32_t inFlight() const { return admission_.inFlight(); }

 private:
  /// What other daemons sent for one query.
  struct Delivery {
    Endpoint sender;
    std::variant<ResultBatch, ReserveReply> content;
  };
  using Inbox = Mailbox<Delivery>;

  /// Fills in defaults; an error when the request cannot be run.
  Error prepare(const RoutingView& view, QueryRequest& request, const ServiceEntry*& service,
                const ClassEntry*& priorityClass) const;
  void refuse(QueryAnswer& answer, const Error& error, Duration retryAfter) const;
  void run(QueryContext context, QueryAnswer& answer);
  void runQuery(QueryContext context, Inbox& inbox, QueryAnswer& answer);
  /// For a request not to be repeated: has its id remembered by most of its guardians before it runs.
  Reservation::State reserve(const QueryContext& context, const std::vector<Endpoint>& guardians,
                             Inbox& inbox);
  void release(const QueryContext& context, const std::vector<Endpoint>& guardians);
  PeerEnvelope envelopeWith(std::uint32_t timeToLiveMs) const;
  void deliver(const std::string& workId, Delivery delivery);
  void carryOut(QueryActions actions);
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
