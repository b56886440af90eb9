#include "coordination/serving/direct_part.h"

#include <algorithm>
#include <utility>

#include "coordination/serving/leaf_selection.h"

namespace oakpier::serving {

namespace {

/// Delay before a hedge that could not be sent is tried again.
constexpr Duration kHedgeRetry = std::chrono::milliseconds(10);
/// Minimum delay of a hedge after the previous send.
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(3);
constexpr Duration kHedgeMargin = std::chrono::milliseconds(5);
/// Limit on all sends of one part. Leafs that reject a request do not count against the route's `attempts`.
constexpr std::size_t kMaxSends = 6;

}  // namespace

DirectPart::DirectPart(std::string service, const Route& route, QueryContext& context, RequestTrace& trace,
                       CrashGuard& crashGuard)
    : QueryPart(std::move(service)),
      route_(route),
      context_(context),
      trace_(trace),
      crashGuard_(crashGuard) {}

void DirectPart::addTraceEvent(Decision decision, const std::shared_ptr<LeafStatus>& leaf, Moment now,
                               std::optional<LeafOutcome::Kind> outcome) {
  TraceEvent event{now, decision, service_, leaf, 0, 0, {}, outcome, std::nullopt};
  if (leaf) {
    event.queueLength = leaf->queueLength(now);
    event.latencyRatio = leaf->latencyRatio();
    event.overdueFor = leaf->overdueFor(now);
  }
  trace_.add(std::move(event));
}

void DirectPart::start(Moment now, const PartDeadlines& deadlines, QueryActions& actions) {
  suspended_ = false;
  context_.budgets.deposit(service_, now);
  deadlines_ = deadlines;
  if (!send(Decision::kSend, false, now, actions)) {
    state_ = State::kExhausted;
  }
}

bool DirectPart::send(Decision decision, bool paid, Moment now, QueryActions& actions) {
  RouteLatency& latency = context_.latencyOf(route_);
  const Duration timeLeft = deadlines_.leafDeadline - now;
  const LatencyBounds latencyBounds{latency.unloadedLatency(), latency.sufficientTime()};
  const SelectionRequest request{
      triedLeafs_, latency.median(), context_.ownZone,           context_.preferredZone,
      timeLeft,    latencyBounds,    context_.warmupOf(service_)};
  auto leaf = selectLeaf(context_.leafs.leafsOf(service_), request, context_.random, now);
  addTraceEvent(leaf ? decision : Decision::kNoLeaf, leaf, now);
  if (!leaf) {
    return false;
  }
  Attempt attempt;
  attempt.exchange = context_.exchanges.next++;
  attempt.leaf = leaf;
  attempt.startedAt = now;
  attempt.paid = paid;
  leaf->onStarted(attempt.exchange, latency.high(), now);
  triedLeafs_.push_back(leaf->entry().incarnation());
  const Duration minTimeLeft = minResponseTime(*leaf, latencyBounds);
  actions.sends.push_back(
      SendAction{attempt.exchange, leaf, std::nullopt, deadlines_.leafDeadline, minTimeLeft});
  attempts_.push_back(std::move(attempt));
  if (route_.repeatable) {
    hedgeAt_ = now + hedgeDelay(latency, now);
  }
  return true;
}

Duration DirectPart::hedgeDelay(const RouteLatency& latency, Moment now) {
  const Duration early = std::max(kMinHedgeDelay, latency.high());
  if (deadlines_.answerBy == kNever) {
    return early;
  }
  // The latest time at which another leaf can still be expected to answer in time.
  const Duration late = deadlines_.answerBy - now - latency.high() - kHedgeMargin;
  if (late <= early) {
    return std::max(latency.median() * 3 / 2, late);
  }
  const double spent = 1.0 - context_.budgets.fillRatio(service_, now);
  return early + Duration(static_cast<std::int64_t>((late - early).count() * spent));
}

std::size_t DirectPart::countedAttempts() const {
  return static_cast<std::size_t>(
      std::count_if(attempts_.begin(), attempts_.end(),
                    [](const Attempt& attempt) { return !(attempt.finished && attempt.knownNotExecuted); }));
}

bool DirectPart::mayTryAgain() const {
  if (sendsBlocked()) {
    return false;
  }
  if (attempts_.size() >= kMaxSends || countedAttempts() >= route_.attempts) {
    return false;
  }
  return route_.repeatable || !mayHaveExecuted();
}

bool DirectPart::sendAgain(Decision decision, Moment now, QueryActions& actions) {
  if (!mayTryAgain()) {
    return false;
  }
  const bool paid = mayHaveArrived();
  retryBudgetDenied_ = paid && !context_.budgets.tryWithdraw(service_, now);
  if (retryBudgetDenied_) {
    addTraceEvent(Decision::kBudgetEmpty, nullptr, now);
    return false;
  }
  const bool sent = send(decision, paid, now, actions);
  if (paid && !sent) {
    context_.budgets.refund(service_, now);
  }
  return sent;
}

DirectPart::Attempt* DirectPart::find(ExchangeId exchange) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [&](const Attempt& attempt) { return attempt.exchange == exchange; });
  return found == attempts_.end() ? nullptr : &*found;
}

