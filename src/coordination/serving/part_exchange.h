#pragma once

/// A part of a query that this daemon sends to leafs itself, hedges and retries.
///
/// Invariants: at most `attempts` leafs get the request; a request that is not repeatable goes to a second
/// leaf only after every earlier one is known not to have run it; each send after the first is paid for from
/// the service's budget; nothing is sent to a leaf that usually takes longer than what is left of the time;
/// after the leafs' deadline an unanswered part gets time anew at most once; while the request's caution
/// holds, nothing is sent after the first.

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
  /// `trace` and `caution` outlive the part.
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
  /// A leaf may have seen the request, if only to turn it away.
  bool mayHaveArrived() const;
  std::size_t sendCount() const { return attempts_.size(); }

 private:
  struct Attempt {
    ExchangeId exchange = 0;
    std::shared_ptr<LeafStatus> leaf;
    Moment startedAt{};
    bool written = false;
    bool finished = false;
    /// The leaf said, or it is certain, that the request did not run there.
    bool knownNotRun = false;
    /// An extra send was spent on it.
    bool paid = false;
  };

  bool send(Decision decision, bool paid, Moment now, QueryActions& actions);
  /// Early while the budget is full, later the less is left of it.
  Duration hedgeDelay(const RouteLatency& latency, Moment now);
  bool mayTryAgain() const;
  /// Sends again if that is allowed, and pays for it.
  bool sendAgain(Decision decision, Moment now, QueryActions& actions);
  void concludeIfExhausted(Moment now, QueryActions& actions);
  bool anyOut() const;
  /// Held back by the request's caution. In a trial another leaf may still take the place of one that can't
  /// be reached.
  bool mustWait() const { return caution_.holds() && (!caution_.oneLeafFirst() || mayHaveArrived()); }
  /// The part may be sent once more after the leafs' deadline.
  bool renewable() const;
  /// Sends once more, with one target latency of time anew.
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
  /// The last extra send that was wanted could not be paid for.
  bool extraSendDenied_ = false;
  /// How the last exchange that brought no answer ended.
  std::optional<LeafOutcome::Kind> lastFailure_;
};

}  // namespace oakpier::serving
