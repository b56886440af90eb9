#include "coordination/serving/query.h"

#include <algorithm>
#include <utility>

#include "coordination/serving/delegated_part.h"
#include "coordination/serving/direct_part.h"
#include "coordination/serving/merge_server_selector.h"
#include "coordination/serving/record_merge.h"
#include "coordination/serving/shard_owners.h"

namespace oakpier::serving {

namespace {

/// HTTP status codes from this one on are errors.
constexpr unsigned kFirstErrorStatus = 400;

}  // namespace

Query::Query(std::shared_ptr<const ServingView> view, const Route& route, QueryContext& context,
             Moment receivedAt, Moment deadline, Start start)
    : view_(std::move(view)),
      route_(route),
      gather_(std::get_if<GatherTarget>(&route.target)),
      context_(context),
      receivedAt_(receivedAt),
      deadline_(std::min(deadline - context.policy.deadlineMargin, receivedAt + route.timeout)),
      crashGuard_(std::make_unique<CrashGuard>(start == Start::kTrial)) {
  const auto target = route.targetLatency.count();
  const auto share = Duration(static_cast<std::int64_t>(target * context.policy.answerMarginShare));
  answerBy_ = receivedAt + route.targetLatency - context.policy.answerMargin - share;
  leafDeadline_ = deadline_;
  // The leaf of a trial gets the whole time of the query: if the trial timed out before the leaf answers or
  // crashes, it would prove nothing.
  if (isGather() && !isTrial()) {
    const auto useful = Duration(static_cast<std::int64_t>(target * context.policy.leafDeadlineFactor));
    leafDeadline_ = std::min(deadline_, receivedAt + useful);
  }
}

std::string Query::chooseService() const {
  const auto& services = std::get<SingleTarget>(route_.target).services;
  if (services.size() == 1) {
    return services.front().service;
  }
  std::vector<double> weights;
  weights.reserve(services.size());
  for (const WeightedService& part : services) {
    weights.push_back(part.weight);
  }
  std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
  return services[choice(context_.random)].service;
}

QueryActions Query::start(Moment now) {
  QueryActions actions;
  const std::vector<std::string> services =
      isGather() ? gather_->shards : std::vector<std::string>{chooseService()};
  parts_.reserve(services.size());
  const PartDeadlines deadlines{answerBy_, leafDeadline_, deadline_};
  if (context_.mergeServers != nullptr) {
    context_.preferredZone = context_.mergeServers->chooseZone(context_.random);
  }
  bool trialStarted = false;
  for (const std::string& service : services) {
    parts_.push_back(newPart(service));
    QueryPart& part = *parts_.back();
    count(part, 1);
    if (trialStarted) {
      part.startSuspended(deadlines);
      continue;
    }
    advance(part, actions, [&] { part.start(now, deadlines, actions); });
    trialStarted = isTrial() && part.hasPendingExchange();
  }
  if (isGather() && context_.mergeServers != nullptr) {
    context_.mergeServers->assign(actions.sends, context_.random, now);
  }
  decide(now, actions);
  return actions;
}

std::unique_ptr<QueryPart> Query::newPart(const std::string& service) {
  if (isGather() && context_.owners != nullptr && context_.owners->usesOwners(service)) {
    return std::make_unique<DelegatedPart>(service, route_, context_, *trace_, *crashGuard_);
  }
  return std::make_unique<DirectPart>(service, route_, context_, *trace_, *crashGuard_);
}

void Query::count(const QueryPart& part, std::ptrdiff_t change) {
  partCounts_.answered += part.state() == QueryPart::State::kAnswered ? change : 0;
  partCounts_.settled += part.state() != QueryPart::State::kOpen ? change : 0;
  partCounts_.settledForTarget += part.settledForTarget() ? change : 0;
}

template <typename Step>
void Query::advance(QueryPart& part, QueryActions& actions, Step step) {
  const std::size_t sends = actions.sends.size();
  const std::size_t delegations = actions.delegations.size();
  count(part, -1);
  step();
  count(part, 1);
  for (std::size_t number = sends; number < actions.sends.size(); ++number) {
    exchanges_[actions.sends[number].exchange] = &part;
  }
  for (std::size_t number = delegations; number < actions.delegations.size(); ++number) {
    exchanges_[actions.delegations[number].exchange] = &part;
  }
}

void Query::onWriteStarted(ExchangeId exchange) {
  const auto found = exchanges_.find(exchange);
  if (found != exchanges_.end()) {
    found->second->onWriteStarted(exchange);
  }
}

QueryActions Query::onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now) {
  return onOutcomes({ExchangeOutcome{exchange, outcome}}, now);
}

QueryActions Query::onOutcomes(const std::vector<ExchangeOutcome>& outcomes, Moment now) {
  QueryActions actions;
  if (finished_) {
    return actions;
  }
  const bool wasBlocked = crashGuard_->blocksSends();
  for (const auto& [exchange, outcome] : outcomes) {
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end()) {
      continue;
    }
    QueryPart& part = *found->second;
    const ExchangeId endedExchange = exchange;
    const LeafOutcome& leafOutcome = outcome;
    advance(part, actions, [&] { part.onOutcome(endedExchange, leafOutcome, now, actions); });
    lastAnswered_ = part.state() == QueryPart::State::kAnswered ? &part : lastAnswered_;
  }
  if (wasBlocked && !crashGuard_->blocksSends()) {
    resume(now, actions);
  }
  decide(now, actions);
  return actions;
}

void Query::resume(Moment now, QueryActions& actions) {
  for (const auto& part : parts_) {
    advance(*part, actions, [&] { part->onResumed(now, actions); });
  }
}

