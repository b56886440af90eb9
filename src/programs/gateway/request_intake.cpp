#include <utility>

#include "coordination/serving/admission.h"
#include "programs/gateway/active_query.h"
#include "protocol/serving/caller_credentials.h"
#include "protocol/serving/caller_messages.h"
#include "protocol/serving/hop_by_hop_headers.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kInternalError = 500;
/// Used while no configuration is known yet.
constexpr Duration kNoConfigurationRetryAfter = std::chrono::milliseconds(300);
/// Used while there is no sufficiently recent freshness proof; about one round of proof requests.
constexpr Duration kProofRetryAfter = std::chrono::milliseconds(600);

LossCause causeOf(AuthorizationError problem) {
  switch (problem) {
    case AuthorizationError::kKeyMissing:
    case AuthorizationError::kKeyUnreadable:
      return LossCause::kKeyMissing;
    case AuthorizationError::kKeyUnknown:
      return LossCause::kKeyUnknown;
    case AuthorizationError::kKeyNotYetKnown:
      return LossCause::kKeyMaybeNew;
    default:
      return LossCause::kProofTooOld;
  }
}

}  // namespace

void RequestGateway::refuse(const ResponseWriter& writer, const LoggedRequest& request,
                            const std::string& route, LossCause cause, Duration retryAfter) {
  ++counters_.refused;
  const HttpReply reply = refusalReply(retryAfter, std::string("not run: ") + textOf(cause));
  writer.write(reply);
  log_.onRefused(request, route, cause, reply.status, steadyNow());
}

bool RequestGateway::rejectQuarantined(const ResponseWriter& writer, const LoggedRequest& request,
                                       const Route& route, const RequestQuarantine::Assessment& assessment) {
  if (assessment.verdict == RequestQuarantine::Verdict::kDeferred) {
    refuse(writer, request, route.name, LossCause::kCrashesLeafs, assessment.retryAfter);
    return true;
  }
  if (assessment.verdict != RequestQuarantine::Verdict::kQuarantined) {
    return false;
  }
  ++counters_.rejectedQuarantined;
  // Not 503, which means "not run, retry later": leafs have run the request. Not 4xx: the caller may be
  // right.
  writer.write(textReply(kInternalError, "rejected: leafs have ended each time that they ran this request"));
  log_.onRefused(request, route.name, LossCause::kCrashesLeafs, kInternalError, steadyNow());
  return true;
}

Moment RequestGateway::deadlineOf(const HttpRequest& request, const Route& route, Moment now) const {
  const Moment routeDeadline = now + route.timeout;
  std::uint64_t milliseconds = 0;
  const std::string* allowed = findHeader(request.headers, names_.deadline);
  if (allowed == nullptr || !parseMilliseconds(*allowed, milliseconds)) {
    return routeDeadline;
  }
  return std::min(routeDeadline, now + fromMilliseconds(milliseconds));
}

std::function<void()> RequestGateway::onRequest(HttpRequest request, ResponseWriter writer) {
  ++counters_.received;
  auto incoming = std::make_shared<IncomingRequest>(std::move(writer));
  incoming->receivedAt = steadyNow();
  const std::string* requestId = findHeader(request.headers, names_.requestId);
  incoming->logged.id = requestId == nullptr ? "" : *requestId;
  incoming->request = std::move(request);
  incoming->view = view_;
  if (!findRoute(*incoming) || !identifyCaller(*incoming) || !admit(*incoming)) {
    return nullptr;
  }
  if (incoming->tenant == nullptr) {
    begin(*incoming);
  } else {
    quota_.acquire(*incoming->tenant,
                   [this, incoming](const QuotaDecision& decision) { onQuotaDecision(*incoming, decision); });
  }
  return [this, incoming] { onCallerDisconnected(*incoming); };
}

bool RequestGateway::findRoute(IncomingRequest& incoming) {
  const HttpRequest& request = incoming.request;
  if (!incoming.view->configuration) {
    incoming.logged.fingerprint = fingerprintOf(request);
    refuse(incoming.writer, incoming.logged, "", LossCause::kNoConfiguration, kNoConfigurationRetryAfter);
    if (const auto notify = std::exchange(onConfigurationNeeded_, nullptr)) {
      notify();
    }
    return false;
  }
  const std::string* host = findHeader(request.headers, "Host");
  incoming.route = host == nullptr ? nullptr : incoming.view->routes->find(*host, request.target);
  if (incoming.route != nullptr) {
    return true;
  }
  ++counters_.noRoute;
  const HttpReply reply = host == nullptr ? textReply(kBadRequest, "the request names no host")
                                          : textReply(kNotFound, "no route for this host and path");
  incoming.writer.write(reply);
  incoming.logged.fingerprint = fingerprintOf(request);
  log_.onUnrouted(incoming.logged, reply.status, incoming.receivedAt);
  return false;
}

