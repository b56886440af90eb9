#pragma once

/// The owner's side of a shard: executes parts of other daemons' queries on the shard's leafs and returns the
/// results. Sending, hedging and retrying are done by `DirectPart`.
///
/// Invariants: each part gets exactly one final result unless it is cancelled or its deadline passes; a
/// result is addressed to the process that sent the work, not to a later process at the same address.

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/direct_part.h"
#include "oakpier/peer.pb.h"

namespace oakpier::serving {

/// The parts of one request that one requester has sent to this owner.
struct OwnerTask {
  struct Part {
    /// The exchange number at the requester.
    ExchangeId requesterExchange = 0;
    std::unique_ptr<DirectPart> exchange;
    bool finished = false;
  };

  Endpoint requester;
  std::uint64_t requesterRunId = 0;
  /// Only the fields that sending to leafs requires are set.
  Route route;
  std::size_t topRecords = 0;
  Moment receivedAt{};
  /// Parts that are still open at this time expire.
  Moment deadline{};
  HttpRequest request;
  RequestTrace trace;
  CrashGuard crashGuard;
  std::vector<Part> parts;
};

/// Send `task->request` to `action.leaf`.
struct OwnerSend {
  std::shared_ptr<OwnerTask> task;
  SendAction action;
};

struct OutgoingOwnerResults {
  Endpoint to;
  OwnerResults results;
};

/// A part that finished without an answer.
struct UnansweredPart {
  enum class Reason { kNoAnswer, kNotExecuted, kCancelled, kExpired };

  std::shared_ptr<const OwnerTask> task;
  std::string service;
  Reason reason = Reason::kNoAnswer;
  LossCause cause = LossCause::kOneLeafSlow;
};

struct ShardServerActions {
  std::vector<OwnerSend> sends;
  std::vector<ExchangeId> cancellations;
  std::vector<OutgoingOwnerResults> results;
  std::vector<UnansweredPart> unanswered;
};

/// Not thread-safe.
class ShardServer {
 public:
  explicit ShardServer(QueryContext& context) : context_(context) {}

  ShardServerActions onWork(const Endpoint& requester, const OwnerWork& work, Moment now);
  void onWriteStarted(ExchangeId exchange);
  ShardServerActions onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now);
  ShardServerActions onCancel(const Endpoint& requester, const OwnerCancel& cancel);
  ShardServerActions onTimer(Moment now);

  /// When `onTimer` is due.
  Moment nextDecisionAt() const;
  std::size_t inProgress() const { return tasks_.size(); }

 private:
  using TaskPointer = std::shared_ptr<OwnerTask>;
  struct PartRef {
    TaskPointer task;
    std::size_t part = 0;
  };

  /// Passes on the part's sends; if the part has finished, adds its result and closes it.
  void applyActions(const TaskPointer& task, std::size_t part, QueryActions actions, ShardServerActions& out);
  /// Refuses work for a quarantined request, one that has crashed leafs, unless the requester knows of the
  /// quarantine and sends the request as a trial. Returns true if refused.
  bool refuse(const TaskPointer& task, const OwnerWork& work, Moment now, ShardServerActions& out) const;
  /// After an outcome: resumes the suspended parts of the task, or, if further sends are blocked, finishes
  /// all parts once no leaf that has received the request can still answer.
  void applyCrashGuard(const TaskPointer& task, bool wasBlocked, Moment now, ShardServerActions& out);
  static void finish(OwnerTask::Part& part, ShardServerActions& out);
  static void finishUnanswered(const TaskPointer& task, OwnerTask::Part& part, UnansweredPart::Reason reason,
                               ShardServerActions& out);
  void removeFinished();

  QueryContext& context_;
  std::list<TaskPointer> tasks_;
  std::unordered_map<ExchangeId, PartRef> partRefs_;
};

}  // namespace oakpier::serving
