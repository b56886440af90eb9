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

#include "coordination/serving/query_part.h"
#include "coordination/serving/query_policy.h"
#include "coordination/serving/request_trace.h"
#include "coordination/serving/send_caution.h"

namespace oakpier::serving {

class DelegatedPart : public QueryPart {
 public:
  /// Requires `context.owners`. `trace` and `caution` must outlive the part.
  DelegatedPart(std::string service, const Route& route, QueryContext& context, RequestTrace& trace,
                SendCaution& caution);

  void start(Moment now, const PartTimes& times, QueryActions& actions) override;
  void onWritten(ExchangeId) override {}
  void onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now, QueryActions& actions) override;
  void onTime(Moment now, QueryActions& actions) override;
  void onReleased(Moment now, QueryActions& actions) override;
  void close(QueryActions& actions) override;
  Moment nextDecisionAt() const override { return state_ == State::kOpen ? checkAt_ : kNever; }
  bool anythingOut() const override;
  bool mayHaveRun() const override;
  LossCause lossCause() const override;

 private:
  struct Delegation {
    ExchangeId exchange = 0;
    Endpoint owner;
    bool finished = false;
    bool knownNotRun = false;
  };

  /// Delegates to the next owner. Returns false if none is left.
  bool delegate(Moment now, QueryActions& actions);
  void note(Decision decision, const Endpoint& owner, Moment now,
            std::optional<LeafOutcome::Kind> outcome = std::nullopt);

  const Route& route_;
  QueryContext& context_;
  RequestTrace& trace_;
  SendCaution& caution_;
  std::vector<Endpoint> owners_;
  std::vector<Delegation> delegations_;
  bool ownerUnresponsive_ = false;
  /// When to check next whether the owner is unresponsive.
  Moment checkAt_ = kNever;
};

}  // namespace oakpier::serving