bool RequestGateway::identifyCaller(IncomingRequest& incoming) {
  const ServingView& view = *incoming.view;
  const CallerKey callerKey = keyOf(incoming.request.headers, names_);
  const auto* key = std::get_if<std::string_view>(&callerKey);
  const auto proof = proof_.read();
  const Authorization authorization =
      authorize(*incoming.route, callerKey, view, *proof, authorization_, incoming.receivedAt);
  const auto* problem = std::get_if<AuthorizationError>(&authorization);
  if (problem == nullptr) {
    incoming.tenant = std::get<AuthorizedCaller>(authorization).tenant;
  }
  if (view.tenants != nullptr && !view.tenants->empty()) {
    // Also for refused requests, so that the log line names the tenant and the fingerprint does not depend on
    // the key.
    const Tenant* named =
        problem != nullptr && key != nullptr ? view.tenants->findByKey(*key) : incoming.tenant;
    incoming.logged.tenant = named == nullptr ? "" : named->name;
    counters_.anonymousWithKey += problem == nullptr && key != nullptr && named == nullptr ? 1 : 0;
    replaceCredentials(incoming.request, incoming.logged.tenant, names_);
  }
  incoming.logged.fingerprint = fingerprintOf(incoming.request);
  if (problem != nullptr) {
    rejectCaller(incoming, *problem);
  }
  return problem == nullptr;
}

void RequestGateway::rejectCaller(const IncomingRequest& incoming, AuthorizationError problem) {
  const LossCause cause = causeOf(problem);
  const bool retryable =
      problem == AuthorizationError::kKeyNotYetKnown || problem == AuthorizationError::kProofTooOld;
  if (retryable) {
    ++counters_.refusedUnproven;
    refuse(incoming.writer, incoming.logged, incoming.route->name, cause, kProofRetryAfter);
    return;
  }
  ++counters_.rejectedKeys;
  incoming.writer.write(textReply(kUnauthorized, std::string("rejected: ") + textOf(cause)));
  log_.onRefused(incoming.logged, incoming.route->name, cause, kUnauthorized, incoming.receivedAt);
}

bool RequestGateway::admit(IncomingRequest& incoming) {
  const Moment now = incoming.receivedAt;
  const Route& route = *incoming.route;
  incoming.assessment = quarantine_.assess(incoming.logged.fingerprint, now);
  if (rejectQuarantined(incoming.writer, incoming.logged, route, incoming.assessment)) {
    return false;
  }
  if (const auto refusal = refuseIfUnservable(route, *incoming.view, queryContext_, now)) {
    ++counters_.refusedUnservable;
    refuse(incoming.writer, incoming.logged, route.name, LossCause::kLeafUnreachable, refusal->retryAfter);
    return false;
  }
  if (const auto refusal = refuseIfOverloaded(route, queryContext_, now)) {
    ++counters_.refusedBusy;
    refuse(incoming.writer, incoming.logged, route.name, LossCause::kLeafsTooBusy, refusal->retryAfter);
    return false;
  }
  return true;
}

void RequestGateway::onQuotaDecision(IncomingRequest& incoming, const QuotaDecision& decision) {
  if (incoming.callerDisconnected) {
    if (decision.granted) {
      quota_.release(incoming.tenant->name, decision.token);
    }
    return;
  }
  if (decision.granted) {
    incoming.token = decision.token;
    begin(incoming);
    return;
  }
  if (decision.refusal == RefusalCause::kUnanswered) {
    // The fleet is at fault, so this is not answered with 429, which would point to the tenant's limit.
    refuse(incoming.writer, incoming.logged, incoming.route->name, LossCause::kQuotaUnavailable,
           decision.retryAfter);
    return;
  }
  ++counters_.refusedOverLimit;
  const LossCause cause = LossCause::kTenantOverLimit;
  HttpReply reply = refusalReply(decision.retryAfter, std::string("not run: ") + textOf(cause));
  reply.status = kTooManyRequests;
  incoming.writer.write(reply);
  log_.onRefused(incoming.logged, incoming.route->name, cause, reply.status, steadyNow());
}

void RequestGateway::onCallerDisconnected(IncomingRequest& incoming) {
  incoming.callerDisconnected = true;
  if (const ActivePointer active = incoming.active.lock()) {
    ++counters_.callersDisconnected;
    log_.onCallerDisconnected(loggedAs(*active->request), *active->query, steadyNow());
    countDecisions(active->query->trace());
    apply(active, active->query->onCallerDisconnected());
  }
}

void RequestGateway::begin(IncomingRequest& incoming) {
  const Moment now = steadyNow();
  const Moment deadline = deadlineOf(incoming.request, *incoming.route, incoming.receivedAt);
  auto active = std::make_shared<ActiveQuery>(context_, std::move(incoming.writer));
  incoming.active = active;
  active->rank = incoming.rank();
  active->token = incoming.token;
  active->request = std::make_shared<const LeafRequestTemplate>(incoming.request, names_);
  active->original = std::make_shared<const HttpRequest>(std::move(incoming.request));
  const bool trial = incoming.assessment.verdict == RequestQuarantine::Verdict::kTrial;
  if (trial) {
    ++counters_.trials;
    quarantine_.onTrial(incoming.logged.fingerprint, now);
    quarantineGossip_.onChanged();
  }
  active->query = std::make_unique<Query>(incoming.view, *incoming.route, queryContext_, incoming.receivedAt,
                                          deadline, trial ? Query::Start::kTrial : Query::Start::kAll);
  apply(active, active->query->start(now));
}

}  // namespace oakpier::serving
