#include "coordination/serving/part_exchange.h"

#include <algorithm>
#include <utility>

#include "coordination/serving/leaf_selection.h"

namespace oakpier::serving {

namespace {

/// A hedge that could not be sent is tried again after this.
constexpr Duration kHedgeRetry = std::chrono::milliseconds(10);
/// A hedge is never sent sooner than this after the first send.
constexpr Duration kShortestHedgeDelay = std::chrono::milliseconds(3);
constexpr Duration kHedgeMargin = std::chrono::milliseconds(5);
/// Leafs that turn a request away do not use up its attempts, but no more than this many are asked.
constexpr std::size_t kMostSends = 6;

}  // namespace

PartExchange::PartExchange(std::string service, const Route& route, QueryContext& context,
                           RequestTrace& trace, SendCaution& caution)
    : QueryPart(std::move(service)), route_(route), context_(context), trace_(trace), caution_(caution) {}

void PartExchange::note(Decision decision, const std::shared_ptr<LeafStatus>& leaf, Moment now,
                        std::optional<LeafOutcome::Kind> outcome) {
  TraceEvent event{now, decision, service_, leaf, 0, 0, {}, outcome, std::nullopt};
  if (leaf) {
    event.queueLength = leaf->queueLength(now);
    event.slowness = leaf->slowness();
    event.stalledFor = leaf->stalledFor(now);
  }
  trace_.add(std::move(event));
}

void PartExchange::start(Moment now, const PartTimes& times, QueryActions& actions) {
  heldBack_ = false;
  context_.budgets.earn(service_, now);
  times_ = times;
  if (!send(Decision::kSend, false, now, actions)) {
    state_ = State::kExhausted;
  }
}

bool PartExchange::send(Decision decision, bool paid, Moment now, QueryActions& actions) {
  RouteLatency& latency = context_.latencyOf(route_);
  const Duration timeLeft = times_.leafDeadline - now;
  const AnswerTime answerTime{latency.withoutQueue(), latency.alwaysWorthTrying()};
  const SelectionRequest request{
      triedLeafs_, latency.typical(), context_.ownZone,           context_.preferredZone,
      timeLeft,    answerTime,        context_.warmupOf(service_)};
  auto leaf = selectLeaf(context_.leafs.leafsOf(service_), request, context_.random, now);
  note(leaf ? decision : Decision::kNoLeaf, leaf, now);
  if (!leaf) {
    return false;
  }
  Attempt attempt;
  attempt.exchange = context_.exchanges.next++;
  attempt.leaf = leaf;
  attempt.startedAt = now;
  attempt.paid = paid;
  leaf->onStarted(attempt.exchange, latency.high(), now);
  triedLeafs_.push_back(leaf->entry().life());
  const Duration leastTime = leastAnswerTime(*leaf, answerTime);
  actions.sends.push_back(SendAction{attempt.exchange, leaf, std::nullopt, times_.leafDeadline, leastTime});
  attempts_.push_back(std::move(attempt));
  if (route_.repeatable) {
    hedgeAt_ = now + hedgeDelay(latency, now);
  }
  return true;
}

Duration PartExchange::hedgeDelay(const RouteLatency& latency, Moment now) {
  const Duration early = std::max(kShortestHedgeDelay, latency.high());
  if (times_.usefulUntil == kNever) {
    return early;
  }
  // The latest moment from which the other leaf can still be expected to answer in time.
  const Duration late = times_.usefulUntil - now - latency.high() - kHedgeMargin;
  if (late <= early) {
    return std::max(latency.typical() * 3 / 2, late);
  }
  const double spent = 1.0 - context_.budgets.fill(service_, now);
  return early + Duration(static_cast<std::int64_t>((late - early).count() * spent));
}

std::size_t PartExchange::countedAttempts() const {
  return static_cast<std::size_t>(
      std::count_if(attempts_.begin(), attempts_.end(),
                    [](const Attempt& attempt) { return !(attempt.finished && attempt.knownNotRun); }));
}

bool PartExchange::mayTryAgain() const {
  if (mustWait()) {
    return false;
  }
  if (attempts_.size() >= kMostSends || countedAttempts() >= route_.attempts) {
    return false;
  }
  return route_.repeatable || !mayHaveRun();
}

bool PartExchange::sendAgain(Decision decision, Moment now, QueryActions& actions) {
  if (!mayTryAgain()) {
    return false;
  }
  const bool paid = mayHaveArrived();
  extraSendDenied_ = paid && !context_.budgets.spend(service_, now);
  if (extraSendDenied_) {
    note(Decision::kBudgetEmpty, nullptr, now);
    return false;
  }
  const bool sent = send(decision, paid, now, actions);
  if (paid && !sent) {
    context_.budgets.giveBack(service_, now);
  }
  return sent;
}

PartExchange::Attempt* PartExchange::find(ExchangeId exchange) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [&](const Attempt& attempt) { return attempt.exchange == exchange; });
  return found == attempts_.end() ? nullptr : &*found;
}

void PartExchange::onWritten(ExchangeId exchange) {
  if (Attempt* attempt = find(exchange)) {
    attempt->written = true;
  }
}

