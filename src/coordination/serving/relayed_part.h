#pragma once

/// A shard of a query that is left to the shard's owner, another daemon or this one. The owner hedges and
/// retries among the leafs.
///
/// Invariant: a second owner is asked only when the first is known to have sent nothing to any leaf, so that
/// the owners together never use more attempts than the route allows, and no extra send that is not paid for:
/// what a leaf turned away has arrived there too. So an owner that falls silent costs the
/// query the part, at once; `ShardOwners` keeps later queries away from it.

#include <string>
#include <vector>

#include "coordination/serving/crash_guard.h"
#include "coordination/serving/query_part.h"
#include "coordination/serving/query_policy.h"
#include "coordination/serving/request_trace.h"

namespace oakpier::serving {

class RelayedPart : public QueryPart {
 public:
  /// `context.owners` is set; `trace` and `crashGuard` outlive the part.
  RelayedPart(std::string service, const Route& route, QueryContext& context, RequestTrace& trace,
              CrashGuard& crashGuard);

  void start(Moment now, const PartDeadlines& deadlines, QueryActions& actions) override;
  void onWriteStarted(ExchangeId) override {}
  void onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now, QueryActions& actions) override;
  void onTimer(Moment now, QueryActions& actions) override;
  void onResumed(Moment now, QueryActions& actions) override;
  void close(QueryActions& actions) override;
  Moment nextDecisionAt() const override { return state_ == State::kOpen ? checkAt_ : kNever; }
  bool hasPendingExchange() const override;
  bool mayHaveExecuted() const override;
  LossCause lossCause() const override;

 private:
  struct Delegation {
    ExchangeId exchange = 0;
    Endpoint owner;
    bool finished = false;
    bool knownNotExecuted = false;
  };

  /// False when no owner is left.
  bool delegate(Moment now, QueryActions& actions);
  void addTraceEvent(Decision decision, const Endpoint& owner, Moment now,
                     std::optional<LeafOutcome::Kind> outcome = std::nullopt);

  const Route& route_;
  QueryContext& context_;
  RequestTrace& trace_;
  CrashGuard& crashGuard_;
  std::vector<Endpoint> owners_;
  std::vector<Delegation> delegations_;
  bool ownerSilent_ = false;
  /// When to see whether the owner is silent.
  Moment checkAt_ = kNever;
};

}  // namespace oakpier::serving
