#pragma once

/// A part of a query that this daemon sends to leafs itself, with hedges and retries.
///
/// Invariants: at most `attempts` leafs can have executed the request; a request that is not repeatable is
/// sent to another leaf only after every earlier one is known not to have executed it; every send after one
/// that may have arrived is paid for from the service's budget; nothing is sent to a leaf that usually takes
/// longer than the time left; an unanswered part is retried at most once after the leafs' deadline; while the
/// request's `CrashGuard` blocks sends, nothing is sent after the first send, except that a trial may go to
/// another leaf if the first one was unreachable.

#include <optional>
#include <string>
#include <vector>

#include "coordination/serving/crash_guard.h"
#include "coordination/serving/query_part.h"
#include "coordination/serving/query_policy.h"
#include "coordination/serving/request_trace.h"

namespace oakpier::serving {

class DirectPart : public QueryPart {
 public:
  /// `trace` and `crashGuard` must outlive the part.
  DirectPart(std::string service, const Route& route, QueryContext& context, RequestTrace& trace,
             CrashGuard& crashGuard);

  void start(Moment now, const PartDeadlines& deadlines, QueryActions& actions) override;
  void onWriteStarted(ExchangeId exchange) override;
  void onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now, QueryActions& actions) override;
  void onTimer(Moment now, QueryActions& actions) override;
  void onResumed(Moment now, QueryActions& actions) override;
  void close(QueryActions& actions) override;
  Moment nextDecisionAt() const override;
  bool hasPendingExchange() const override { return anyPending(); }
  bool mayHaveExecuted() const override;
  LossCause lossCause() const override;
  /// Whether a leaf may have received the request, even if it did not execute it.
  bool mayHaveArrived() const;
  std::size_t sendCount() const { return attempts_.size(); }

 private:
  struct Attempt {
    ExchangeId exchange = 0;
    std::shared_ptr<LeafStatus> leaf;
    Moment startedAt{};
    bool written = false;
    bool finished = false;
    /// The leaf cannot have executed the request.
    bool knownNotExecuted = false;
    /// Paid for from the retry budget.
    bool paid = false;
  };

  bool send(Decision decision, bool paid, Moment now, QueryActions& actions);
  /// Short while the budget is full, and longer the less is left of it.
  Duration hedgeDelay(const RouteLatency& latency, Moment now);
  bool mayTryAgain() const;
  /// Sends again if allowed. Takes the send from the budget if an earlier one may have arrived.
  bool sendAgain(Decision decision, Moment now, QueryActions& actions);
  void concludeIfExhausted(Moment now, QueryActions& actions);
  bool anyPending() const;
  /// Whether `crashGuard_` forbids further sends. A trial may still go to another leaf if the first one
  /// is unreachable.
  bool sendsBlocked() const {
    return crashGuard_.blocksSends() && (!crashGuard_.isTrial() || mayHaveArrived());
  }
  bool mayRetryLate() const;
  /// Late retry: sends once more after the leafs' deadline, with a new deadline one target latency away.
  void retryLate(Moment now, QueryActions& actions);
  std::size_t countedAttempts() const;
  Attempt* find(ExchangeId exchange);
  void addTraceEvent(Decision decision, const std::shared_ptr<LeafStatus>& leaf, Moment now,
                     std::optional<LeafOutcome::Kind> outcome = std::nullopt);

  const Route& route_;
  QueryContext& context_;
  RequestTrace& trace_;
  CrashGuard& crashGuard_;
  std::vector<Attempt> attempts_;
  std::vector<LeafIncarnation> triedLeafs_;
  Moment hedgeAt_ = kNever;
  bool lateRetryUsed_ = false;
  /// The last extra attempt was denied by the budget.
  bool retryBudgetDenied_ = false;
  /// Outcome of the last exchange that ended without an answer.
  std::optional<LeafOutcome::Kind> lastFailure_;
};

}  // namespace oakpier::serving
