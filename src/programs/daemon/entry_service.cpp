#include "programs/daemon/entry_service.h"

#include "programs/common/logging.h"
#include "protocol/rpc_codec.h"
#include "transport/http_server.h"

namespace oakpier {

namespace {

constexpr std::size_t kMaxIdLength = 128;
/// How often a waiting query checks whether its caller has disconnected.
constexpr Duration kCallerCheckPeriod = std::chrono::milliseconds(20);
/// A non-repeatable request is refused if too few guardians of its id reply within this time.
constexpr Duration kReservationTime = std::chrono::milliseconds(250);
constexpr std::uint32_t kCancelTimeToLiveMs = 1000;
constexpr Duration kRetryAfterNotReady = std::chrono::milliseconds(500);
/// Short, since another daemon can take the request immediately.
constexpr Duration kRetryAfterStopping = std::chrono::milliseconds(10);

RandomEngine& threadRandom() {
  thread_local RandomEngine engine{std::random_device{}()};
  return engine;
}

}  // namespace

EntryService::EntryService(const DaemonSettings& settings, std::uint64_t incarnation,
                           const Published<RoutingView>& view, DaemonMetrics& metrics, Sender sender)
    : address_(settings.peerAddress.text()),
      incarnation_(incarnation),
      policy_(settings.policy),
      view_(view),
      metrics_(metrics),
      sender_(std::move(sender)),
      admission_(settings.maxQueries, settings.admission) {}

void EntryService::Query(google::protobuf::RpcController* /*controller*/, const QueryRequest* request,
                         QueryAnswer* answer, google::protobuf::Closure* done) {
  const Moment arrivedAt = steadyNow();
  const std::shared_ptr<const RoutingView> view = view_.read();
  QueryContext context;
  context.request = *request;
  const ClassEntry* priorityClass = nullptr;
  answer->set_request_id(request->request_id());
  answer->set_configuration_revision(view->table->revision());
  const Error error = prepare(*view, context.request, context.service, priorityClass);
  if (stopping_) {
    refuse(*answer, makeError(ERROR_STOPPING, "this daemon is stopping; ask another one"),
           kRetryAfterStopping);
  } else if (error.code() == ERROR_NOT_READY) {
    refuse(*answer, error, kRetryAfterNotReady);
  } else if (error.code() != ERROR_NONE) {
    refuse(*answer, error, Duration(0));
  } else if (!admission_.admit(*priorityClass)) {
    refuse(*answer, makeError(ERROR_OVERLOADED, "class " + priorityClass->name + " gives way"),
           admission_.retryAfter());
  } else {
    context.view = view;
    context.priority = priorityClass->priority;
    context.arrivedAt = arrivedAt;
    context.deadline = arrivedAt + fromMilliseconds(context.request.deadline_ms());
    run(std::move(context), *answer);
    admission_.release(*priorityClass, steadyNow() - arrivedAt);
  }
  answer->set_answered_by(address_);
  recordAnswer(*request, *answer, steadyNow() - arrivedAt);
  done->Run();
}

Error EntryService::prepare(const RoutingView& view, QueryRequest& request, const ServiceEntry*& service,
                            const ClassEntry*& priorityClass) const {
  if (request.request_id().empty() || request.request_id().size() > kMaxIdLength) {
    return makeError(ERROR_INVALID_FIELD, "request_id must have 1 to 128 characters", "request_id");
  }
  if (!(request.minimum_coverage() >= 0 && request.minimum_coverage() <= 1)) {
    return makeError(ERROR_INVALID_FIELD, "minimum_coverage must be 0 to 1", "minimum_coverage");
  }
  if (!view.ready) {
    return makeError(ERROR_NOT_READY, "this daemon holds no configuration in force yet");
  }
  service = view.table->findService(request.service());
  if (service == nullptr) {
    return makeError(ERROR_UNKNOWN_SERVICE, "no service '" + request.service() + "'", "service");
  }
  priorityClass = view.table->findClass(request.priority_class());
  if (priorityClass == nullptr) {
    return makeError(ERROR_UNKNOWN_CLASS, "no class '" + request.priority_class() + "'", "priority_class");
  }
  const std::uint32_t maxDeadline = toMilliseconds(service->maxDeadline);
  if (request.deadline_ms() > maxDeadline) {
    return makeError(ERROR_INVALID_FIELD, "deadline_ms must be at most " + std::to_string(maxDeadline),
                     "deadline_ms");
  }
  if (request.deadline_ms() == 0) {
    request.set_deadline_ms(toMilliseconds(service->defaultDeadline));
  }
  if (request.max_rows() > service->maxRows) {
    return makeError(ERROR_INVALID_FIELD, "max_rows must be at most " + std::to_string(service->maxRows),
                     "max_rows");
  }
  if (request.max_rows() == 0) {
    request.set_max_rows(service->maxRows);
  }
  return {};
}

void EntryService::refuse(QueryAnswer& answer, const Error& error, Duration retryAfter) const {
  answer.set_outcome(OUTCOME_NOT_RUN);
  answer.set_retry_after_ms(toMilliseconds(retryAfter));
  *answer.mutable_error() = error;
}

void EntryService::run(QueryContext context, QueryAnswer& answer) {
  context.workId = address_ + "#" + std::to_string(incarnation_) + "#" + std::to_string(nextWork_++);
  const std::string workId = context.workId;
  const std::shared_ptr<Inbox> inbox = openInbox(workId);
  if (!context.request.not_repeatable()) {
    runQuery(std::move(context), *inbox, answer);
    closeInbox(workId);
    return;
  }
  const std::vector<Endpoint> guardians = guardiansOf(context.request.request_id(), context.view->daemons);
  const Reservation::State state = reserve(context, guardians, *inbox);
  if (state == Reservation::State::kGranted) {
    runQuery(context, *inbox, answer);
  } else if (state == Reservation::State::kDuplicate) {
    answer.set_outcome(OUTCOME_UNKNOWN);
    *answer.mutable_error() = makeError(
        ERROR_DUPLICATE_REQUEST, "a request with this id was sent before and may have run", "request_id");
  } else {
    refuse(answer, makeError(ERROR_NO_MAJORITY, "too few daemons can tell whether this id ran before"),
           kRetryAfterNotReady);
  }
  if (state != Reservation::State::kGranted || answer.outcome() == OUTCOME_NOT_RUN) {
    release(context, guardians);
  }
  closeInbox(workId);
}

Reservation::State EntryService::reserve(const QueryContext& context, const std::vector<Endpoint>& guardians,
                                         Inbox& inbox) {
  for (const auto& guardian : guardians) {
    PeerEnvelope envelope = envelopeWith(toMilliseconds(kReservationTime));
    envelope.mutable_reserve()->set_request_id(context.request.request_id());
    envelope.mutable_reserve()->set_work_id(context.workId);
    sender_(guardian, std::move(envelope));
  }
  Reservation reservation(guardians.size());
  const Moment replyDeadline = std::min(context.deadline, steadyNow() + kReservationTime);
  while (reservation.state() == Reservation::State::kWaiting && steadyNow() < replyDeadline) {
    for (const auto& delivery : inbox.takeUntil(replyDeadline)) {
      if (const auto* reply = std::get_if<ReserveReply>(&delivery.content)) {
        reservation.onVerdict(delivery.sender, reply->verdict());
      }
    }
  }
  return reservation.state();
}

void EntryService::release(const QueryContext& context, const std::vector<Endpoint>& guardians) {
  for (const auto& guardian : guardians) {
    PeerEnvelope envelope = envelopeWith(toMilliseconds(kReservationTime));
    envelope.mutable_reserve_release()->set_request_id(context.request.request_id());
    envelope.mutable_reserve_release()->set_work_id(context.workId);
    sender_(guardian, std::move(envelope));
  }
}

void EntryService::runQuery(QueryContext context, Inbox& inbox, QueryAnswer& answer) {
  context.policy = policy_;
  context.runtime = &runtimeOf(*context.service);
  context.ownerHealth = &ownerHealth_;
  context.random = &threadRandom();
  EntryQuery query(std::move(context));
  apply(query.start(steadyNow()));
  while (!query.finished()) {
    const Moment wake = std::min(query.nextWake(), steadyNow() + kCallerCheckPeriod);
    for (const auto& delivery : inbox.takeUntil(wake)) {
      if (const auto* results = std::get_if<ResultBatch>(&delivery.content)) {
        apply(query.onResults(delivery.sender, *results, steadyNow()));
      }
    }
    if (!query.finished()) {
      apply(currentCallerGone() ? query.cancel(steadyNow()) : query.onTimer(steadyNow()));
    }
  }
  answer = query.answer();
  metrics_.count(query.counters());
}

PeerEnvelope EntryService::envelopeWith(std::uint32_t timeToLiveMs) const {
  PeerEnvelope envelope;
  envelope.set_sender(address_);
  envelope.set_incarnation(incarnation_);
  envelope.set_time_to_live_ms(timeToLiveMs);
  return envelope;
}

void EntryService::apply(QueryActions actions) {
  for (auto& outgoing : actions.work) {
    PeerEnvelope envelope = envelopeWith(outgoing.batch.remaining_ms());
    *envelope.mutable_work() = std::move(outgoing.batch);
    sender_(outgoing.owner, std::move(envelope));
  }
  for (auto& outgoing : actions.cancels) {
    PeerEnvelope envelope = envelopeWith(kCancelTimeToLiveMs);
    *envelope.mutable_cancel() = std::move(outgoing.cancel);
    sender_(outgoing.owner, std::move(envelope));
  }
}

void EntryService::onResults(const Endpoint& owner, ResultBatch results) {
  const std::string workId = results.work_id();
  deliver(workId, Delivery{owner, std::move(results)});
}

void EntryService::onVerdict(const Endpoint& guardian, const ReserveReply& reply) {
  deliver(reply.work_id(), Delivery{guardian, reply});
}

void EntryService::deliver(const std::string& workId, Delivery delivery) {
  std::shared_ptr<Inbox> inbox;
  {
    const std::lock_guard<std::mutex> guard(inboxMutex_);
    const auto found = inboxes_.find(workId);
    if (found == inboxes_.end()) {
      return;
    }
    inbox = found->second;
  }
  inbox->push(std::move(delivery));
}

std::shared_ptr<EntryService::Inbox> EntryService::openInbox(const std::string& workId) {
  auto inbox = std::make_shared<Inbox>();
  const std::lock_guard<std::mutex> guard(inboxMutex_);
  inboxes_[workId] = inbox;
  return inbox;
}

void EntryService::closeInbox(const std::string& workId) {
  const std::lock_guard<std::mutex> guard(inboxMutex_);
  inboxes_.erase(workId);
}

ServiceRuntime& EntryService::runtimeOf(const ServiceEntry& service) {
  const std::lock_guard<std::mutex> guard(runtimeMutex_);
  std::unique_ptr<ServiceRuntime>& runtime = runtimes_[service.name];
  if (runtime == nullptr) {
    constexpr double kDefaultQuantile = 0.95;
    const double quantile = service.hedge.delay_quantile();
    runtime = std::make_unique<ServiceRuntime>(quantile > 0 ? quantile : kDefaultQuantile);
  }
  return *runtime;
}

void EntryService::recordAnswer(const QueryRequest& request, const QueryAnswer& answer, Duration elapsed) {
  metrics_.countAnswer(request.service(), request.priority_class(), answer, elapsed);
  log(LogLevel::kDebug, "query answered",
      {{"request_id", request.request_id()},
       {"service", request.service()},
       {"class", request.priority_class()},
       {"outcome", Outcome_Name(answer.outcome())},
       {"error", ErrorCode_Name(answer.error().code())},
       {"covered", answer.covered_size()},
       {"lacking", answer.lacking_size()},
       {"elapsed_us", elapsed.count()}});
}

}  // namespace oakpier
