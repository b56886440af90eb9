#include "programs/gateway/merge_client.h"

#include <algorithm>
#include <map>

#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

/// Limits the transit time of work, because the merge server counts the leafs' remaining time from its
/// receipt.
constexpr std::uint32_t kWorkLifetimeMilliseconds = 250;
constexpr std::uint32_t kCancelLifetimeMilliseconds = 2000;
/// A merge server reports the outcome of a request, also of a cancelled one, within this time after the
/// leafs' deadline.
constexpr Duration kResultGrace = std::chrono::milliseconds(400);

MergeWork workFor(const MergeClient::RequestParameters& parameters, std::uint64_t run, Moment now) {
  MergeWork work;
  work.set_sender_run(run);
  work.set_method(parameters.request->method);
  work.set_target(parameters.request->target);
  for (const Header& header : parameters.request->headers) {
    HeaderField* field = work.add_headers();
    field->set_name(header.name);
    field->set_value(header.value);
  }
  work.set_body(parameters.request->body);
  work.set_tenant(parameters.request->tenant);
  work.set_route(parameters.route->name);
  work.set_rank(parameters.rank);
  work.set_target_latency_us(static_cast<std::uint64_t>(parameters.route->targetLatency.count()));
  const Duration remaining = std::max(parameters.leafDeadline - now, Duration(0));
  work.set_remaining_us(static_cast<std::uint64_t>(remaining.count()));
  const Duration hold = std::max(std::min(parameters.decidesAt, parameters.leafDeadline) - now, Duration(0));
  work.set_hold_us(static_cast<std::uint64_t>(hold.count()));
  work.set_top_records(
      static_cast<std::uint32_t>(std::get<GatherTarget>(parameters.route->target).topRecords));
  return work;
}

LeafOutcome::Kind kindOf(MergeOutcome outcome) {
  switch (outcome) {
    case MERGE_ANSWERED:
      return LeafOutcome::Kind::kAnswered;
    case MERGE_LEAF_FAILED:
      return LeafOutcome::Kind::kLeafFailed;
    case MERGE_NOT_EXECUTED:
      return LeafOutcome::Kind::kNotExecuted;
    case MERGE_WRONG_INSTANCE:
      return LeafOutcome::Kind::kWrongInstance;
    case MERGE_NOT_SENT:
      return LeafOutcome::Kind::kNotSent;
    case MERGE_EXPIRED:
      return LeafOutcome::Kind::kExpired;
    case MERGE_WITHDRAWN:
      return LeafOutcome::Kind::kCancelled;
    case MERGE_LEAF_ENDED:
      return LeafOutcome::Kind::kLeafCrashed;
    default:
      return LeafOutcome::Kind::kNoAnswer;
  }
}

/// `records`: the merged records of the frame, passed with one of its answers and empty for the others.
LeafOutcome outcomeOf(const MergeResult& result, std::string records) {
  LeafOutcome outcome;
  outcome.kind = kindOf(result.outcome());
  outcome.merged = true;
  if (outcome.kind == LeafOutcome::Kind::kAnswered) {
    auto reply = std::make_shared<HttpReply>();
    reply->body = std::move(records);
    outcome.reply = std::move(reply);
    outcome.signature = result.signature();
  }
  return outcome;
}

}  // namespace

MergeClient::MergeClient(boost::asio::io_context& io, QueryContext& context,
                         MergeServerSelector& mergeServers, FrameSender sendFrame)
    : context_(context),
      mergeServers_(mergeServers),
      sendFrame_(std::move(sendFrame)),
      runId_(context.random()),
      timer_(io) {}

void MergeClient::send(const std::vector<SendAction>& sends, const RequestParameters& parameters) {
  const Moment now = steadyNow();
  std::map<Endpoint, std::pair<std::shared_ptr<MergeJob>, PeerEnvelope>> frames;
  for (const SendAction& send : sends) {
    const auto [entry, isNew] = frames.try_emplace(*send.mergeServer);
    auto& [job, frame] = entry->second;
    if (isNew) {
      job = std::make_shared<MergeJob>(MergeJob{*send.mergeServer, parameters.route, 0});
      *frame.mutable_merge_work() = workFor(parameters, runId_, now);
      frame.set_time_to_live_ms(kWorkLifetimeMilliseconds);
    }
    MergePart* part = frame.mutable_merge_work()->add_parts();
    part->set_exchange(send.exchange);
    part->set_service(send.leaf->entry().service);
    part->set_leaf(send.leaf->entry().id);
    part->set_leaf_born(send.leaf->entry().processStartedAt);
    const Moment expiresAt = parameters.leafDeadline + kResultGrace;
    pending_[send.exchange] = Pending{job, send.leaf, now, expiresAt, parameters.listener};
    expiries_.emplace(expiresAt, send.exchange);
    ++counters_.parts;
  }
  for (auto& [mergeServer, entry] : frames) {
    mergeServers_.onSent(mergeServer, now);
    sendFrame_(mergeServer, std::move(entry.second));
  }
  armTimer();
}

