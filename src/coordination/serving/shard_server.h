#pragma once

/// The owner's side of a shard: runs other daemons' parts of queries on the shard's leafs and tells them what
/// came of it. Sends, hedges and retries are those of `DirectPart`.
///
/// Invariants: each part gets one final result unless it was cancelled or its time has passed; a result goes
/// to the process that asked, not to a later one at its address.

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/direct_part.h"
#include "oakpier/peer.pb.h"

namespace oakpier::serving {

/// Parts of one request for one asking daemon.
struct ServedWork {
  struct Part {
    /// The asking daemon's number.
    ExchangeId askedAs = 0;
    std::unique_ptr<DirectPart> exchange;
    bool finished = false;
  };

  Endpoint asker;
  std::uint64_t askerRun = 0;
  /// With what of the route concerns leafs.
  Route route;
  std::size_t topRecords = 0;
  Moment receivedAt{};
  /// The parts that are open then are given up.
  Moment deadline{};
  HttpRequest request;
  RequestTrace trace;
  CrashGuard crashGuard;
  std::vector<Part> parts;
};

/// Send the work's request to this leaf.
struct ServedSend {
  std::shared_ptr<ServedWork> work;
  SendAction action;
};

struct OutgoingResults {
  Endpoint to;
  OwnerResults results;
};

/// A part that ended without an answer.
struct UnansweredPart {
  enum class Reason { kNoAnswer, kNotRun, kCancelled, kTimePassed };

  std::shared_ptr<const ServedWork> work;
  std::string service;
  Reason reason = Reason::kNoAnswer;
  /// What kept the answer away.
  LossCause cause = LossCause::kOneLeafSlow;
};

struct ShardServerActions {
  std::vector<ServedSend> sends;
  std::vector<ExchangeId> cancellations;
  std::vector<OutgoingResults> results;
  std::vector<UnansweredPart> unanswered;
};

/// Not thread-safe.
class ShardServer {
 public:
  explicit ShardServer(QueryContext& context) : context_(context) {}

  ShardServerActions onWork(const Endpoint& asker, const OwnerWork& work, Moment now);
  void onWriteStarted(ExchangeId exchange);
  ShardServerActions onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now);
  ShardServerActions onCancel(const Endpoint& asker, const OwnerCancel& cancel);
  ShardServerActions onTimer(Moment now);

  /// When `onTimer` is due.
  Moment nextDecisionAt() const;
  std::size_t inProgress() const { return works_.size(); }

 private:
  using WorkPointer = std::shared_ptr<ServedWork>;
  struct Place {
    WorkPointer work;
    std::size_t part = 0;
  };

  /// Carries out what the part decided and reports what became of it.
  void settle(const WorkPointer& work, std::size_t part, QueryActions actions, ShardServerActions& out);
  /// Refuses work on a request under which leafs have ended, unless its asker knows of it.
  bool refuse(const WorkPointer& work, const OwnerWork& asked, Moment now, ShardServerActions& out) const;
  /// After an outcome: lets the work's parts go on that were held back, or ends them when no leaf that has
  /// the request is left to answer.
  void applyCaution(const WorkPointer& work, bool held, Moment now, ShardServerActions& out);
  static void finish(ServedWork::Part& part, ShardServerActions& out);
  static void giveUp(const WorkPointer& work, ServedWork::Part& part, UnansweredPart::Reason reason,
                     ShardServerActions& out);
  void forgetFinished();

  QueryContext& context_;
  std::list<WorkPointer> works_;
  std::unordered_map<ExchangeId, Place> places_;
};

}  // namespace oakpier::serving
