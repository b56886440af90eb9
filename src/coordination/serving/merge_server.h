#pragma once

/// The merge server's side of requests from other zones: sends a request once to each leaf that the requester
/// chose, and returns only those of their records that can be among the greatest. Hedging and retrying are up
/// to the requester.
///
/// Invariants: each part gets exactly one result; records that other answers of the same work exclude are
/// left out; each frame of results carries the number of answers in earlier frames, so that the requester
/// detects a lost frame; only answers are batched, other outcomes are returned immediately because the
/// requester may react to them.

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/query_actions.h"
#include "coordination/serving/query_policy.h"
#include "oakpier/peer.pb.h"

namespace oakpier::serving {

/// One request from one requester.
struct MergeTask {
  Endpoint requester;
  std::uint64_t requesterRunId = 0;
  /// Only the fields that sending to leafs requires are set.
  Route route;
  Moment receivedAt{};
  Moment deadline{};
  /// Answers are batched until this time.
  Moment batchUntil{};
  HttpRequest request;
  std::size_t topRecords = 0;
  std::size_t openParts = 0;
  /// The results that have not been returned yet.
  MergeResults results;
  /// The greatest records of the answers in `results`.
  std::string newRecords;
  /// The greatest records of all returned answers.
  std::string greatest;
  unsigned returnedAnswers = 0;
};

/// Send `task->request` to `action.leaf`.
struct MergeSend {
  std::shared_ptr<const MergeTask> task;
  SendAction action;
};

struct OutgoingMergeResults {
  Endpoint to;
  MergeResults results;
};

struct MergeServerActions {
  std::vector<MergeSend> sends;
  std::vector<ExchangeId> cancellations;
  std::vector<OutgoingMergeResults> results;
};

/// Not thread-safe.
class MergeServer {
 public:
  explicit MergeServer(QueryContext& context) : context_(context) {}

  MergeServerActions onWork(const Endpoint& requester, const MergeWork& work, Moment now);
  MergeServerActions onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now);
  MergeServerActions onTimer(Moment now);
  /// When `onTimer` is due.
  Moment nextDecisionAt() const;
  MergeServerActions onCancel(const Endpoint& requester, const MergeCancel& cancel) const;
  std::size_t inProgress() const { return parts_.size(); }

 private:
  using TaskPointer = std::shared_ptr<MergeTask>;
  struct Part {
    TaskPointer task;
    std::shared_ptr<LeafStatus> leaf;
    /// The exchange number at the requester.
    ExchangeId requesterExchange = 0;
  };

  std::shared_ptr<LeafStatus> findLeaf(const MergePart& part) const;
  /// Returns the task's results if `urgent`, if no part is open or if the batching time has elapsed;
  /// otherwise queues the task.
  void returnWhenDue(const TaskPointer& task, bool urgent, Moment now, MergeServerActions& out);

  QueryContext& context_;
  std::unordered_map<ExchangeId, Part> parts_;
  /// Tasks whose results are being batched.
  std::list<TaskPointer> batching_;
};

}  // namespace oakpier::serving