void MergeClient::cancel(const std::vector<ExchangeId>& exchanges) {
  std::map<Endpoint, PeerEnvelope> frames;
  for (const ExchangeId exchange : exchanges) {
    const auto pending = pending_.find(exchange);
    if (pending == pending_.end() || !pending->second.listener) {
      continue;
    }
    pending->second.listener = nullptr;
    PeerEnvelope& frame = frames[pending->second.job->mergeServer];
    frame.mutable_merge_cancel()->set_sender_run(runId_);
    frame.mutable_merge_cancel()->add_exchanges(exchange);
    frame.set_time_to_live_ms(kCancelLifetimeMilliseconds);
  }
  for (auto& [mergeServer, frame] : frames) {
    sendFrame_(mergeServer, std::move(frame));
  }
}

void MergeClient::onResults(const Endpoint& mergeServer, const MergeResults& results) {
  if (results.receiver_run() != runId_) {
    return;
  }
  const Moment now = steadyNow();
  mergeServers_.onReceived(mergeServer, now);
  const bool complete = acceptAnswers(results);
  std::string records = results.records();
  std::shared_ptr<const Listener> listener;
  std::vector<ExchangeOutcome> outcomes;
  for (const MergeResult& result : results.results()) {
    const std::optional<Pending> pending = removePending(result.exchange());
    if (!pending) {
      continue;
    }
    recordResult(result, *pending, now);
    listener = pending->listener ? pending->listener : listener;
    const bool lost = result.outcome() == MERGE_ANSWERED && !complete;
    counters_.incomplete += lost ? 1 : 0;
    outcomes.push_back({result.exchange(), lost ? LeafOutcome{} : outcomeOf(result, records)});
    if (result.outcome() == MERGE_ANSWERED) {
      records.clear();
    }
  }
  if (listener) {
    (*listener)(outcomes);
  }
  armTimer();
}

bool MergeClient::acceptAnswers(const MergeResults& results) {
  std::shared_ptr<MergeJob> job;
  unsigned answers = 0;
  for (const MergeResult& result : results.results()) {
    if (result.outcome() != MERGE_ANSWERED) {
      continue;
    }
    const auto found = pending_.find(result.exchange());
    if (found == pending_.end() || (job && found->second.job != job)) {
      return false;
    }
    job = found->second.job;
    ++answers;
  }
  if (!job || job->answersReceived != results.earlier_answers()) {
    return false;
  }
  job->answersReceived += answers;
  return true;
}

void MergeClient::recordResult(const MergeResult& result, const Pending& pending, Moment now) {
  const auto taken = Duration(static_cast<std::int64_t>(result.taken_us()));
  const Moment endedAt = std::min(now, pending.startedAt + taken);
  pending.leaf->onFinished(result.exchange(), kindOf(result.outcome()), endedAt);
  if (result.slots() > 0) {
    pending.leaf->onLoadReport(ReportedLoad{result.running(), result.waiting(), result.slots()}, endedAt);
  }
  if (result.outcome() == MERGE_ANSWERED) {
    context_.latencyOf(*pending.job->route).record(endedAt - pending.startedAt, now);
  }
}

std::optional<MergeClient::Pending> MergeClient::removePending(ExchangeId exchange) {
  const auto found = pending_.find(exchange);
  if (found == pending_.end()) {
    return std::nullopt;
  }
  Pending pending = std::move(found->second);
  pending_.erase(found);
  expiries_.erase({pending.expiresAt, exchange});
  return pending;
}

void MergeClient::failPending(ExchangeId exchange, LeafOutcome::Kind kind) {
  const std::optional<Pending> pending = removePending(exchange);
  if (!pending) {
    return;
  }
  // Nothing is known about the leaf: the merge server itself may be unresponsive.
  pending->leaf->onFinished(exchange, LeafOutcome::Kind::kCancelled, steadyNow());
  if (pending->listener) {
    LeafOutcome outcome;
    outcome.kind = kind;
    (*pending->listener)({ExchangeOutcome{exchange, outcome}});
  }
}

void MergeClient::onUndeliverable(const MergeWork& work) {
  for (const MergePart& part : work.parts()) {
    failPending(part.exchange(), LeafOutcome::Kind::kNotSent);
  }
  armTimer();
}

void MergeClient::expire() {
  const Moment now = steadyNow();
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    ++counters_.expired;
    failPending(expiries_.begin()->second, LeafOutcome::Kind::kNoAnswer);
  }
  armTimer();
}

void MergeClient::armTimer() {
  timer_.arm(expiries_.empty() ? kNever : expiries_.begin()->first, [this] { expire(); });
}

}  // namespace oakpier::serving
