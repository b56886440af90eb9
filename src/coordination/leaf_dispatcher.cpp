#include "coordination/leaf_dispatcher.h"

#include <algorithm>

#include "coordination/placement.h"

namespace oakpier {

namespace {

/// Queue capacity of a leaf per unit of its concurrency limit.
constexpr std::size_t kQueuePerSlot = 16;
constexpr Duration kStatusTimeout = std::chrono::milliseconds(500);
/// Lanes unused for longer than this are removed.
constexpr Duration kLaneIdleTimeout = std::chrono::seconds(60);
constexpr Duration kRetryAfterUnreachable = std::chrono::milliseconds(200);
constexpr Duration kRetryAfterDraining = std::chrono::milliseconds(500);
constexpr std::int64_t kServiceTimeSmoothing = 8;

}  // namespace

DispatchActions LeafDispatcher::onWork(const Endpoint& entry, const std::shared_ptr<const WorkBatch>& batch,
                                       Moment deadline, const RoutingView& view, Moment now) {
  DispatchActions actions;
  for (int item = 0; item < batch->items_size(); ++item) {
    LeafTask task{entry, batch, item, deadline};
    acceptTask(std::move(task), view, now, actions);
  }
  return actions;
}

void LeafDispatcher::acceptTask(LeafTask task, const RoutingView& view, Moment now,
                                DispatchActions& actions) {
  const auto index = view.table->findLeaf(task.workItem().leaf());
  if (!index) {
    refuse(task, nullptr, NOT_SENT_UNKNOWN_LEAF, kRetryAfterUnreachable, actions);
    return;
  }
  const LeafEntry& leaf = view.table->leaf(*index);
  LeafLane& lane = laneOf(leaf, now);
  const bool reportedDraining = lane.stateKnown && lane.state.draining() && now - lane.stateAt < kStateLease;
  if (!task.batch->status_only() && (leaf.drained || view.leaving[*index] || reportedDraining)) {
    ++counters_.refusedDraining;
    refuse(task, &lane, NOT_SENT_DRAINING, kRetryAfterDraining, actions);
    return;
  }
  enqueue(std::move(task), leaf.name, lane, now, actions);
  sendQueued(leaf.name, lane, now, actions);
}

LeafLane& LeafDispatcher::laneOf(const LeafEntry& leaf, Moment now) {
  std::unique_ptr<LeafLane>& lane = lanes_[leaf.name];
  const bool replaced = lane != nullptr && lane->address != leaf.address && lane->inFlight == 0;
  if (lane == nullptr || replaced) {
    auto fresh = std::make_unique<LeafLane>(connectionShare(leaf));
    fresh->limit.setSlots(std::min<std::uint32_t>(leaf.slots, fresh->connectionShare));
    fresh->address = leaf.address;
    if (lane != nullptr) {
      fresh->queue = std::move(lane->queue);
    }
    lane = std::move(fresh);
  }
  lane->usedAt = now;
  return *lane;
}

void LeafDispatcher::enqueue(LeafTask task, const std::string& /*leaf*/, LeafLane& lane, Moment now,
                             DispatchActions& actions) {
  const std::uint32_t priority = task.batch->priority();
  const Duration wait = lane.expectedWait(priority);
  const bool missesDeadline = admissionControl_ && now + wait + lane.serviceTime > task.deadline;
  if (missesDeadline && !task.batch->status_only()) {
    ++counters_.refusedQueueFull;
    refuse(task, &lane, NOT_SENT_QUEUE_FULL, wait, actions);
    return;
  }
  if (lane.queue.size() >= kQueuePerSlot * std::max(1U, lane.limit.current())) {
    auto evicted = lane.queue.evictBelow(priority);
    ++(evicted ? counters_.evicted : counters_.refusedQueueFull);
    refuse(evicted ? *evicted : task, &lane, NOT_SENT_QUEUE_FULL, wait, actions);
    if (!evicted) {
      return;
    }
  }
  lane.queue.push(std::move(task));
}

/// Sends queued tasks up to the leaf's concurrency limit; a status check first if its state has expired.
void LeafDispatcher::sendQueued(const std::string& leaf, LeafLane& lane, Moment now,
                                DispatchActions& actions) {
  while (!lane.queue.empty() && lane.inFlight < std::max(1U, lane.limit.current())) {
    const bool fresh = lane.stateKnown && now - lane.stateAt < kStateLease;
    if (!fresh) {
      sendStatus(leaf, lane, now, actions);
      return;
    }
    LeafTask task = lane.queue.pop();
    if (task.batch->status_only()) {
      reply(task, resultFor(task, &lane), actions);
    } else if (lane.state.draining()) {
      ++counters_.refusedDraining;
      refuse(task, &lane, NOT_SENT_DRAINING, kRetryAfterDraining, actions);
    } else if (task.deadline <= now) {
      ++counters_.refusedExpired;
      refuse(task, &lane, NOT_SENT_EXPIRED, lane.expectedWait(task.batch->priority()), actions);
    } else {
      sendTask(leaf, lane, std::move(task), now, actions);
    }
  }
}

void LeafDispatcher::sendTask(const std::string& leaf, LeafLane& lane, LeafTask task, Moment now,
                              DispatchActions& actions) {
  const ExchangeId id = nextExchange_++;
  ++lane.inFlight;
  ++counters_.sent;
  actions.sends.push_back(SendToLeaf{id, lane.address, false, task, toMilliseconds(task.deadline - now)});
  const Moment deadline = task.deadline;
  exchanges_.emplace(id, Exchange{&lane, leaf, std::move(task), false, now, deadline});
}

void LeafDispatcher::sendStatus(const std::string& leaf, LeafLane& lane, Moment now,
                                DispatchActions& actions) {
  if (lane.statusCheckPending) {
    return;
  }
  lane.statusCheckPending = true;
  const ExchangeId id = nextExchange_++;
  ++counters_.statusChecks;
  actions.sends.push_back(SendToLeaf{id, lane.address, true, {}, toMilliseconds(kStatusTimeout)});
  exchanges_.emplace(id, Exchange{&lane, leaf, {}, true, now, now + kStatusTimeout});
}

DispatchActions LeafDispatcher::onAnswer(ExchangeId exchange, const LeafAnswer& answer, Moment now) {
  DispatchActions actions;
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end() || found->second.statusOnly) {
    return actions;
  }
  const Exchange ended = std::move(found->second);
  exchanges_.erase(found);
  LeafLane& lane = *ended.lane;
  --lane.inFlight;
  lane.failures = 0;
  updateState(lane, answer.state(), now);
  lane.limit.onAnswer(answer.status(), answer.state());
  lane.serviceTime += (now - ended.sentAt - lane.serviceTime) / kServiceTimeSmoothing;
  WorkResult result = resultFor(ended.task, &lane);
  // A mismatched answer does not tell whether this task ran.
  const bool matched = answer.request_id() == ended.task.batch->request_id() &&
                       answer.shard() == ended.task.workItem().shard() &&
                       (answer.status() != LEAF_OK || answer.snapshot() == ended.task.batch->snapshot());
  if (matched) {
    result.set_status(WORK_ANSWERED);
    *result.mutable_answer() = answer;
    result.set_retry_after_ms(answer.retry_after_ms());
  } else {
    ++counters_.mismatchedAnswers;
    result.set_status(WORK_NO_ANSWER);
  }
  reply(ended.task, std::move(result), actions);
  sendQueued(ended.leaf, lane, now, actions);
  return actions;
}

