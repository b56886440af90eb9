#include "coordination/serving/shard_server.h"

#include <algorithm>
#include <utility>

#include "coordination/serving/record_merge.h"

namespace oakpier::serving {

namespace {

Duration microseconds(std::uint64_t count) { return Duration(static_cast<std::int64_t>(count)); }

HttpRequest requestOf(const OwnerWork& work) {
  HttpRequest request{work.method(), work.target(), {}, work.body(), work.tenant()};
  for (const HeaderField& field : work.headers()) {
    request.headers.push_back(Header{field.name(), field.value()});
  }
  return request;
}

/// The route fields that a part needs.
Route routeOf(const OwnerWork& work) {
  Route route;
  route.name = work.route();
  route.repeatable = true;
  route.targetLatency = microseconds(work.target_latency_us());
  route.attempts = work.attempts();
  route.rank = work.rank();
  return route;
}

OwnerStatus statusOf(const DirectPart& part) {
  if (part.state() == QueryPart::State::kAnswered) {
    return OWNER_ANSWERED;
  }
  if (part.mayHaveExecuted()) {
    return OWNER_NO_ANSWER;
  }
  return part.mayHaveArrived() ? OWNER_NOT_RUN : OWNER_NOT_SENT;
}

OwnerResult& addResult(const OwnerTask& task, ShardServerActions& out) {
  if (out.results.empty() || !(out.results.back().to == task.requester)) {
    out.results.push_back(OutgoingOwnerResults{task.requester, {}});
    out.results.back().results.set_receiver_run(task.requesterRunId);
  }
  return *out.results.back().results.add_results();
}

}  // namespace

ShardServerActions ShardServer::onWork(const Endpoint& requester, const OwnerWork& work, Moment now) {
  ShardServerActions out;
  auto task = std::make_shared<OwnerTask>();
  task->requester = requester;
  task->requesterRunId = work.sender_run();
  task->route = routeOf(work);
  task->topRecords = work.top_records();
  task->receivedAt = now;
  const Moment leafDeadline = now + microseconds(work.remaining_us());
  task->deadline = std::max(leafDeadline, now + microseconds(work.renewable_us()));
  task->request = requestOf(work);
  if (refuse(task, work, now, out)) {
    return out;
  }
  tasks_.push_back(task);
  const PartDeadlines times{now + microseconds(work.useful_us()), leafDeadline, task->deadline};
  for (const OwnerPart& asked : work.parts()) {
    auto exchange =
        std::make_unique<DirectPart>(asked.service(), task->route, context_, task->trace, task->crashGuard);
    task->parts.push_back(OwnerTask::Part{asked.exchange(), std::move(exchange)});
    DirectPart& part = *task->parts.back().exchange;
    QueryActions actions;
    part.start(now, times, actions);
    applyActions(task, task->parts.size() - 1, std::move(actions), out);
  }
  removeFinished();
  return out;
}

bool ShardServer::refuse(const TaskPointer& task, const OwnerWork& work, Moment now,
                         ShardServerActions& out) const {
  if (context_.quarantine == nullptr || context_.quarantine->empty() || work.vetted()) {
    return false;
  }
  const auto assessment = context_.quarantine->assess(fingerprintOf(task->request), now);
  if (assessment.verdict == RequestQuarantine::Verdict::kUnsuspected) {
    return false;
  }
  for (const OwnerPart& part : work.parts()) {
    OwnerResult& result = addResult(*task, out);
    result.set_exchange(part.exchange());
    result.set_status(OWNER_NOT_RUN);
    out.unanswered.push_back(
        UnansweredPart{task, part.service(), UnansweredPart::Reason::kNotExecuted, LossCause::kCrashesLeafs});
  }
  return true;
}

void ShardServer::applyCrashGuard(const TaskPointer& task, bool wasBlocked, Moment now,
                                  ShardServerActions& out) {
  if (!task->crashGuard.blocksSends()) {
    for (std::size_t number = 0; wasBlocked && number < task->parts.size(); ++number) {
      if (!task->parts[number].finished) {
        QueryActions actions;
        task->parts[number].exchange->onResumed(now, actions);
        applyActions(task, number, std::move(actions), out);
      }
    }
    return;
  }
  const bool anyOut = std::any_of(task->parts.begin(), task->parts.end(), [](const OwnerTask::Part& part) {
    return !part.finished && part.exchange->hasPendingExchange();
  });
  for (OwnerTask::Part& part : task->parts) {
    if (anyOut || part.finished) {
      continue;
    }
    const bool ran = part.exchange->mayHaveExecuted();
    OwnerResult& result = addResult(*task, out);
    result.set_exchange(part.requesterExchange);
    // OWNER_NOT_SENT would make the requester try another owner.
    result.set_status(ran ? OWNER_NO_ANSWER : OWNER_NOT_RUN);
    finishUnanswered(task, part,
                     ran ? UnansweredPart::Reason::kNoAnswer : UnansweredPart::Reason::kNotExecuted, out);
  }
}

void ShardServer::applyActions(const TaskPointer& task, std::size_t number, QueryActions actions,
                               ShardServerActions& out) {
  OwnerTask::Part& part = task->parts[number];
  for (SendAction& send : actions.sends) {
    partRefs_.emplace(send.exchange, PartRef{task, number});
    out.sends.push_back(OwnerSend{task, std::move(send)});
  }
  const DirectPart& exchange = *part.exchange;
  if (exchange.state() == QueryPart::State::kOpen) {
    return;
  }
  OwnerResult& result = addResult(*task, out);
  result.set_exchange(part.requesterExchange);
  result.set_status(statusOf(exchange));
  if (exchange.state() == QueryPart::State::kAnswered) {
    result.set_signature(exchange.outcome().signature);
    result.set_records(greatestRecords({exchange.outcome().reply->body}, task->topRecords));
    finish(part, out);
    return;
  }
  const bool ran = exchange.mayHaveExecuted();
  finishUnanswered(task, part, ran ? UnansweredPart::Reason::kNoAnswer : UnansweredPart::Reason::kNotExecuted,
                   out);
}

void ShardServer::finishUnanswered(const TaskPointer& task, OwnerTask::Part& part,
                                   UnansweredPart::Reason reason, ShardServerActions& out) {
  out.unanswered.push_back(
      UnansweredPart{task, part.exchange->service(), reason, part.exchange->lossCause()});
  finish(part, out);
}

void ShardServer::finish(OwnerTask::Part& part, ShardServerActions& out) {
  part.finished = true;
  QueryActions closing;
  part.exchange->close(closing);
  out.cancellations.insert(out.cancellations.end(), closing.cancellations.begin(),
                           closing.cancellations.end());
}

void ShardServer::removeFinished() {
  tasks_.remove_if([](const TaskPointer& task) {
    return std::all_of(task->parts.begin(), task->parts.end(),
                       [](const OwnerTask::Part& part) { return part.finished; });
  });
}

void ShardServer::onWriteStarted(ExchangeId exchange) {
  const auto ref = partRefs_.find(exchange);
  if (ref != partRefs_.end()) {
    ref->second.task->parts[ref->second.part].exchange->onWriteStarted(exchange);
  }
}

ShardServerActions ShardServer::onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now) {
  ShardServerActions out;
  const auto found = partRefs_.find(exchange);
  if (found == partRefs_.end()) {
    return out;
  }
  const PartRef ref = found->second;
  partRefs_.erase(found);
  OwnerTask::Part& part = ref.task->parts[ref.part];
  if (part.finished) {
    return out;
  }
  QueryActions actions;
  const bool wasBlocked = ref.task->crashGuard.blocksSends();
  part.exchange->onOutcome(exchange, outcome, now, actions);
  applyActions(ref.task, ref.part, std::move(actions), out);
  applyCrashGuard(ref.task, wasBlocked, now, out);
  removeFinished();
  return out;
}

