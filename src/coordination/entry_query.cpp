#include "coordination/entry_query.h"

#include <algorithm>

#include "state/erase.h"
#include "state/hashing.h"

namespace oakpier {

namespace {

/// Maximum number of plans (snapshots) tried for one query.
constexpr std::uint32_t kMaxPlans = 3;
/// Hedge delay of `HedgeMode::kFixed`, and the fallback until enough latencies were recorded.
constexpr Duration kDefaultHedgeDelay = std::chrono::milliseconds(30);
/// Returned to the caller when neither a daemon nor a leaf sent a retry-after time.
constexpr std::uint32_t kDefaultRetryAfterMs = 100;
/// Maximum size of the rows in one answer.
constexpr std::size_t kMaxAnswerBytes = std::size_t{4} << 20U;

bool confirmsNotRun(const LeafAnswer& answer) {
  switch (answer.status()) {
    case LEAF_SNAPSHOT_NOT_HELD:
    case LEAF_SHED:
    case LEAF_DRAINING:
    case LEAF_EXPIRED:
    case LEAF_WRONG_SHARD:
      return true;
    default:
      return false;
  }
}

}  // namespace

EntryQuery::EntryQuery(QueryContext context) : context_(std::move(context)) {
  answer_.set_request_id(context_.request.request_id());
  answer_.set_configuration_revision(context_.view->table->revision());
}

EntryQuery::~EntryQuery() {
  for (std::uint32_t number = 0; number < attempts_.size(); ++number) {
    endAttempt(number, AttemptState::kCancelled);
  }
}

QueryActions EntryQuery::start(Moment now) {
  QueryActions actions;
  const SnapshotChoice choice = chooseSnapshot(*context_.view, *context_.service);
  snapshot_ = choice.snapshot;
  plan();
  if (!choice.unreported.empty()) {
    discover(choice.unreported, now, actions);
  }
  if (phase_ == Phase::kExecuting) {
    execute(now, actions);
  }
  finishWhenPossible(now, actions);
  return actions;
}

QueryActions EntryQuery::onResults(const Endpoint& owner, const ResultBatch& results, Moment now) {
  QueryActions actions;
  context_.ownerHealth->recordReply(owner);
  for (const auto& result : results.results()) {
    if (finished()) {
      break;
    }
    onResult(result, now, actions);
  }
  if (!finished()) {
    finishWhenPossible(now, actions);
  }
  return actions;
}

QueryActions EntryQuery::onTimer(Moment now) {
  QueryActions actions;
  if (finished()) {
    return actions;
  }
  if (now < context_.deadline) {
    hedgeSlowShards(now, actions);
  }
  finishWhenPossible(now, actions);
  return actions;
}

QueryActions EntryQuery::cancel(Moment /*now*/) {
  QueryActions actions;
  cancelledByCaller_ = true;
  finish(actions);
  return actions;
}

/// Starts a new plan: discards the rows and selects the shards to query (only one if the request has a
/// routing key) from the partition that `snapshot_` belongs to; 0 means the newest partition.
void EntryQuery::plan() {
  ++planNumber_;
  rows_.clear();
  truncated_ = false;
  shards_.clear();
  const auto& service = *context_.service;
  const auto& partition = snapshot_ == 0 ? service.partitions.back() : service.partitionAt(snapshot_);
  const std::string& key = context_.request.routing_key();
  const std::size_t onlyShard = key.empty() ? 0 : hashText(key) % partition.shards.size();
  for (std::size_t position = 0; position < partition.shards.size(); ++position) {
    if (key.empty() || position == onlyShard) {
      ShardProgress progress;
      progress.shard = &partition.shards[position];
      shards_.push_back(std::move(progress));
    }
  }
  phase_ = Phase::kExecuting;
}

/// Requests the state, which lists the snapshots held, from one replica of each unreported shard.
void EntryQuery::discover(const std::vector<const ShardEntry*>& unreported, Moment now,
                          QueryActions& actions) {
  ++counters_.discoveries;
  ReplicaSelector selector(*context_.view, context_.policy.choice, *context_.random);
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    const bool wanted =
        std::find(unreported.begin(), unreported.end(), shards_[shard].shard) != unreported.end();
    const auto leaf = wanted ? selector.choose(*shards_[shard].shard, 0, {}, now) : std::nullopt;
    if (leaf) {
      addAttempt(shard, *leaf, true, now, actions);
      phase_ = Phase::kDiscovering;
    }
  }
}

