#include "coordination/serving/merge_server.h"

#include <algorithm>
#include <utility>

#include "coordination/serving/leaf_selection.h"
#include "coordination/serving/record_merge.h"

namespace oakpier::serving {

namespace {

/// Time reserved for the frame's way back to the requester.
constexpr Duration kReturnMargin = std::chrono::milliseconds(3);

Duration microseconds(std::uint64_t count) { return Duration(static_cast<std::int64_t>(count)); }

std::shared_ptr<MergeTask> taskFor(const Endpoint& requester, const MergeWork& work, Moment now) {
  auto task = std::make_shared<MergeTask>();
  task->requester = requester;
  task->requesterRunId = work.sender_run();
  task->route.name = work.route();
  task->route.repeatable = true;
  task->route.targetLatency = microseconds(work.target_latency_us());
  task->route.rank = work.rank();
  task->receivedAt = now;
  task->deadline = now + microseconds(work.remaining_us());
  task->batchUntil = now + microseconds(work.hold_us()) - kReturnMargin;
  task->request = HttpRequest{work.method(), work.target(), {}, work.body(), work.tenant()};
  for (const HeaderField& field : work.headers()) {
    task->request.headers.push_back(Header{field.name(), field.value()});
  }
  task->topRecords = work.top_records();
  return task;
}

MergeOutcome codeOf(LeafOutcome::Kind kind) {
  switch (kind) {
    case LeafOutcome::Kind::kAnswered:
      return MERGE_ANSWERED;
    case LeafOutcome::Kind::kLeafFailed:
      return MERGE_LEAF_FAILED;
    case LeafOutcome::Kind::kNotExecuted:
      return MERGE_NOT_EXECUTED;
    case LeafOutcome::Kind::kWrongInstance:
      return MERGE_WRONG_INSTANCE;
    case LeafOutcome::Kind::kNotSent:
      return MERGE_NOT_SENT;
    case LeafOutcome::Kind::kExpired:
      return MERGE_EXPIRED;
    case LeafOutcome::Kind::kCancelled:
      return MERGE_WITHDRAWN;
    case LeafOutcome::Kind::kLeafCrashed:
      return MERGE_LEAF_ENDED;
    default:
      return MERGE_NO_ANSWER;
  }
}

MergeResult& addResult(MergeTask& task, ExchangeId requesterExchange, MergeOutcome outcome, Moment now) {
  MergeResult& result = *task.results.add_results();
  result.set_exchange(requesterExchange);
  result.set_outcome(outcome);
  result.set_taken_us(static_cast<std::uint64_t>((now - task.receivedAt).count()));
  return result;
}

/// Reports the load that the leaf has reported plus the requests that wait here for a connection to it, since
/// further requests from the requester would queue behind both.
void setLoad(const LeafStatus& leaf, const std::optional<ReportedLoad>& reported, MergeResult& result) {
  const auto outstanding = static_cast<unsigned>(leaf.inProgress());
  const unsigned slots = std::max(1U, leaf.entry().slots);
  const ReportedLoad load = reported.value_or(ReportedLoad{});
  result.set_slots(slots);
  result.set_running(std::max(load.running, std::min(outstanding, slots)));
  result.set_waiting(std::max(load.waiting, outstanding > slots ? outstanding - slots : 0));
}

/// Moves the task's results into a frame for the requester.
OutgoingMergeResults takeResults(MergeTask& task) {
  OutgoingMergeResults outgoing{task.requester, {}};
  outgoing.results.Swap(&task.results);
  task.greatest = greatestRecords({task.greatest, task.newRecords}, task.topRecords);
  outgoing.results.set_receiver_run(task.requesterRunId);
  outgoing.results.set_records(recordsWithinTop(task.newRecords, task.greatest, task.topRecords));
  outgoing.results.set_earlier_answers(task.returnedAnswers);
  task.newRecords.clear();
  for (const MergeResult& result : outgoing.results.results()) {
    task.returnedAnswers += result.outcome() == MERGE_ANSWERED ? 1 : 0;
  }
  return outgoing;
}

}  // namespace

std::shared_ptr<LeafStatus> MergeServer::findLeaf(const MergePart& part) const {
  const auto& leafs = context_.leafs.leafsOf(part.service());
  const auto found = std::find_if(leafs.begin(), leafs.end(), [&](const auto& leaf) {
    const bool sameIncarnation = part.leaf_born() == 0 || part.leaf_born() == leaf->entry().processStartedAt;
    return leaf->usable() && leaf->entry().id == part.leaf() && sameIncarnation;
  });
  return found == leafs.end() ? nullptr : *found;
}

MergeServerActions MergeServer::onWork(const Endpoint& requester, const MergeWork& work, Moment now) {
  MergeServerActions out;
  const TaskPointer task = taskFor(requester, work, now);

  const RouteLatency& latency = context_.latencyOf(task->route);
  const Duration expected = latency.high();
  for (const MergePart& part : work.parts()) {
    const std::shared_ptr<LeafStatus> leaf = findLeaf(part);
    if (!leaf) {
      addResult(*task, part.exchange(), MERGE_NOT_SENT, now);
      continue;
    }
    SendAction send;
    send.exchange = context_.exchanges.next++;
    send.leaf = leaf;
    send.deadline = task->deadline;
    send.minTimeLeft = minResponseTime(*leaf, {latency.unloadedLatency(), latency.sufficientTime()});
    leaf->onStarted(send.exchange, expected, now);
    ++task->openParts;
    parts_.emplace(send.exchange, Part{task, leaf, part.exchange()});
    out.sends.push_back(MergeSend{task, std::move(send)});
  }
  returnWhenDue(task, true, now, out);
  return out;
}

void MergeServer::returnWhenDue(const TaskPointer& task, bool urgent, Moment now, MergeServerActions& out) {
  if (task->results.results_size() == 0) {
    return;
  }
  if (urgent || task->openParts == 0 || now >= task->batchUntil) {
    batching_.remove(task);
    out.results.push_back(takeResults(*task));
  } else if (std::find(batching_.begin(), batching_.end(), task) == batching_.end()) {
    batching_.push_back(task);
  }
}

MergeServerActions MergeServer::onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now) {
  MergeServerActions out;
  const auto found = parts_.find(exchange);
  if (found == parts_.end()) {
    return out;
  }
  const Part part = std::move(found->second);
  parts_.erase(found);
  MergeTask& task = *part.task;
  --task.openParts;
  MergeResult& result = addResult(task, part.requesterExchange, codeOf(outcome.kind), now);
  setLoad(*part.leaf, outcome.load, result);
  const bool answered = outcome.kind == LeafOutcome::Kind::kAnswered;
  if (answered) {
    result.set_signature(outcome.signature);
    task.newRecords = greatestRecords({task.newRecords, outcome.reply->body}, task.topRecords);
  }
  // Other outcomes are urgent: the requester may send to another leaf.
  returnWhenDue(part.task, !answered, now, out);
  return out;
}

MergeServerActions MergeServer::onTimer(Moment now) {
  MergeServerActions out;
  const std::list<TaskPointer> batching = batching_;
  for (const TaskPointer& task : batching) {
    returnWhenDue(task, false, now, out);
  }
  return out;
}

Moment MergeServer::nextDecisionAt() const {
  Moment next = kNever;
  for (const TaskPointer& task : batching_) {
    next = std::min(next, task->batchUntil);
  }
  return next;
}

MergeServerActions MergeServer::onCancel(const Endpoint& requester, const MergeCancel& cancel) const {
  MergeServerActions out;
  const auto& exchanges = cancel.exchanges();
  for (const auto& [exchange, part] : parts_) {
    const bool same = part.task->requester == requester && part.task->requesterRunId == cancel.sender_run();
    if (same && std::find(exchanges.begin(), exchanges.end(), part.requesterExchange) != exchanges.end()) {
      out.cancellations.push_back(exchange);
    }
  }
  return out;
}

}  // namespace oakpier::serving
