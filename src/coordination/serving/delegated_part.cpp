#include "coordination/serving/delegated_part.h"

#include <algorithm>
#include <utility>

#include "coordination/serving/shard_owners.h"

namespace oakpier::serving {

namespace {

constexpr Duration kOwnerCheckInterval = std::chrono::milliseconds(50);

}  // namespace

DelegatedPart::DelegatedPart(std::string service, const Route& route, QueryContext& context,
                             RequestTrace& trace, CrashGuard& crashGuard)
    : QueryPart(std::move(service)),
      route_(route),
      context_(context),
      trace_(trace),
      crashGuard_(crashGuard) {}

void DelegatedPart::addTraceEvent(Decision decision, const Endpoint& owner, Moment now,
                                  std::optional<LeafOutcome::Kind> outcome) {
  trace_.add(TraceEvent{now, decision, service_, nullptr, 0, 0, {}, outcome, owner});
}

void DelegatedPart::start(Moment now, const PartDeadlines& deadlines, QueryActions& actions) {
  suspended_ = false;
  deadlines_ = deadlines;
  owners_ = context_.owners->ownersOf(service_, now);
  if (!delegate(now, actions)) {
    state_ = State::kExhausted;
  }
}

bool DelegatedPart::delegate(Moment now, QueryActions& actions) {
  if (delegations_.size() >= owners_.size()) {
    return false;
  }
  Delegation delegation;
  delegation.exchange = context_.exchanges.next++;
  delegation.owner = owners_[delegations_.size()];
  addTraceEvent(Decision::kDelegate, delegation.owner, now);
  // While further sends are blocked, as in a trial, the request may reach one leaf only: no retry by the
  // owner.
  const unsigned attempts = crashGuard_.blocksSends() ? 1 : route_.attempts;
  actions.delegations.push_back(DelegateAction{delegation.exchange, delegation.owner, service_, attempts});
  delegations_.push_back(delegation);
  checkAt_ = now + kOwnerCheckInterval;
  return true;
}

void DelegatedPart::onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now,
                              QueryActions& actions) {
  Delegation& last = delegations_.back();
  if (last.exchange != exchange || last.finished || state_ != State::kOpen) {
    return;
  }
  last.finished = true;
  crashGuard_.onOutcome(outcome.kind);
  addTraceEvent(Decision::kOwnerOutcome, last.owner, now, outcome.kind);
  if (outcome.kind == LeafOutcome::Kind::kAnswered) {
    outcome_ = outcome;
    state_ = State::kAnswered;
    return;
  }
  const bool notSent = outcome.kind == LeafOutcome::Kind::kNotSent;
  last.knownNotExecuted = notSent || outcome.kind == LeafOutcome::Kind::kNotExecuted;
  const bool timeIsLeft = now < deadlines_.leafDeadline;
  if (!notSent || !timeIsLeft || !delegate(now, actions)) {
    state_ = State::kExhausted;
  }
}

void DelegatedPart::onTimer(Moment now, QueryActions&) {
  if (state_ != State::kOpen || now < checkAt_) {
    return;
  }
  checkAt_ = now + kOwnerCheckInterval;
  const Endpoint& owner = delegations_.back().owner;
  if (context_.owners->isUnresponsive(owner, now)) {
    addTraceEvent(Decision::kOwnerUnresponsive, owner, now);
    ownerUnresponsive_ = true;
    state_ = State::kExhausted;
  }
}

void DelegatedPart::onResumed(Moment now, QueryActions& actions) {
  if (suspended()) {
    start(now, deadlines_, actions);
  }
}

void DelegatedPart::close(QueryActions& actions) {
  for (const Delegation& delegation : delegations_) {
    if (!delegation.finished) {
      actions.cancellations.push_back(delegation.exchange);
    }
  }
}

LossCause DelegatedPart::lossCause() const {
  if (suspended()) {
    return LossCause::kLeafCrashed;
  }
  if (delegations_.empty()) {
    return LossCause::kNoUsableLeaf;
  }
  if (ownerUnresponsive_) {
    return LossCause::kOwnerUnresponsive;
  }
  return state_ == State::kExhausted ? LossCause::kOwnerFailed : LossCause::kOwnerLate;
}

bool DelegatedPart::hasPendingExchange() const {
  return state_ == State::kOpen && !delegations_.empty() && !delegations_.back().finished;
}

bool DelegatedPart::mayHaveExecuted() const {
  return std::any_of(delegations_.begin(), delegations_.end(),
                     [](const Delegation& delegation) { return !delegation.knownNotExecuted; });
}

}  // namespace oakpier::serving
