#pragma once

/// One caller's request from start to final answer: to one leaf, or to every shard of a service.
///
/// Invariants: exactly one answer; all parts come from the configuration the query started with; "did not
/// run" is said only when no leaf may have run it.

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "coordination/serving/query_part.h"
#include "coordination/serving/query_policy.h"
#include "coordination/serving/request_trace.h"
#include "coordination/serving/send_caution.h"
#include "state/serving/leaf_directory.h"

namespace oakpier::serving {

class Query {
 public:
  enum class Start {
    /// To all services at once.
    kAll,
    /// To one leaf, and on to the others once that has answered: leafs have ended under the request before.
    kOneLeafFirst,
  };

  /// `route` belongs to `view`, which the query keeps alive. `deadline` is the caller's.
  Query(std::shared_ptr<const ServingView> view, const Route& route, QueryContext& context, Moment receivedAt,
        Moment deadline, Start start = Start::kAll);

  QueryActions start(Moment now);
  void onWritten(ExchangeId exchange);
  QueryActions onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now);
  /// Takes all outcomes in before anything is decided: answers that were merged together belong together.
  QueryActions onOutcomes(const std::vector<ExchangeOutcome>& outcomes, Moment now);
  QueryActions onTime(Moment now);
  /// The caller has left; nothing more is sent.
  QueryActions onCallerGone();

  /// When `onTime` is due.
  Moment nextDecisionAt() const;
  /// Leafs may work on their requests until then. Later answers of shards would be of little worth to the
  /// caller, and the work would keep the leafs from newer requests.
  Moment leafDeadline() const { return leafDeadline_; }
  /// The query ends then at the latest.
  Moment deadline() const { return deadline_; }
  /// A gather query answers with what is in from then on.
  Moment answerBy() const { return answerBy_; }
  bool finished() const { return finished_; }
  const Route& route() const { return route_; }
  std::uint64_t configurationVersion() const { return view_->configuration->version; }
  const SourcePosition& sourcePosition() const { return view_->position; }
  Moment receivedAt() const { return receivedAt_; }
  const RequestTrace& trace() const { return *trace_; }
  /// What the caller has lost with this final answer, given at `now`.
  Loss lossOf(const FinalAnswer& answer, Moment now) const;
  /// Leafs whose process ended under this query.
  std::size_t endedLeafs() const { return caution_->endedLeafs(); }
  /// It goes to one leaf first.
  bool isTrial() const { return caution_->oneLeafFirst(); }
  /// Shards without an answer.
  std::vector<std::string> missingServices() const;

 private:
  bool isGather() const { return gather_ != nullptr; }
  std::string chooseService() const;
  std::unique_ptr<QueryPart> newPart(const std::string& service);
  /// How many parts are in which state; kept in step, as a query may have hundreds of parts.
  struct Tally {
    std::ptrdiff_t answered = 0;
    std::ptrdiff_t settled = 0;
    /// No further answer of these can come within the target latency.
    std::ptrdiff_t settledInTime = 0;
  };
  /// Lets the part do something, and takes over what it sends and what becomes of it.
  template <typename Step>
  void advance(QueryPart& part, QueryActions& actions, Step step);
  /// `change`: 1 to count the part in its present state, -1 to take it out.
  void count(const QueryPart& part, std::ptrdiff_t change);
  std::size_t answeredParts() const { return static_cast<std::size_t>(tally_.answered); }
  bool allSettled() const { return static_cast<std::size_t>(tally_.settled) == parts_.size(); }
  bool allSettledInTime() const { return static_cast<std::size_t>(tally_.settledInTime) == parts_.size(); }
  bool mayHaveRun() const;
  bool enoughParts() const;
  /// Whether a success is still possible if all open parts are answered. Where it is not, the query ends:
  /// with a zone cut off from 26 of its 90 shards after 240 ms in place of 600 to 1,200 (log of one play).
  bool enoughPartsLeft() const;
  /// Answers if the time or the parts that are in decide it.
  void decide(Moment now, QueryActions& actions);
  void decideGather(Moment now, QueryActions& actions);
  void decideSingle(Moment now, QueryActions& actions);
  /// Lets the parts go on that were held back.
  void release(Moment now, QueryActions& actions);
  /// Nothing may be sent until a leaf answers, and no answer can come any more.
  bool stuck() const;
  void finish(FinalAnswer answer, QueryActions& actions);
  void finishWithoutAnswer(Moment now, QueryActions& actions);
  MergedAnswer merge() const;
  /// Adds `lost` in equal shares for the parts without an answer.
  void addMissing(double lost, Loss& loss) const;

  std::shared_ptr<const ServingView> view_;
  const Route& route_;
  const GatherTarget* gather_;
  QueryContext& context_;
  Moment receivedAt_;
  Moment deadline_;
  Moment leafDeadline_;
  /// From then on a gather query answers as soon as enough shards are in.
  Moment answerBy_;
  /// Has its own place, as the parts refer to it.
  std::unique_ptr<RequestTrace> trace_ = std::make_unique<RequestTrace>();
  /// The same.
  std::unique_ptr<SendCaution> caution_;
  std::vector<std::unique_ptr<QueryPart>> parts_;
  /// The part of each exchange.
  std::unordered_map<ExchangeId, QueryPart*> exchanges_;
  Tally tally_;
  /// The one that was last answered.
  const QueryPart* lastAnswered_ = nullptr;
  bool answerDue_ = false;
  bool finished_ = false;
};

}  // namespace oakpier::serving