void EntryQuery::execute(Moment now, QueryActions& actions) {
  phase_ = Phase::kExecuting;
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    sendAttempt(shard, now, actions);
  }
  const auto count = static_cast<std::uint32_t>(shards_.size());
  context_.runtime->hedges.earn(count, context_.service->hedge.budget_percent());
  context_.runtime->retries.earn(count, context_.service->retry.budget_percent());
}

/// Returns false when the shard has no untried replica.
bool EntryQuery::sendAttempt(std::size_t shard, Moment now, QueryActions& actions) {
  ReplicaSelector selector(*context_.view, context_.policy.choice, *context_.random);
  const auto leaf = selector.choose(*shards_[shard].shard, snapshot_, shards_[shard].excluded, now);
  if (!leaf) {
    return false;
  }
  addAttempt(shard, *leaf, false, now, actions);
  return true;
}

void EntryQuery::addAttempt(std::size_t shard, LeafIndex leaf, bool statusOnly, Moment now,
                            QueryActions& actions) {
  const auto number = static_cast<std::uint32_t>(attempts_.size());
  Attempt attempt;
  attempt.plan = planNumber_;
  attempt.shard = shard;
  attempt.leaf = leaf;
  attempt.owner = ownerOf(leaf, now);
  attempt.sentAt = now;
  attempt.statusOnly = statusOnly;
  WorkItem& item = *batchFor(attempt.owner, statusOnly, now, actions).add_items();
  item.set_attempt(number);
  item.set_leaf(context_.view->table->leaf(leaf).name);
  item.set_shard(shards_[shard].shard->name);
  if (!statusOnly) {
    shards_[shard].excluded.push_back(leaf);
    ++counters_.leafRequests;
  }
  shards_[shard].attempts.push_back(number);
  context_.view->table->leaf(leaf).knowledge->addOutstanding();
  attempts_.push_back(attempt);
}

/// Returns the batch for `owner`: leaf requests sent to one owner at the same time share a frame.
WorkBatch& EntryQuery::batchFor(const Endpoint& owner, bool statusOnly, Moment now,
                                QueryActions& actions) const {
  for (auto& outgoing : actions.work) {
    if (outgoing.owner == owner && outgoing.batch.status_only() == statusOnly) {
      return outgoing.batch;
    }
  }
  context_.ownerHealth->recordSent(owner, now);
  WorkBatch& batch = actions.work.emplace_back(OutgoingWork{owner, {}}).batch;
  batch.set_work_id(context_.workId);
  batch.set_request_id(context_.request.request_id());
  batch.set_service(context_.service->name);
  batch.set_snapshot(snapshot_);
  batch.set_query(context_.request.query());
  batch.set_max_rows(context_.request.max_rows());
  batch.set_remaining_ms(toMilliseconds(context_.deadline - now));
  batch.set_not_repeatable(context_.request.not_repeatable());
  batch.set_priority(context_.priority);
  batch.set_status_only(statusOnly);
  batch.set_revision(context_.view->table->revision());
  return batch;
}

Endpoint EntryQuery::ownerOf(LeafIndex leaf, Moment now) const {
  const LeafOwners& owners = context_.view->owners[leaf];
  for (const Endpoint& owner : owners) {
    const bool failed =
        std::find(unreachableOwners_.begin(), unreachableOwners_.end(), owner) != unreachableOwners_.end();
    if (owner != Endpoint() && !failed && !context_.ownerHealth->unresponsive(owner, now)) {
      return owner;
    }
  }
  return owners.front();
}

void EntryQuery::onResult(const WorkResult& result, Moment now, QueryActions& actions) {
  const std::uint32_t number = result.attempt();
  if (number >= attempts_.size()) {
    return;
  }
  const LeafEntry& leaf = context_.view->table->leaf(attempts_[number].leaf);
  if (result.leaf() != leaf.name) {
    return;
  }
  if (result.state_known()) {
    leaf.knowledge->record(result.state(), now);
  }
  if (attempts_[number].state != AttemptState::kInFlight) {
    return;
  }
  retryAfterMs_ = std::max(retryAfterMs_, result.retry_after_ms());
  onAttemptResult(number, result, now, actions);
}