DispatchActions LeafDispatcher::onStatus(ExchangeId exchange, const LeafState& state, Moment now) {
  DispatchActions actions;
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end() || !found->second.statusOnly) {
    return actions;
  }
  const Exchange ended = std::move(found->second);
  exchanges_.erase(found);
  ended.lane->statusCheckPending = false;
  ended.lane->failures = 0;
  updateState(*ended.lane, state, now);
  ended.lane->limit.onAnswer(LEAF_STATUS_UNSPECIFIED, state);
  sendQueued(ended.leaf, *ended.lane, now, actions);
  return actions;
}

DispatchActions LeafDispatcher::onFailure(ExchangeId exchange, ExchangeFailure failure, Moment now) {
  DispatchActions actions;
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) {
    return actions;
  }
  const Exchange ended = std::move(found->second);
  exchanges_.erase(found);
  LeafLane& lane = *ended.lane;
  ++lane.failures;
  lane.stateKnown = false;
  if (ended.statusOnly) {
    lane.statusCheckPending = false;
    refuseAll(lane, NOT_SENT_LEAF_UNREACHABLE, actions);
    return actions;
  }
  --lane.inFlight;
  if (failure == ExchangeFailure::kNotConnected) {
    refuse(ended.task, &lane, NOT_SENT_LEAF_UNREACHABLE, kRetryAfterUnreachable, actions);
  } else {
    WorkResult result = resultFor(ended.task, &lane);
    result.set_status(WORK_NO_ANSWER);
    reply(ended.task, std::move(result), actions);
  }
  sendQueued(ended.leaf, lane, now, actions);
  return actions;
}