bool Query::cannotProgress() const {
  return crashGuard_->blocksSends() && std::none_of(parts_.begin(), parts_.end(), [](const auto& part) {
           return part->hasPendingExchange();
         });
}

QueryActions Query::onTimer(Moment now) {
  QueryActions actions;
  if (finished_) {
    return actions;
  }
  answerDue_ = answerDue_ || now >= answerBy_;
  for (const auto& part : parts_) {
    advance(*part, actions, [&] { part->onTimer(now, actions); });
  }
  decide(now, actions);
  return actions;
}

QueryActions Query::onCallerDisconnected() {
  QueryActions actions;
  finished_ = true;
  for (const auto& part : parts_) {
    part->close(actions);
  }
  return actions;
}

Moment Query::nextDecisionAt() const {
  if (finished_) {
    return kNever;
  }
  Moment next = deadline_;
  if (isGather() && !answerDue_) {
    next = std::min(next, answerBy_);
  }
  for (const auto& part : parts_) {
    next = std::min(next, part->nextDecisionAt());
  }
  return next;
}

std::vector<std::string> Query::missingServices() const {
  std::vector<std::string> missing;
  for (const auto& part : parts_) {
    if (part->state() != QueryPart::State::kAnswered) {
      missing.push_back(part->service());
    }
  }
  return missing;
}

bool Query::mayHaveExecuted() const {
  return std::any_of(parts_.begin(), parts_.end(), [](const auto& part) { return part->mayHaveExecuted(); });
}

bool Query::hasEnoughAnswers() const {
  const std::size_t answered = answeredParts();
  return answered > 0 &&
         static_cast<double>(answered) >= gather_->minimumShardShare * static_cast<double>(parts_.size());
}

bool Query::canReachEnoughAnswers() const {
  const auto lost = static_cast<std::size_t>(partCounts_.settled - partCounts_.answered);
  const std::size_t left = parts_.size() - lost;
  return left > 0 &&
         static_cast<double>(left) >= gather_->minimumShardShare * static_cast<double>(parts_.size());
}

void Query::decide(Moment now, QueryActions& actions) {
  if (finished_) {
    return;
  }
  if (cannotProgress()) {
    finishWithoutAnswer(now, actions);
    return;
  }
  if (isGather()) {
    decideGather(now, actions);
  } else {
    decideSingle(now, actions);
  }
}

void Query::decideGather(Moment now, QueryActions& actions) {
  if (answeredParts() == parts_.size()) {
    finish(merge(), actions);
    return;
  }
  if (hasEnoughAnswers() && (allSettledForTarget() || answerDue_ || now >= deadline_)) {
    finish(merge(), actions);
    return;
  }
  if (allSettled() || !canReachEnoughAnswers() || now >= deadline_) {
    finishWithoutAnswer(now, actions);
  }
}

void Query::decideSingle(Moment now, QueryActions& actions) {
  const QueryPart& part = *parts_.front();
  if (part.state() == QueryPart::State::kAnswered) {
    finish(ForwardedAnswer{part.outcome().reply}, actions);
    return;
  }
  if (part.state() == QueryPart::State::kExhausted) {
    if (part.outcome().reply) {
      finish(ForwardedAnswer{part.outcome().reply}, actions);
    } else {
      finishWithoutAnswer(now, actions);
    }
    return;
  }
  if (now >= deadline_) {
    finishWithoutAnswer(now, actions);
  }
}

Loss Query::lossOf(const FinalAnswer& answer, Moment now) const {
  Loss loss;
  const bool late = now - receivedAt_ > route_.targetLatency;
  const auto* forwarded = std::get_if<ForwardedAnswer>(&answer);
  const bool answered = std::holds_alternative<MergedAnswer>(answer) ||
                        (forwarded != nullptr && forwarded->reply->status < kFirstErrorStatus);
  if (answered && late) {
    loss.add(lastAnswered_ == nullptr ? LossCause::kOneLeafSlow : lastAnswered_->lossCause(), 1.0);
    return loss;
  }
  if (forwarded != nullptr) {
    loss.add(LossCause::kLeafFailed, answered ? 0.0 : 1.0);
    return loss;
  }
  double share = 0;
  if (answered && !parts_.empty()) {
    share = static_cast<double>(answeredParts()) / static_cast<double>(parts_.size());
  }
  addMissing(1.0 - share * share, loss);
  return loss;
}

void Query::addMissing(double lost, Loss& loss) const {
  const std::size_t missing = parts_.size() - answeredParts();
  if (missing == 0) {
    return;
  }
  for (const auto& part : parts_) {
    if (part->state() != QueryPart::State::kAnswered) {
      loss.add(part->lossCause(), lost / static_cast<double>(missing));
    }
  }
}

void Query::finishWithoutAnswer(Moment now, QueryActions& actions) {
  if (mayHaveExecuted()) {
    finish(Failure{now >= deadline_}, actions);
  } else {
    finish(Refusal{context_.policy.retryAfter}, actions);
  }
}

void Query::finish(FinalAnswer answer, QueryActions& actions) {
  finished_ = true;
  for (const auto& part : parts_) {
    part->close(actions);
  }
  actions.answer = std::move(answer);
}

MergedAnswer Query::merge() const {
  MergedAnswer answer;
  std::vector<std::string_view> bodies;
  for (const auto& part : parts_) {
    if (part->state() == QueryPart::State::kAnswered) {
      answer.signatures.push_back(part->outcome().signature);
      bodies.emplace_back(part->outcome().reply->body);
    }
  }
  answer.missingShards = parts_.size() - bodies.size();
  answer.records = greatestRecords(bodies, gather_->topRecords);
  return answer;
}

}  // namespace oakpier::serving