ShardServerActions ShardServer::onCancel(const Endpoint& requester, const OwnerCancel& cancel) {
  ShardServerActions out;
  for (const TaskPointer& task : tasks_) {
    if (!(task->requester == requester) || task->requesterRunId != cancel.sender_run()) {
      continue;
    }
    for (OwnerTask::Part& part : task->parts) {
      const auto& exchanges = cancel.exchanges();
      const bool listed =
          std::find(exchanges.begin(), exchanges.end(), part.requesterExchange) != exchanges.end();
      if (listed && !part.finished) {
        finishUnanswered(task, part, UnansweredPart::Reason::kCancelled, out);
      }
    }
  }
  removeFinished();
  return out;
}

ShardServerActions ShardServer::onTimer(Moment now) {
  ShardServerActions out;
  for (const TaskPointer& task : tasks_) {
    for (std::size_t number = 0; number < task->parts.size(); ++number) {
      OwnerTask::Part& part = task->parts[number];
      if (part.finished) {
        continue;
      }
      if (now >= task->deadline) {
        finishUnanswered(task, part, UnansweredPart::Reason::kExpired, out);
        continue;
      }
      QueryActions actions;
      part.exchange->onTimer(now, actions);
      applyActions(task, number, std::move(actions), out);
    }
  }
  removeFinished();
  return out;
}

Moment ShardServer::nextDecisionAt() const {
  Moment next = kNever;
  for (const TaskPointer& task : tasks_) {
    next = std::min(next, task->deadline);
    for (const OwnerTask::Part& part : task->parts) {
      next = part.finished ? next : std::min(next, part.exchange->nextDecisionAt());
    }
  }
  return next;
}

}  // namespace oakpier::serving
