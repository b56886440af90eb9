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
/// For callers that come before the first configuration is known.
constexpr Duration kStartingRetryAfter = std::chrono::milliseconds(300);
/// For callers that come while the configuration is not proved fresh: about one round of proofs.
constexpr Duration kProofRetryAfter = std::chrono::milliseconds(600);

LossCause causeOf(AuthorizationProblem problem) {
  switch (problem) {
    case AuthorizationProblem::kKeyMissing:
      return LossCause::kKeyMissing;
    case AuthorizationProblem::kKeyUnknown:
      return LossCause::kKeyUnknown;
    case AuthorizationProblem::kKeyMaybeNew:
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

bool RequestGateway::rejectEndingLeafs(const ResponseWriter& writer, const LoggedRequest& request,
                                       const Route& route, const RequestQuarantine::Judgement& judgement) {
  if (judgement.verdict == RequestQuarantine::Verdict::kNotYet) {
    refuse(writer, request, route.name, LossCause::kEndsLeafs, judgement.retryAfter);
    return true;
  }
  if (judgement.verdict != RequestQuarantine::Verdict::kCondemned) {
    return false;
  }
  ++counters_.rejectedEndingLeafs;
  // Not 503: that says "not run, come back", and leafs have run it. Not 4xx: the caller need not be wrong.
  writer.write(textReply(kInternalError, "rejected: leafs have ended each time that they ran this request"));
  log_.onRefused(request, route.name, LossCause::kEndsLeafs, kInternalError, steadyNow());
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
  auto arrived = std::make_shared<ArrivedRequest>(std::move(writer));
  arrived->receivedAt = steadyNow();
  const std::string* told = findHeader(request.headers, names_.requestId);
  arrived->logged.id = told == nullptr ? "" : *told;
  arrived->request = std::move(request);
  arrived->view = view_;
  if (!findRoute(*arrived) || !identifyCaller(*arrived) || !admit(*arrived)) {
    return nullptr;
  }
  if (arrived->tenant == nullptr) {
    begin(*arrived);
  } else {
    quota_.take(*arrived->tenant,
                [this, arrived](const QuotaDecision& decision) { onQuota(*arrived, decision); });
  }
  return [this, arrived] { onCallerGone(*arrived); };
}

bool RequestGateway::findRoute(ArrivedRequest& arrived) {
  const HttpRequest& request = arrived.request;
  if (!arrived.view->configuration) {
    arrived.logged.fingerprint = fingerprintOf(request);
    refuse(arrived.writer, arrived.logged, "", LossCause::kNoConfiguration, kStartingRetryAfter);
    if (const auto wanted = std::exchange(onStateWanted_, nullptr)) {
      wanted();
    }
    return false;
  }
  const std::string* host = findHeader(request.headers, "Host");
  arrived.route = host == nullptr ? nullptr : arrived.view->routes->find(*host, request.target);
  if (arrived.route != nullptr) {
    return true;
  }
  ++counters_.noRoute;
  const HttpReply reply = host == nullptr ? textReply(kBadRequest, "the request names no host")
                                          : textReply(kNotFound, "no route for this host and path");
  arrived.writer.write(reply);
  arrived.logged.fingerprint = fingerprintOf(request);
  log_.onUnrouted(arrived.logged, reply.status, arrived.receivedAt);
  return false;
}

bool RequestGateway::identifyCaller(ArrivedRequest& arrived) {
  const ServingView& view = *arrived.view;
  const auto key = keyOf(arrived.request.headers, names_);
  const auto proof = proof_.read();
  const Authorization authorization =
      authorize(*arrived.route, key, view, *proof, authorization_, arrived.receivedAt);
  const auto* problem = std::get_if<AuthorizationProblem>(&authorization);
  if (problem == nullptr) {
    arrived.tenant = std::get<AuthorizedCaller>(authorization).tenant;
  }
  if (view.tenants != nullptr && !view.tenants->empty()) {
    // Also of a refused request: its log line names the tenant, and its fingerprint does not depend on the
    // key.
    const Tenant* named = problem != nullptr && key ? view.tenants->holderOf(*key) : arrived.tenant;
    arrived.logged.tenant = named == nullptr ? "" : named->name;
    replaceCredentials(arrived.request, arrived.logged.tenant, names_);
  }
  arrived.logged.fingerprint = fingerprintOf(arrived.request);
  if (problem != nullptr) {
    rejectCaller(arrived, *problem);
  }
  return problem == nullptr;
}

void RequestGateway::rejectCaller(const ArrivedRequest& arrived, AuthorizationProblem problem) {
  const LossCause cause = causeOf(problem);
  const bool final =
      problem == AuthorizationProblem::kKeyMissing || problem == AuthorizationProblem::kKeyUnknown;
  if (!final) {
    ++counters_.refusedUnproved;
    refuse(arrived.writer, arrived.logged, arrived.route->name, cause, kProofRetryAfter);
    return;
  }
  ++counters_.rejectedKeys;
  arrived.writer.write(textReply(kUnauthorized, std::string("rejected: ") + textOf(cause)));
  log_.onRefused(arrived.logged, arrived.route->name, cause, kUnauthorized, arrived.receivedAt);
}

bool RequestGateway::admit(ArrivedRequest& arrived) {
  const Moment now = arrived.receivedAt;
  const Route& route = *arrived.route;
  arrived.judgement = quarantine_.judge(arrived.logged.fingerprint, now);
  if (rejectEndingLeafs(arrived.writer, arrived.logged, route, arrived.judgement)) {
    return false;
  }
  if (const auto refusal = refuseWhenUnservable(route, *arrived.view, queryContext_, now)) {
    ++counters_.refusedUnservable;
    refuse(arrived.writer, arrived.logged, route.name, LossCause::kLeafUnreachable, refusal->retryAfter);
    return false;
  }
  if (const auto refusal = refuseWhenBusy(route, queryContext_, now)) {
    ++counters_.refusedBusy;
    refuse(arrived.writer, arrived.logged, route.name, LossCause::kLeafsTooBusy, refusal->retryAfter);
    return false;
  }
  return true;
}

void RequestGateway::onQuota(ArrivedRequest& arrived, const QuotaDecision& decision) {
  if (arrived.callerGone) {
    if (decision.granted) {
      quota_.giveBack(arrived.tenant->name, decision.token);
    }
    return;
  }
  if (decision.granted) {
    arrived.token = decision.token;
    begin(arrived);
    return;
  }
  if (decision.refusal == RefusalCause::kUnanswered) {
    // The fault is the fleet's, so that it is told as one: 429 would send the caller to the tenant's limit.
    refuse(arrived.writer, arrived.logged, arrived.route->name, LossCause::kTenantNotCounted,
           decision.retryAfter);
    return;
  }
  ++counters_.refusedOverLimit;
  const LossCause cause = LossCause::kTenantOverLimit;
  HttpReply reply = refusalReply(decision.retryAfter, std::string("not run: ") + textOf(cause));
  reply.status = kTooManyRequests;
  arrived.writer.write(reply);
  log_.onRefused(arrived.logged, arrived.route->name, cause, reply.status, steadyNow());
}

void RequestGateway::onCallerGone(ArrivedRequest& arrived) {
  arrived.callerGone = true;
  if (const ActivePointer gone = arrived.active.lock()) {
    ++counters_.callersGone;
    log_.onCallerGone(loggedAs(*gone->request), *gone->query, steadyNow());
    countDecisions(gone->query->trace());
    apply(gone, gone->query->onCallerGone());
  }
}

void RequestGateway::begin(ArrivedRequest& arrived) {
  const Moment now = steadyNow();
  const Moment deadline = deadlineOf(arrived.request, *arrived.route, arrived.receivedAt);
  auto active = std::make_shared<ActiveQuery>(context_, std::move(arrived.writer));
  arrived.active = active;
  active->rank = arrived.rank();
  active->token = arrived.token;
  active->request = std::make_shared<const LeafRequestTemplate>(arrived.request, names_);
  active->original = std::make_shared<const HttpRequest>(std::move(arrived.request));
  const bool trial = arrived.judgement.verdict == RequestQuarantine::Verdict::kTrial;
  if (trial) {
    ++counters_.trials;
    quarantine_.onTrial(arrived.logged.fingerprint, now);
    quarantineLink_.onChanged();
  }
  active->query = std::make_unique<Query>(arrived.view, *arrived.route, queryContext_, arrived.receivedAt,
                                          deadline, trial ? Query::Start::kOneLeafFirst : Query::Start::kAll);
  apply(active, active->query->start(now));
}

}  // namespace oakpier::serving
