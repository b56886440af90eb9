#pragma once

/// One caller's request from arrival to final answer, sent either to one service or to every shard of a route
/// (scatter-gather).
///
/// Invariants: a query gives exactly one answer; all its parts use the configuration that it started with; it
/// reports "not executed" only if no leaf can have executed the request.

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "coordination/serving/crash_guard.h"
#include "coordination/serving/query_part.h"
#include "coordination/serving/query_policy.h"
#include "coordination/serving/request_trace.h"
#include "state/serving/leaf_directory.h"

namespace oakpier::serving {

class Query {
 public:
  enum class Start {
    /// Sends to all services at once.
    kAll,
    /// Trial: sends to one leaf, and to the others once that leaf has answered. Used for requests that may
    /// crash leafs.
    kTrial,
  };

  /// `route` must belong to `view`, which the query keeps alive. `deadline` is the caller's deadline.
  Query(std::shared_ptr<const ServingView> view, const Route& route, QueryContext& context, Moment receivedAt,
        Moment deadline, Start start = Start::kAll);

  QueryActions start(Moment now);
  void onWriteStarted(ExchangeId exchange);
  QueryActions onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now);
  /// Applies all outcomes before deciding anything. Answers that were merged together must be delivered in
  /// one call.
  QueryActions onOutcomes(const std::vector<ExchangeOutcome>& outcomes, Moment now);
  QueryActions onTimer(Moment now);
  /// The caller disconnected: cancels all pending exchanges and sends nothing more.
  QueryActions onCallerDisconnected();

  /// When `onTimer` must be called next.
  Moment nextDecisionAt() const;
  /// Deadline of the requests to leafs. For a scatter-gather query that is not a trial, at most
  /// `policy.leafDeadlineFactor` target latencies after arrival: later answers have little value and delay
  /// newer requests at the leafs. Otherwise `deadline()`.
  Moment leafDeadline() const { return leafDeadline_; }
  /// When the query ends at the latest; earlier than the caller's deadline.
  Moment deadline() const { return deadline_; }
  /// From this time on a scatter-gather query answers as soon as enough shards have answered.
  Moment answerBy() const { return answerBy_; }
  bool finished() const { return finished_; }
  const Route& route() const { return route_; }
  std::uint64_t configurationVersion() const { return view_->configuration->version; }
  const SourcePosition& sourcePosition() const { return view_->position; }
  Moment receivedAt() const { return receivedAt_; }
  const RequestTrace& trace() const { return *trace_; }
  /// The share of a complete, timely answer that `answer`, given at `now`, lacks, divided by cause.
  Loss lossOf(const FinalAnswer& answer, Moment now) const;
  /// Leafs whose process terminated before it answered this query.
  std::size_t crashedLeafs() const { return crashGuard_->crashedLeafs(); }
  bool isTrial() const { return crashGuard_->isTrial(); }
  /// Services that have not answered.
  std::vector<std::string> missingServices() const;

 private:
  bool isGather() const { return gather_ != nullptr; }
  std::string chooseService() const;
  std::unique_ptr<QueryPart> newPart(const std::string& service);
  /// Number of parts by state, updated incrementally since a query may have hundreds of parts.
  struct PartCounts {
    std::ptrdiff_t answered = 0;
    std::ptrdiff_t settled = 0;
    /// Parts that are answered, exhausted, or open only for a late retry.
    std::ptrdiff_t settledForTarget = 0;
  };
  /// Runs `step` on the part, then updates the counts and registers the exchanges that it started.
  template <typename Step>
  void advance(QueryPart& part, QueryActions& actions, Step step);
  /// Adds `change` (1 or -1) to the counts that the part's current state belongs to.
  void count(const QueryPart& part, std::ptrdiff_t change);
  std::size_t answeredParts() const { return static_cast<std::size_t>(partCounts_.answered); }
  bool allSettled() const { return static_cast<std::size_t>(partCounts_.settled) == parts_.size(); }
  bool allSettledForTarget() const {
    return static_cast<std::size_t>(partCounts_.settledForTarget) == parts_.size();
  }
  bool mayHaveExecuted() const;
  bool hasEnoughAnswers() const;
  /// Whether the query would succeed if all open parts were answered. If not, it ends without waiting for its
  /// deadline: in a zone cut off from 26 of its 90 shards after 240 ms, not after 600 to 1,200.
  bool canReachEnoughAnswers() const;
  /// Finishes the query if the time and the states of its parts allow it.
  void decide(Moment now, QueryActions& actions);
  void decideGather(Moment now, QueryActions& actions);
  void decideSingle(Moment now, QueryActions& actions);
  /// Resumes suspended parts.
  void resume(Moment now, QueryActions& actions);
  /// Nothing may be sent before a leaf answers, and no exchange is pending that could bring an answer.
  bool cannotProgress() const;
  void finish(FinalAnswer answer, QueryActions& actions);
  void finishWithoutAnswer(Moment now, QueryActions& actions);
  MergedAnswer merge() const;
  /// Divides `lost` equally among the causes of the unanswered parts.
  void addMissing(double lost, Loss& loss) const;

  std::shared_ptr<const ServingView> view_;
  const Route& route_;
  const GatherTarget* gather_;
  QueryContext& context_;
  Moment receivedAt_;
  Moment deadline_;
  Moment leafDeadline_;
  Moment answerBy_;
  // Both are on the heap, as the parts hold references to them and the query may be moved.
  std::unique_ptr<RequestTrace> trace_ = std::make_unique<RequestTrace>();
  std::unique_ptr<CrashGuard> crashGuard_;
  std::vector<std::unique_ptr<QueryPart>> parts_;
  /// The part that each exchange belongs to.
  std::unordered_map<ExchangeId, QueryPart*> exchanges_;
  PartCounts partCounts_;
  /// The part that was answered last.
  const QueryPart* lastAnswered_ = nullptr;
  /// `answerBy_` has passed.
  bool answerDue_ = false;
  bool finished_ = false;
};

}  // namespace oakpier::serving
