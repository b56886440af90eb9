#pragma once

/// A shard of a query that is delegated to the shard's owner, which may be this daemon. The owner hedges and
/// retries among the shard's leafs.
///
/// Invariant: a second owner is asked only if the first is known to have sent nothing to any leaf. Thus the
/// owners together stay within the route's attempts and the retry budget; a request that a leaf has
/// rejected counts as sent. If the owner becomes unresponsive the part therefore fails immediately;
/// `ShardOwners` directs later queries to other owners.

#include <string>
#include <vector>

#include "coordination/serving/crash_guard.h"
#include "coordination/serving/query_part.h"
#include "coordination/serving/query_policy.h"
#include "coordination/serving/request_trace.h"

namespace oakpier::serving {

class DelegatedPart : public QueryPart {
 public:
  /// Requires `context.owners`. `trace` and `crashGuard` must outlive the part.
  DelegatedPart(std::string service, const Route& route, QueryContext& context, RequestTrace& trace,
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

  /// Delegates to the next owner. Returns false if none is left.
  bool delegate(Moment now, QueryActions& actions);
  void addTraceEvent(Decision decision, const Endpoint& owner, Moment now,
                     std::optional<LeafOutcome::Kind> outcome = std::nullopt);

  const Route& route_;
  QueryContext& context_;
  RequestTrace& trace_;
  CrashGuard& crashGuard_;
  std::vector<Endpoint> owners_;
  std::vector<Delegation> delegations_;
  bool ownerUnresponsive_ = false;
  /// When to check next whether the owner is unresponsive.
  Moment checkAt_ = kNever;
};

}  // namespace oakpier::serving