/// Precondition: attempt `number` is in flight.
void EntryQuery::onAttemptResult(std::uint32_t number, const WorkResult& result, Moment now,
                                 QueryActions& actions) {
  Attempt& attempt = attempts_[number];
  const std::size_t shard = attempt.shard;
  if (attempt.statusOnly) {
    endAttempt(number, AttemptState::kNotRun);
    return;
  }
  const LeafEntry& leaf = context_.view->table->leaf(attempt.leaf);
  if (result.status() == WORK_NOT_SENT) {
    endAttempt(number, AttemptState::kNotRun);
    if (result.reason() == NOT_SENT_OWNER_UNREACHABLE || result.reason() == NOT_SENT_STALE_FRAME ||
        result.reason() == NOT_SENT_STOPPING) {
      // The failure is the owner's: the same leaf may be retried through another owner.
      unreachableOwners_.push_back(attempt.owner);
      eraseValue(shards_[shard].excluded, attempt.leaf);
    } else if (result.reason() == NOT_SENT_LEAF_UNREACHABLE) {
      leaf.knowledge->recordFailure();
    }
    retry(shard, now, actions);
    return;
  }
  if (result.status() != WORK_ANSWERED || result.answer().status() == LEAF_FAILED) {
    endAttempt(number, AttemptState::kLost);
    leaf.knowledge->recordFailure();
    retry(shard, now, actions);
    return;
  }
  if (confirmsNotRun(result.answer())) {
    endAttempt(number, AttemptState::kNotRun);
    retry(shard, now, actions);
    return;
  }
  endAttempt(number, AttemptState::kExecuted);
  const Duration latency = now - attempt.sentAt;
  context_.runtime->latencies.record(latency, now);
  leaf.knowledge->recordLatency(latency);
  // Answers of an earlier plan come from another snapshot and are discarded.
  const bool current = result.answer().snapshot() == snapshot_ && attempt.plan == planNumber_ &&
                       result.answer().shard() == shards_[shard].shard->name;
  if (current) {
    coverShard(shards_[shard], result.answer(), actions);
  }
}

void EntryQuery::coverShard(ShardProgress& progress, const LeafAnswer& answer, QueryActions& actions) {
  if (progress.covered) {
    return;
  }
  progress.covered = true;
  truncated_ = truncated_ || answer.truncated();
  for (const auto& row : answer.rows()) {
    rows_.push_back(row);
    rows_.back().set_shard(progress.shard->name);
  }
  for (const std::uint32_t number : progress.attempts) {
    cancelAttempt(number, actions);
  }
}

/// Moves an attempt in flight to its final state; no effect on an attempt that already ended.
void EntryQuery::endAttempt(std::uint32_t number, AttemptState state) {
  Attempt& attempt = attempts_[number];
  if (attempt.state != AttemptState::kInFlight) {
    return;
  }
  attempt.state = state;
  context_.view->table->leaf(attempt.leaf).knowledge->removeOutstanding();
}

/// Retries a shard whose attempt ended without rows, within the attempt limit and the retry budget. A lost
/// attempt of a non-repeatable request is never retried.
void EntryQuery::retry(std::size_t shard, Moment now, QueryActions& actions) {
  ShardProgress& progress = shards_[shard];
  if (progress.covered || newestInFlight(progress) != nullptr || now >= context_.deadline) {
    return;
  }
  const bool lost =
      std::any_of(progress.attempts.begin(), progress.attempts.end(),
                  [&](std::uint32_t number) { return attempts_[number].state == AttemptState::kLost; });
  if (lost && context_.request.not_repeatable()) {
    return;
  }
  if (progress.attempts.size() >= context_.service->retry.max_attempts() ||
      !context_.runtime->retries.spend()) {
    ++counters_.retriesDenied;
    return;
  }
  if (sendAttempt(shard, now, actions)) {
    ++counters_.retries;
  }
}

