#include "programs/daemon/entry_service.h"

#include "programs/common/logging.h"
#include "protocol/rpc_codec.h"
#include "transport/http_server.h"

namespace oakpier {

namespace {

constexpr std::size_t kMaxIdLength = 128;
/// How often a waiting query looks whether its caller is still there.
constexpr Duration kCallerCheckPeriod = std::chrono::milliseconds(20);
constexpr Duration kRetryAfterNotReady = std::chrono::milliseconds(500);
/// Another daemon can take the request at once.
constexpr Duration kRetryAfterStopping = std::chrono::milliseconds(10);

RandomEngine& threadRandom() {
  thread_local RandomEngine engine{std::random_device{}()};
  return engine;
}

std::uint32_t workTimeToLive(const WorkBatch& batch) { return batch.remaining_ms(); }

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
  context.policy = policy_;
  context.runtime = &runtimeOf(*context.service);
  context.ownerHealth = &ownerHealth_;
  context.random = &threadRandom();
  const std::string workId = context.workId;
  const std::shared_ptr<Inbox> inbox = openInbox(workId);
  EntryQuery query(std::move(context));
  carryOut(query.start(steadyNow()));
  while (!query.finished()) {
    const Moment wake = std::min(query.nextWake(), steadyNow() + kCallerCheckPeriod);
    for (const auto& delivery : inbox->takeUntil(wake)) {
      carryOut(query.onResults(delivery.owner, delivery.results, steadyNow()));
    }
    if (!query.finished()) {
      carryOut(currentCallerGone() ? query.abandon(steadyNow()) : query.onTime(steadyNow()));
    }
  }
  closeInbox(workId);
  answer = query.answer();
  metrics_.count(query.counters());
}

void EntryService::carryOut(QueryActions actions) {
  for (auto& outgoing : actions.work) {
    PeerEnvelope envelope;
    envelope.set_sender(address_);
    envelope.set_incarnation(incarnation_);
    envelope.set_time_to_live_ms(workTimeToLive(outgoing.batch));
    *envelope.mutable_work() = std::move(outgoing.batch);
    sender_(outgoing.owner, std::move(envelope));
  }
  for (auto& outgoing : actions.cancels) {
    PeerEnvelope envelope;
    envelope.set_sender(address_);
    envelope.set_incarnation(incarnation_);
    envelope.set_time_to_live_ms(toMilliseconds(std::chrono::seconds(1)));
    *envelope.mutable_cancel() = std::move(outgoing.cancel);
    sender_(outgoing.owner, std::move(envelope));
  }
}

void EntryService::onResults(const Endpoint& owner, ResultBatch results) {
  std::shared_ptr<Inbox> inbox;
  {
    const std::lock_guard<std::mutex> guard(inboxMutex_);
    const auto found = inboxes_.find(results.work_id());
    if (found == inboxes_.end()) {
      return;
    }
    inbox = found->second;
  }
  inbox->push(Delivery{owner, std::move(results)});
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