DispatchActions LeafDispatcher::onCancel(const CancelWork& cancel, Moment now) {
  DispatchActions actions;
  const auto matches = [&](const LeafTask& task) {
    const auto& attempts = cancel.attempts();
    return task.batch != nullptr && task.batch->work_id() == cancel.work_id() &&
           std::find(attempts.begin(), attempts.end(), task.workItem().attempt()) != attempts.end();
  };
  for (auto& [name, lane] : lanes_) {
    counters_.cancelled += lane->queue.extract(matches).size();
  }
  std::vector<std::string> freed;
  for (auto exchange = exchanges_.begin(); exchange != exchanges_.end();) {
    if (!matches(exchange->second.task)) {
      ++exchange;
      continue;
    }
    ++counters_.cancelled;
    actions.aborts.push_back(AbortExchange{exchange->first});
    freed.push_back(exchange->second.leaf);
    --exchange->second.lane->inFlight;
    exchange = exchanges_.erase(exchange);
  }
  for (const auto& leaf : freed) {
    sendQueued(leaf, *lanes_.at(leaf), now, actions);
  }
  return actions;
}

DispatchActions LeafDispatcher::onTimer(Moment now) {
  DispatchActions actions;
  std::vector<ExchangeId> overdue;
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange.deadline <= now) {
      overdue.push_back(id);
    }
  }
  for (const ExchangeId id : overdue) {
    ++counters_.timedOut;
    actions.aborts.push_back(AbortExchange{id});
    DispatchActions ended = onFailure(id, ExchangeFailure::kBroken, now);
    std::move(ended.replies.begin(), ended.replies.end(), std::back_inserter(actions.replies));
    std::move(ended.sends.begin(), ended.sends.end(), std::back_inserter(actions.sends));
  }
  for (auto lane = lanes_.begin(); lane != lanes_.end();) {
    expireQueued(*lane->second, now, actions);
    const bool idle =
        lane->second->queue.empty() && lane->second->inFlight == 0 && !lane->second->statusCheckPending;
    const bool expired = idle && now - lane->second->usedAt > kLaneIdleTimeout;
    lane = expired ? lanes_.erase(lane) : std::next(lane);
  }
  return actions;
}

std::size_t LeafDispatcher::busy() const {
  std::size_t tasks = exchanges_.size();
  for (const auto& [name, lane] : lanes_) {
    tasks += lane->queue.size();
  }
  return tasks;
}

void LeafDispatcher::expireQueued(LeafLane& lane, Moment now, DispatchActions& actions) {
  const auto expired = lane.queue.extract([now](const LeafTask& task) { return task.deadline <= now; });
  for (const auto& task : expired) {
    ++counters_.refusedExpired;
    refuse(task, &lane, NOT_SENT_EXPIRED, lane.expectedWait(task.batch->priority()), actions);
  }
}

void LeafDispatcher::refuseAll(LeafLane& lane, NotSentReason reason, DispatchActions& actions) {
  const auto tasks = lane.queue.extract([](const LeafTask&) { return true; });
  for (const auto& task : tasks) {
    refuse(task, &lane, reason, kRetryAfterUnreachable, actions);
  }
}

void LeafDispatcher::updateState(LeafLane& lane, const LeafState& state, Moment now) {
  lane.state = state;
  lane.stateKnown = true;
  lane.stateAt = now;
  if (state.slots() > 0) {
    lane.limit.setSlots(std::min(state.slots(), lane.connectionShare));
  }
}

WorkResult LeafDispatcher::resultFor(const LeafTask& task, const LeafLane* lane) {
  WorkResult result;
  result.set_attempt(task.workItem().attempt());
  result.set_leaf(task.workItem().leaf());
  result.set_shard(task.workItem().shard());
  result.set_status(WORK_NOT_SENT);
  if (lane != nullptr && lane->stateKnown) {
    result.set_state_known(true);
    *result.mutable_state() = lane->state;
  }
  return result;
}

void LeafDispatcher::refuse(const LeafTask& task, const LeafLane* lane, NotSentReason reason,
                            Duration retryAfter, DispatchActions& actions) {
  WorkResult result = resultFor(task, lane);
  result.set_reason(reason);
  result.set_retry_after_ms(toMilliseconds(retryAfter));
  reply(task, std::move(result), actions);
}

/// Results of one query that are produced by the same event share a frame.
void LeafDispatcher::reply(const LeafTask& task, WorkResult result, DispatchActions& actions) {
  for (auto& outgoing : actions.replies) {
    if (outgoing.entry == task.entry && outgoing.results.work_id() == task.batch->work_id()) {
      *outgoing.results.add_results() = std::move(result);
      return;
    }
  }
  ReplyToEntry& outgoing = actions.replies.emplace_back();
  outgoing.entry = task.entry;
  outgoing.results.set_work_id(task.batch->work_id());
  *outgoing.results.add_results() = std::move(result);
}

}  // namespace oakpier