void DirectPart::onWriteStarted(ExchangeId exchange) {
  if (Attempt* attempt = find(exchange)) {
    attempt->written = true;
  }
}

void DirectPart::onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now,
                           QueryActions& actions) {
  Attempt* attempt = find(exchange);
  if (attempt == nullptr || attempt->finished) {
    return;
  }
  attempt->finished = true;
  crashGuard_.onOutcome(outcome.kind);
  addTraceEvent(Decision::kOutcome, attempt->leaf, now, outcome.kind);
  if (state_ != State::kOpen) {
    // Other answers of the same merge may omit records that rank below those of this one.
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
  attempt->knownNotExecuted = unsent || outcome.kind == LeafOutcome::Kind::kNotExecuted ||
                              outcome.kind == LeafOutcome::Kind::kWrongInstance;
  if (unsent) {
    attempt->written = false;
    if (attempt->paid) {
      context_.budgets.refund(service_, now);
    }
  }
  if (outcome.kind == LeafOutcome::Kind::kLeafFailed) {
    outcome_ = outcome;
  }
  concludeIfExhausted(now, actions);
}

void DirectPart::concludeIfExhausted(Moment now, QueryActions& actions) {
  if (anyPending() || awaitsLateRetry_ || suspended_) {
    return;
  }
  if (sendsBlocked()) {
    suspended_ = true;
    addTraceEvent(Decision::kSuspended, nullptr, now);
    return;
  }
  if (sendAgain(Decision::kRetry, now, actions)) {
    return;
  }
  if (mayRetryLate()) {
    awaitsLateRetry_ = true;
    return;
  }
  state_ = State::kExhausted;
}

void DirectPart::onResumed(Moment now, QueryActions& actions) {
  if (!suspended()) {
    return;
  }
  if (attempts_.empty()) {
    start(now, deadlines_, actions);
    return;
  }
  suspended_ = false;
  concludeIfExhausted(now, actions);
}

bool DirectPart::anyPending() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const Attempt& attempt) { return !attempt.finished; });
}

bool DirectPart::mayRetryLate() const {
  return !lateRetryUsed_ && deadlines_.lateRetryDeadline > deadlines_.leafDeadline && mayTryAgain();
}

void DirectPart::retryLate(Moment now, QueryActions& actions) {
  lateRetryUsed_ = true;
  awaitsLateRetry_ = false;
  deadlines_.leafDeadline = std::min(deadlines_.lateRetryDeadline, now + route_.targetLatency);
  // Leafs without a pending exchange may be tried again.
  triedLeafs_.clear();
  for (const Attempt& attempt : attempts_) {
    if (!attempt.finished) {
      triedLeafs_.push_back(attempt.leaf->entry().incarnation());
    }
  }
  if (!sendAgain(Decision::kLateRetry, now, actions) && !anyPending()) {
    state_ = State::kExhausted;
  }
}

void DirectPart::onTimer(Moment now, QueryActions& actions) {
  if (state_ == State::kOpen && now >= deadlines_.leafDeadline && mayRetryLate()) {
    retryLate(now, actions);
  }
  if (state_ != State::kOpen || now < hedgeAt_) {
    return;
  }
  hedgeAt_ = kNever;
  const bool inTime = now < deadlines_.answerBy;
  if (inTime && (sendsBlocked() || !crashGuard_.mayHedge())) {
    hedgeAt_ = now + kHedgeRetry;
    return;
  }
  if (!inTime || !mayTryAgain()) {
    return;
  }
  if (sendAgain(Decision::kHedge, now, actions)) {
    crashGuard_.onHedge();
  } else {
    hedgeAt_ = now + kHedgeRetry;
  }
}

Moment DirectPart::nextDecisionAt() const {
  if (state_ != State::kOpen) {
    return kNever;
  }
  return mayRetryLate() ? std::min(hedgeAt_, deadlines_.leafDeadline) : hedgeAt_;
}

bool DirectPart::mayHaveExecuted() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const Attempt& attempt) { return attempt.written && !attempt.knownNotExecuted; });
}

bool DirectPart::mayHaveArrived() const {
  // A request that is still waiting to be written may arrive, too.
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const Attempt& attempt) { return attempt.written || !attempt.finished; });
}

LossCause DirectPart::lossCause() const {
  if (suspended()) {
    return LossCause::kLeafCrashed;
  }
  if (attempts_.empty()) {
    return LossCause::kNoUsableLeaf;
  }
  if (state_ == State::kAnswered || anyPending()) {
    if (retryBudgetDenied_) {
      return LossCause::kRetryBudgetExhausted;
    }
    return attempts_.size() == 1 ? LossCause::kOneLeafSlow : LossCause::kEveryLeafSlow;
  }
  switch (lastFailure_.value_or(LeafOutcome::Kind::kNoAnswer)) {
    case LeafOutcome::Kind::kNotExecuted:
    case LeafOutcome::Kind::kWrongInstance:
      return LossCause::kRejectedByLeafs;
    case LeafOutcome::Kind::kLeafCrashed:
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

void DirectPart::close(QueryActions& actions) {
  for (const Attempt& attempt : attempts_) {
    if (!attempt.finished) {
      actions.cancellations.push_back(attempt.exchange);
    }
  }
}

}  // namespace oakpier::serving
