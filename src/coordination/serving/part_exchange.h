#pragma once

/// A part of a query that this daemon sends to leafs itself, with hedges and retries.
///
/// Invariants: at most `attempts` leafs can have executed the request; a request that is not repeatable is
/// sent to another leaf only after every earlier one is known not to have executed it; every send after one
/// that may have arrived is paid for from the service's budget; nothing is sent to a leaf that usually takes
/// longer than the time left; an unanswered part is retried at most once after the leafs' deadline; nothing
/// is sent after the first send while the request's `SendCaution` holds.

#include <optional>
#include <string>
#include <vector>

#include "coordination/serving/query_part.h"
#include "coordination/serving/query_policy.h"
#include "coordination/serving/request_trace.h"
#include "coordination/serving/send_caution.h"

namespace oakpier::serving {

class PartExchange : public QueryPart {
 public:
  /// `trace` and `caution` must outlive the part.
  PartExchange(std::string service, const Route& route, QueryContext& context, RequestTrace& trace,
               SendCaution& caution);

  void start(Moment now, const PartTimes& times, QueryActions& actions) override;
  void onWritten(ExchangeId exchange) override;
  void onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now, QueryActions& actions) override;
  void onTime(Moment now, QueryActions& actions) override;
  void onReleased(Moment now, QueryActions& actions) override;
  void close(QueryActions& actions) override;
  Moment nextDecisionAt() const override;
  bool anythingOut() const override { return anyOut(); }
  bool mayHaveRun() const override;
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
    bool knownNotRun = false;
    /// Paid for from the budget of extra attempts.
    bool paid = false;
  };

  bool send(Decision decision, bool paid, Moment now, QueryActions& actions);
  /// Short while the budget is full, and longer the less is left of it.
  Duration hedgeDelay(const RouteLatency& latency, Moment now);
  bool mayTryAgain() const;
  /// Sends again if allowed. Takes the send from the budget if an earlier one may have arrived.
  bool sendAgain(Decision decision, Moment now, QueryActions& actions);
  void concludeIfExhausted(Moment now, QueryActions& actions);
  bool anyOut() const;
  /// Whether `caution_` forbids further sends. A trial may still go to another leaf if the first one
  /// is unreachable.
  bool mustWait() const { return caution_.holds() && (!caution_.oneLeafFirst() || mayHaveArrived()); }
  bool renewable() const;
  /// Late retry: sends once more after the leafs' deadline, with a new deadline one target latency away.
  void renew(Moment now, QueryActions& actions);
  std::size_t countedAttempts() const;
  Attempt* find(ExchangeId exchange);
  void note(Decision decision, const std::shared_ptr<LeafStatus>& leaf, Moment now,
            std::optional<LeafOutcome::Kind> outcome = std::nullopt);

  const Route& route_;
  QueryContext& context_;
  RequestTrace& trace_;
  SendCaution& caution_;
  std::vector<Attempt> attempts_;
  std::vector<LeafLife> triedLeafs_;
  Moment hedgeAt_ = kNever;
  bool renewed_ = false;
  /// The last extra attempt was denied by the budget.
  bool extraSendDenied_ = false;
  /// Outcome of the last exchange that ended without an answer.
  std::optional<LeafOutcome::Kind> lastFailure_;
};

}  // namespace oakpier::serving
