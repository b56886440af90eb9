#pragma once

/// One part of a query: the subrequest to one service, until it is answered or all attempts are used up. This
/// daemon either sends a part to leafs itself or delegates it to the daemon that owns the shard.

#include <string>
#include <utility>

#include "coordination/serving/loss_causes.h"
#include "coordination/serving/query_actions.h"

namespace oakpier::serving {

struct PartDeadlines {
  /// When the query answers with the shards received so far, shortly before the target latency. No hedge is
  /// sent after this time.
  Moment answerBy = kNever;
  /// Deadline of the requests to leafs.
  Moment leafDeadline = kNever;
  /// A query that lacks too many shards at `leafDeadline` continues until this time, and its open parts may
  /// be retried once more with one target latency for the leaf. Not earlier than `leafDeadline`.
  Moment lateRetryDeadline = kNever;
};

class QueryPart {
 public:
  enum class State { kOpen, kAnswered, kExhausted };

  explicit QueryPart(std::string service) : service_(std::move(service)) {}
  virtual ~QueryPart() = default;

  virtual void start(Moment now, const PartDeadlines& deadlines, QueryActions& actions) = 0;
  /// Called before the first byte of the request is written to a leaf's connection.
  virtual void onWriteStarted(ExchangeId exchange) = 0;
  virtual void onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now,
                         QueryActions& actions) = 0;
  virtual void onTimer(Moment now, QueryActions& actions) = 0;
  /// The request may be sent to further leafs again: resumes a suspended part.
  virtual void onResumed(Moment now, QueryActions& actions) = 0;
  /// Suspends the part before its first send; `onResumed` starts it.
  void startSuspended(const PartDeadlines& deadlines) {
    deadlines_ = deadlines;
    suspended_ = true;
  }
  /// Cancels all pending exchanges.
  virtual void close(QueryActions& actions) = 0;
  /// When `onTimer` must be called next; `kNever` if not at all.
  virtual Moment nextDecisionAt() const = 0;
  /// Whether an exchange is pending.
  virtual bool hasPendingExchange() const = 0;
  /// Whether a leaf may have executed the request.
  virtual bool mayHaveExecuted() const = 0;
  /// Why the part has no answer, or why its answer was late.
  virtual LossCause lossCause() const = 0;

  State state() const { return state_; }
  /// Whether the part is answered, exhausted, or open only for a late retry.
  bool settledForTarget() const { return state_ != State::kOpen || awaitsLateRetry_; }
  /// The answer, or for an exhausted part the error response of a leaf, if any.
  const LeafOutcome& outcome() const { return outcome_; }
  const std::string& service() const { return service_; }
  /// Open, without a pending exchange, and not allowed to send at present.
  bool suspended() const { return state_ == State::kOpen && suspended_; }

 protected:
  std::string service_;
  State state_ = State::kOpen;
  PartDeadlines deadlines_;
  bool suspended_ = false;
  /// Open only for a late retry, after the leafs' deadline.
  bool awaitsLateRetry_ = false;
  LeafOutcome outcome_;
};

}  // namespace oakpier::serving