/// Called when no attempt is in flight and the answer is still incomplete. Replans the whole request at
/// another snapshot, a non-repeatable one only if none of its attempts may have run; otherwise finishes.
void EntryQuery::replanOrFinish(Moment now, QueryActions& actions) {
  const bool mayReplan = !context_.request.not_repeatable() || !mayHaveRun();
  const SnapshotChoice choice = chooseSnapshot(*context_.view, *context_.service);
  const bool better = choice.snapshot != 0 && choice.snapshot != snapshot_;
  if (!mayReplan || !better || planNumber_ >= kMaxPlans || now >= context_.deadline) {
    finish(actions);
    return;
  }
  ++counters_.replans;
  cancelInFlight(actions);
  snapshot_ = choice.snapshot;
  plan();
  execute(now, actions);
}

void EntryQuery::hedgeSlowShards(Moment now, QueryActions& actions) {
  const bool allowed = context_.policy.hedge != HedgeMode::kOff && context_.service->hedge.enabled() &&
                       !context_.request.not_repeatable() && phase_ == Phase::kExecuting;
  if (!allowed) {
    return;
  }
  const Duration delay = hedgeDelay();
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    ShardProgress& progress = shards_[shard];
    const Attempt* inFlight = newestInFlight(progress);
    const bool slow =
        !progress.covered && !progress.hedgeDenied && inFlight != nullptr && now - inFlight->sentAt >= delay;
    if (!slow || progress.attempts.size() >= context_.service->retry.max_attempts()) {
      continue;
    }
    if (!context_.runtime->hedges.spend()) {
      progress.hedgeDenied = true;
      ++counters_.hedgesDenied;
    } else if (sendAttempt(shard, now, actions)) {
      ++counters_.hedges;
    } else {
      progress.hedgeDenied = true;
    }
  }
}

Duration EntryQuery::hedgeDelay() const {
  if (context_.policy.hedge == HedgeMode::kFixed) {
    return kDefaultHedgeDelay;
  }
  const Duration estimate = context_.runtime->latencies.estimate().value_or(kDefaultHedgeDelay);
  return std::max(estimate, fromMilliseconds(context_.service->hedge.minimum_delay_ms()));
}

const EntryQuery::Attempt* EntryQuery::newestInFlight(const ShardProgress& progress) const {
  for (auto number = progress.attempts.rbegin(); number != progress.attempts.rend(); ++number) {
    if (attempts_[*number].state == AttemptState::kInFlight) {
      return &attempts_[*number];
    }
  }
  return nullptr;
}

Moment EntryQuery::nextWake() const {
  Moment wake = context_.deadline;
  const Duration partialAfter = fromMilliseconds(context_.service->wait.partial_after_ms());
  if (partialAfter.count() > 0 && reachedCoverage() >= minimumCoverage()) {
    wake = std::min(wake, context_.arrivedAt + partialAfter);
  }
  const Duration delay = hedgeDelay();
  for (const auto& progress : shards_) {
    const Attempt* inFlight = newestInFlight(progress);
    if (!progress.covered && !progress.hedgeDenied && inFlight != nullptr &&
        progress.attempts.size() < context_.service->retry.max_attempts()) {
      wake = std::min(wake, inFlight->sentAt + delay);
    }
  }
  return wake;
}

void EntryQuery::finishWhenPossible(Moment now, QueryActions& actions) {
  if (now >= context_.deadline) {
    finish(actions);
    return;
  }
  if (phase_ == Phase::kDiscovering) {
    if (noAttemptInFlight()) {
      snapshot_ = chooseSnapshot(*context_.view, *context_.service).snapshot;
      plan();
      if (snapshot_ != 0) {
        execute(now, actions);
      }
    } else {
      return;
    }
  }
  const Duration partialAfter = fromMilliseconds(context_.service->wait.partial_after_ms());
  const bool partialAllowed = partialAfter.count() > 0 && now - context_.arrivedAt >= partialAfter;
  if (reachedCoverage() >= 1.0 ||
      (partialAllowed && reachedCoverage() > 0 && reachedCoverage() >= minimumCoverage())) {
    finish(actions);
  } else if (noAttemptInFlight()) {
    replanOrFinish(now, actions);
  }
}

