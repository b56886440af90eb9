#include "programs/gateway/request_log.h"

#include <algorithm>
#include <functional>
#include <set>

#include "programs/common/logging.h"

namespace oakpier::serving {

namespace {

const char* textOf(Decision decision) {
  switch (decision) {
    case Decision::kSend:
      return "send";
    case Decision::kHedge:
      return "hedge";
    case Decision::kRetry:
      return "retry";
    case Decision::kLateRetry:
      return "retry with a new deadline";
    case Decision::kNoLeaf:
      return "no usable leaf";
    case Decision::kBudgetEmpty:
      return "retry budget exhausted";
    case Decision::kDelegate:
      return "delegated to the owner";
    case Decision::kOwnerOutcome:
      return "result from the owner";
    case Decision::kOwnerUnresponsive:
      return "abandoned: owner unresponsive";
    case Decision::kSuspended:
      return "suspended: the request has crashed leafs";
    default:
      return "outcome";
  }
}

const char* textOf(LeafOutcome::Kind kind) {
  switch (kind) {
    case LeafOutcome::Kind::kAnswered:
      return "answered";
    case LeafOutcome::Kind::kLeafFailed:
      return "failed at the leaf";
    case LeafOutcome::Kind::kNotExecuted:
      return "not executed";
    case LeafOutcome::Kind::kWrongInstance:
      return "wrong instance";
    case LeafOutcome::Kind::kNoAnswer:
      return "no usable answer";
    case LeafOutcome::Kind::kLeafCrashed:
      return "leaf crashed";
    case LeafOutcome::Kind::kNotSent:
      return "not sent";
    case LeafOutcome::Kind::kExpired:
      return "not sent: too little time left";
    default:
      return "withdrawn";
  }
}

const char* textOf(UnansweredPart::Reason reason) {
  switch (reason) {
    case UnansweredPart::Reason::kNoAnswer:
      return "no leaf answered";
    case UnansweredPart::Reason::kNotExecuted:
      return "not run";
    case UnansweredPart::Reason::kCancelled:
      return "withdrawn by the requester";
    default:
      return "deadline passed";
  }
}

/// Truncated to tenths.
double inMilliseconds(Duration duration) {
  const std::int64_t tenths = duration.count() / 100;
  return static_cast<double>(tenths) / 10.0;
}

std::vector<LogField> fieldsOf(const std::string& requestId, const TraceEvent& event, Moment receivedAt) {
  std::vector<LogField> fields = {{"id", requestId},
                                  {"at_ms", inMilliseconds(event.at - receivedAt)},
                                  {"decision", textOf(event.decision)},
                                  {"service", event.service}};
  if (event.leaf) {
    fields.push_back({"leaf", event.leaf->entry().id});
    fields.push_back({"address", event.leaf->entry().address.text()});
    fields.push_back({"queue", event.queueLength});
    fields.push_back({"slowness", event.latencyRatio});
    fields.push_back({"overdue_ms", inMilliseconds(std::max(event.overdueFor, Duration(0)))});
  }
  if (event.owner) {
    fields.push_back({"owner", event.owner->text()});
  }
  if (event.outcome) {
    fields.push_back({"result", textOf(*event.outcome)});
  }
  return fields;
}

void addTenant(std::vector<LogField>& fields, const LoggedRequest& request) {
  if (!request.tenant.empty()) {
    fields.push_back({"tenant", request.tenant});
  }
}

}  // namespace

bool RequestLog::takeLogToken(Moment now) {
  if (refilledAt_ != Moment{}) {
    const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
    logTokens_ = std::min(settings_.linesPerSecond, logTokens_ + seconds * settings_.linesPerSecond);
  }
  refilledAt_ = now;
  if (logTokens_ < 1) {
    ++suppressed_;
    return false;
  }
  logTokens_ -= 1;
  return true;
}

void RequestLog::onUnrouted(const LoggedRequest& request, unsigned status, Moment now) {
  logRefusal(request, "no route", status, now);
}

void RequestLog::onRefused(const LoggedRequest& request, const std::string& route, LossCause cause,
                           unsigned status, Moment now) {
  Loss loss;
  loss.add(cause, 1.0);
  losses_.add(route, loss, now);
  logRefusal(request, std::string("refused: ") + textOf(cause), status, now);
}

void RequestLog::logRefusal(const LoggedRequest& request, const std::string& outcome, unsigned status,
                            Moment now) {
  if (!takeLogToken(now)) {
    return;
  }
  std::vector<LogField> fields = {{"id", request.id},
                                  {"fingerprint", request.fingerprint.text()},
                                  {"outcome", outcome},
                                  {"status", status}};
  addTenant(fields, request);
  log(LogLevel::kWarning, "request", fields);
}

void RequestLog::onAnswer(const LoggedRequest& request, const Query& query, const FinalAnswer& answer,
                          Moment now) {
  losses_.add(query.route().name, query.lossOf(answer, now), now);
  const bool late = now - query.receivedAt() > query.route().targetLatency;
  if (std::holds_alternative<Refusal>(answer)) {
    write(request, query, "refused: not run", false, now);
  } else if (const auto* failure = std::get_if<Failure>(&answer)) {
    write(request, query, failure->timedOut ? "failed: no answer in time" : "failed: no leaf answered", false,
          now);
  } else if (const auto* forwarded = std::get_if<ForwardedAnswer>(&answer)) {
    const bool success = forwarded->reply->status < 400;
    write(request, query, success ? "answered" : "failed: error from the leaf", success && !late, now);
  } else {
    const bool partial = std::get<MergedAnswer>(answer).missingShards > 0;
    write(request, query, partial ? "partial answer" : "answered", !partial && !late, now);
  }
}

void RequestLog::onCallerDisconnected(const LoggedRequest& request, const Query& query, Moment now) {
  write(request, query, "caller disconnected", false, now);
}

void RequestLog::onUnanswered(const LoggedRequest& request, const UnansweredPart& part, Moment now) {
  const OwnerTask& task = *part.task;
  losses_.addServed(task.route.name, part.cause, now);
  if (!takeLogToken(now)) {
    return;
  }
  log(LogLevel::kWarning, "shard",
      {{"id", request.id},
       {"fingerprint", request.fingerprint.text()},
       {"outcome", textOf(part.reason)},
       {"service", part.service},
       {"requester", task.requester.text()},
       {"elapsed_ms", inMilliseconds(now - task.receivedAt)}});
  for (const TraceEvent& event : task.trace.events()) {
    if (event.service == part.service && takeLogToken(now)) {
      log(LogLevel::kWarning, "decision", fieldsOf(request.id, event, task.receivedAt));
    }
  }
}

void RequestLog::onLeafCrash(const LeafEntry& leaf,
                             const std::vector<std::shared_ptr<RequestRecord>>& inProgress, Moment now) {
  if (!takeLogToken(now)) {
    return;
  }
  std::vector<std::string> fingerprints;
  std::vector<std::string> answeredElsewhere;
  for (const auto& record : inProgress) {
    (record->answered ? answeredElsewhere : fingerprints).push_back(record->fingerprint.text());
  }
  log(LogLevel::kWarning, "leaf ended",
      {{"leaf", leaf.id},
       {"born_ms", leaf.processStartedAt},
       {"service", leaf.service},
       {"address", leaf.address.text()},
       {"under", fingerprints},
       {"under_answered_elsewhere", answeredElsewhere}});
}

void RequestLog::write(const LoggedRequest& request, const Query& query, const std::string& outcome,
                       bool ordinary, Moment now) {
  if (ordinary && ++ordinary_ % settings_.sampleOneIn != 0) {
    return;
  }
  if (!takeLogToken(now)) {
    return;
  }
  std::vector<LogField> fields = {{"id", request.id},
                                  {"fingerprint", request.fingerprint.text()},
                                  {"outcome", outcome},
                                  {"route", query.route().name},
                                  {"configuration_version", query.configurationVersion()},
                                  {"source_epoch", query.sourcePosition().epoch},
                                  {"source_revision", query.sourcePosition().revision},
                                  {"elapsed_ms", inMilliseconds(now - query.receivedAt())},
                                  {"target_ms", inMilliseconds(query.route().targetLatency)}};
  addTenant(fields, request);
  const auto missing = query.missingServices();
  if (!missing.empty()) {
    fields.push_back({"missing", missing});
  }
  log(ordinary ? LogLevel::kInfo : LogLevel::kWarning, "request", fields);
  if (!ordinary) {
    writeDecisions(request, query, now);
  }
}

void RequestLog::writeDecisions(const LoggedRequest& request, const Query& query, Moment now) {
  // If shards are missing, only the decisions for these explain the outcome.
  const auto missing = query.missingServices();
  const std::set<std::string, std::less<>> explained(missing.begin(), missing.end());
  for (const TraceEvent& event : query.trace().events()) {
    if ((explained.empty() || explained.count(event.service) != 0) && takeLogToken(now)) {
      log(LogLevel::kWarning, "decision", fieldsOf(request.id, event, query.receivedAt()));
    }
  }
}

}  // namespace oakpier::serving