void PartExchange::onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now,
                             QueryActions& actions) {
  Attempt* attempt = find(exchange);
  if (attempt == nullptr || attempt->finished) {
    return;
  }
  attempt->finished = true;
  caution_.onOutcome(outcome.kind);
  note(Decision::kOutcome, attempt->leaf, now, outcome.kind);
  if (state_ != State::kOpen) {
    if (state_ == State::kAnswered && outcome.merged && outcome.kind == LeafOutcome::Kind::kAnswered) {
      outcome_ = outcome;
    }
    return;
  }
  if (outcome.kind == LeafOutcome::Kind::kAnswered) {
    outcome_ = outcome;
    state_ = State::kAnswered;
    return;
  }
  lastFailure_ = outcome.kind;
  const bool unsent =
      outcome.kind == LeafOutcome::Kind::kNotSent || outcome.kind == LeafOutcome::Kind::kExpired;
  attempt->knownNotRun = unsent || outcome.kind == LeafOutcome::Kind::kNotExecuted ||
                         outcome.kind == LeafOutcome::Kind::kWrongInstance;
  if (unsent) {
    attempt->written = false;
    if (attempt->paid) {
      context_.budgets.giveBack(service_, now);
    }
  }
  if (outcome.kind == LeafOutcome::Kind::kLeafFailed) {
    outcome_ = outcome;
  }
  concludeIfExhausted(now, actions);
}

void PartExchange::concludeIfExhausted(Moment now, QueryActions& actions) {
  if (anyOut() || awaitsRenewal_ || heldBack_) {
    return;
  }
  if (mustWait()) {
    heldBack_ = true;
    note(Decision::kHeldBack, nullptr, now);
    return;
  }
  if (sendAgain(Decision::kRetry, now, actions)) {
    return;
  }
  if (renewable()) {
    awaitsRenewal_ = true;
    return;
  }
  state_ = State::kExhausted;
}

void PartExchange::onReleased(Moment now, QueryActions& actions) {
  if (!heldBack()) {
    return;
  }
  if (attempts_.empty()) {
    start(now, times_, actions);
    return;
  }
  heldBack_ = false;
  concludeIfExhausted(now, actions);
}

bool PartExchange::anyOut() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const Attempt& attempt) { return !attempt.finished; });
}

bool PartExchange::renewable() const {
  return !renewed_ && times_.lastDeadline > times_.leafDeadline && mayTryAgain();
}

void PartExchange::renew(Moment now, QueryActions& actions) {
  renewed_ = true;
  awaitsRenewal_ = false;
  times_.leafDeadline = std::min(times_.lastDeadline, now + route_.targetLatency);
  // A leaf that was asked before may be asked again once nothing of it is out.
  triedLeafs_.clear();
  for (const Attempt& attempt : attempts_) {
    if (!attempt.finished) {
      triedLeafs_.push_back(attempt.leaf->entry().life());
    }
  }
  if (!sendAgain(Decision::kRenew, now, actions) && !anyOut()) {
    state_ = State::kExhausted;
  }
}

void PartExchange::onTime(Moment now, QueryActions& actions) {
  if (state_ == State::kOpen && now >= times_.leafDeadline && renewable()) {
    renew(now, actions);
  }
  if (state_ != State::kOpen || now < hedgeAt_) {
    return;
  }
  hedgeAt_ = kNever;
  const bool worthIt = now < times_.usefulUntil;
  if (worthIt && (mustWait() || !caution_.mayHedge())) {
    hedgeAt_ = now + kHedgeRetry;
    return;
  }
  if (!worthIt || !mayTryAgain()) {
    return;
  }
  if (sendAgain(Decision::kHedge, now, actions)) {
    caution_.onHedge();
  } else {
    hedgeAt_ = now + kHedgeRetry;
  }
}

Moment PartExchange::nextDecisionAt() const {
  if (state_ != State::kOpen) {
    return kNever;
  }
  return renewable() ? std::min(hedgeAt_, times_.leafDeadline) : hedgeAt_;
}

bool PartExchange::mayHaveRun() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const Attempt& attempt) { return attempt.written && !attempt.knownNotRun; });
}

bool PartExchange::mayHaveArrived() const {
  // One that still waits to be written may arrive as well.
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const Attempt& attempt) { return attempt.written || !attempt.finished; });
}

LossCause PartExchange::lossCause() const {
  if (heldBack()) {
    return LossCause::kLeafCrashed;
  }
  if (attempts_.empty()) {
    return LossCause::kNoUsableLeaf;
  }
  if (state_ == State::kAnswered || anyOut()) {
    if (extraSendDenied_) {
      return LossCause::kRetryBudgetExhausted;
    }
    return attempts_.size() == 1 ? LossCause::kOneLeafSlow : LossCause::kEveryLeafSlow;
  }
  switch (lastFailure_.value_or(LeafOutcome::Kind::kNoAnswer)) {
    case LeafOutcome::Kind::kNotExecuted:
    case LeafOutcome::Kind::kWrongInstance:
      return LossCause::kRejectedByLeafs;
    case LeafOutcome::Kind::kLeafEnded:
      return LossCause::kLeafCrashed;
    case LeafOutcome::Kind::kNotSent:
      return LossCause::kLeafUnreachable;
    case LeafOutcome::Kind::kExpired:
      return LossCause::kWaitedForConnection;
    case LeafOutcome::Kind::kLeafFailed:
      return LossCause::kLeafFailed;
    default:
      return LossCause::kConnectionBroken;
  }
}

void PartExchange::close(QueryActions& actions) {
  for (const Attempt& attempt : attempts_) {
    if (!attempt.finished) {
      actions.abandons.push_back(attempt.exchange);
    }
  }
}

}  // namespace oakpier::serving
