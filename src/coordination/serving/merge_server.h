#pragma once

/// The merging side of requests from other zones: sends a request to the leafs that the asking daemon chose,
/// once each, and returns of their records only those that can be among the greatest. Hedges and retries are
/// the asking daemon's.
///
/// Invariants: each part gets one result; answers are returned without the records that other answers of the
/// same work rule out, and with the number of earlier ones, so that the asking daemon notices a lost one; a
/// result waits for others only while the asking daemon has nothing to decide on it.

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/query_actions.h"
#include "coordination/serving/query_policy.h"
#include "oakpier/peer.pb.h"

namespace oakpier::serving {

/// One request of one asking daemon.
struct MergeTask {
  Endpoint asker;
  std::uint64_t askerRun = 0;
  /// With what of the route concerns leafs.
  Route route;
  Moment receivedAt{};
  Moment deadline{};
  /// Results wait for others until then.
  Moment holdUntil{};
  HttpRequest request;
  std::size_t topRecords = 0;
  std::size_t openParts = 0;
  /// Not returned yet.
  MergeResults results;
  /// The greatest records of the answers among these.
  std::string newRecords;
  /// The greatest records of the answers that were returned.
  std::string greatest;
  unsigned returnedAnswers = 0;
};

/// Send the task's request to this leaf.
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

  MergeServerActions onWork(const Endpoint& asker, const MergeWork& work, Moment now);
  MergeServerActions onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now);
  MergeServerActions onTimer(Moment now);
  /// When `onTimer` is due.
  Moment nextDecisionAt() const;
  MergeServerActions onCancel(const Endpoint& asker, const MergeCancel& cancel) const;
  std::size_t inProgress() const { return parts_.size(); }

 private:
  using TaskPointer = std::shared_ptr<MergeTask>;
  struct Part {
    TaskPointer task;
    std::shared_ptr<LeafStatus> leaf;
    /// The asking daemon's number.
    ExchangeId askedAs = 0;
  };

  std::shared_ptr<LeafStatus> findLeaf(const MergePart& part) const;
  /// Returns the results of the task that are ready, unless they may wait.
  void returnWhenDue(const TaskPointer& task, bool urgent, Moment now, MergeServerActions& out);

  QueryContext& context_;
  std::unordered_map<ExchangeId, Part> parts_;
  /// Tasks with results that wait.
  std::list<TaskPointer> waiting_;
};

}  // namespace oakpier::serving
