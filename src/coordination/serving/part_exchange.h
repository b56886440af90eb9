#pragma once

/// One part of a query: the same request to one service, sent, hedged and retried until an answer is in or
/// nothing is left to try.
///
/// Invariants: at most `attempts` leafs get the request; a request that is not repeatable goes to a second
/// leaf only after every earlier one is known not to have run it; each send after the first is paid for from
/// the service's budget.

#include <string>
#include <vector>

#include "coordination/serving/query_actions.h"
#include "coordination/serving/query_policy.h"
#include "coordination/serving/request_trace.h"

namespace oakpier::serving {

class PartExchange {
 public:
  enum class State { kOpen, kAnswered, kExhausted };

  /// `trace` outlives the part.
  PartExchange(std::string service, const Route& route, QueryContext& context, RequestTrace& trace);

  /// `hedgeBy`: a hedge sent later would be of no use.
  void start(Moment now, Moment hedgeBy, QueryActions& actions);
  bool owns(ExchangeId exchange) const;
  void onWritten(ExchangeId exchange);
  void onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now, QueryActions& actions);
  void onTime(Moment now, QueryActions& actions);
  /// Abandons what is still out.
  void close(QueryActions& actions);

  State state() const { return state_; }
  /// When `onTime` has something to decide; `kNever` when nothing is due.
  Moment nextDecisionAt() const;
  /// A leaf may have begun to work on the request.
  bool mayHaveRun() const;
  /// The answer, or when exhausted the leaf's own failure if there was one.
  const LeafOutcome& outcome() const { return outcome_; }
  const std::string& service() const { return service_; }
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
  };

  bool send(Decision decision, Moment now, QueryActions& actions);
  /// Early while the budget is full, later the less is left of it.
  Duration hedgeDelay(const RouteLatency& latency, Moment now);
  bool mayTryAgain() const;
  /// Sends again if that is allowed, and pays for it.
  bool sendAgain(Decision decision, Moment now, QueryActions& actions);
  void concludeIfExhausted(Moment now, QueryActions& actions);
  std::size_t countedAttempts() const;
  Attempt* find(ExchangeId exchange);
  void note(Decision decision, const std::shared_ptr<LeafStatus>& leaf, Moment now,
            std::optional<LeafOutcome::Kind> outcome = std::nullopt);

  std::string service_;
  const Route& route_;
  QueryContext& context_;
  RequestTrace& trace_;
  State state_ = State::kOpen;
  std::vector<Attempt> attempts_;
  std::vector<std::string> triedLeafs_;
  LeafOutcome outcome_;
  Moment hedgeAt_ = kNever;
  Moment hedgeBy_ = kNever;
};

}  // namespace oakpier::serving