bool EntryQuery::noAttemptInFlight() const {
  return std::none_of(shards_.begin(), shards_.end(),
                      [&](const ShardProgress& progress) { return newestInFlight(progress) != nullptr; });
}

void EntryQuery::finish(QueryActions& actions) {
  writeOutcome();
  cancelInFlight(actions);
  phase_ = Phase::kFinished;
}

void EntryQuery::cancelInFlight(QueryActions& actions) {
  for (std::uint32_t number = 0; number < attempts_.size(); ++number) {
    cancelAttempt(number, actions);
  }
}

void EntryQuery::cancelAttempt(std::uint32_t number, QueryActions& actions) {
  const Attempt& attempt = attempts_[number];
  if (attempt.state != AttemptState::kInFlight) {
    return;
  }
  endAttempt(number, AttemptState::kCancelled);
  for (auto& outgoing : actions.cancels) {
    if (outgoing.owner == attempt.owner) {
      outgoing.cancel.add_attempts(number);
      return;
    }
  }
  OutgoingCancel outgoing{attempt.owner, {}};
  outgoing.cancel.set_work_id(context_.workId);
  outgoing.cancel.add_attempts(number);
  actions.cancels.push_back(std::move(outgoing));
}

/// Whether any leaf request was executed or may have been: lost, cancelled and in-flight attempts count.
bool EntryQuery::mayHaveRun() const {
  return std::any_of(attempts_.begin(), attempts_.end(), [](const Attempt& attempt) {
    return !attempt.statusOnly && attempt.state != AttemptState::kNotRun;
  });
}

double EntryQuery::reachedCoverage() const {
  const auto covered = std::count_if(shards_.begin(), shards_.end(),
                                     [](const ShardProgress& progress) { return progress.covered; });
  return shards_.empty() ? 0 : static_cast<double>(covered) / static_cast<double>(shards_.size());
}

double EntryQuery::minimumCoverage() const {
  return std::max(context_.service->wait.minimum_coverage(), context_.request.minimum_coverage());
}

void EntryQuery::writeOutcome() {
  for (const auto& progress : shards_) {
    (progress.covered ? answer_.add_covered() : answer_.add_lacking())->assign(progress.shard->name);
  }
  const auto needed = static_cast<std::uint32_t>(shards_.size());
  answer_.set_extra_leaf_requests(counters_.leafRequests > needed ? counters_.leafRequests - needed : 0);
  const double reached = reachedCoverage();
  const bool enough = reached > 0 && reached >= minimumCoverage();
  if (enough) {
    answer_.set_outcome(reached >= 1.0 ? OUTCOME_COMPLETE : OUTCOME_PARTIAL);
    answer_.set_snapshot(snapshot_);
    writeRows();
    return;
  }
  if (mayHaveRun()) {
    answer_.set_outcome(OUTCOME_UNKNOWN);
    answer_.mutable_error()->set_code(cancelledByCaller_ ? ERROR_DEADLINE : ERROR_COVERAGE_TOO_LOW);
    answer_.mutable_error()->set_message("too few shards answered in time");
    return;
  }
  answer_.set_outcome(OUTCOME_NOT_RUN);
  answer_.set_retry_after_ms(retryAfterMs_ == 0 ? kDefaultRetryAfterMs : retryAfterMs_);
  answer_.mutable_error()->set_code(ERROR_NO_REPLICA);
  answer_.mutable_error()->set_message("no leaf took the request");
}

/// Writes the rows of all shards sorted by key, truncated to the row and byte limits.
void EntryQuery::writeRows() {
  std::sort(rows_.begin(), rows_.end(), [](const Row& left, const Row& right) {
    return left.key() != right.key() ? left.key() < right.key() : left.shard() < right.shard();
  });
  std::size_t bytes = 0;
  for (auto& row : rows_) {
    bytes += row.ByteSizeLong();
    const bool full = answer_.rows_size() >= static_cast<int>(context_.request.max_rows());
    if (full || bytes > kMaxAnswerBytes) {
      truncated_ = true;
      break;
    }
    *answer_.add_rows() = std::move(row);
  }
  answer_.set_truncated(truncated_);
}

}  // namespace oakpier
