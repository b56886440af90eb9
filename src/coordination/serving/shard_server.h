#pragma once

/// The owner's side of a shard: executes parts of other daemons' queries on the shard's leafs and returns the
/// results. Sending, hedging and retrying are done by `PartExchange`.
///
/// Invariants: each part gets exactly one final result unless it is cancelled or its deadline passes; a
/// result is addressed to the process that sent the work, not to a later process at the same address.

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/part_exchange.h"
#include "oakpier/peer.pb.h"

namespace oakpier::serving {

/// The parts of one request that one requester has sent to this owner.
struct ServedWork {
  struct Part {
    /// The exchange number at the requester.
    ExchangeId askedAs = 0;
    std::unique_ptr<PartExchange> exchange;
    bool finished = false;
  };

  Endpoint asker;
  std::uint64_t askerRun = 0;
  /// Only the fields that sending to leafs requires are set.
  Route route;
  std::size_t topRecords = 0;
  Moment receivedAt{};
  /// Parts that are still open at this time are abandoned.
  Moment deadline{};
  HttpRequest request;
  RequestTrace trace;
  SendCaution caution;
  std::vector<Part> parts;
};

/// The request of `work`, to be sent to the action's leaf.
struct ServedSend {
  std::shared_ptr<ServedWork> work;
  SendAction action;
};

struct OutgoingResults {
  Endpoint to;
  OwnerResults results;
};

/// A part that finished without an answer.
struct UnansweredPart {
  enum class Reason { kNoAnswer, kNotRun, kWithdrawn, kTimePassed };

  std::shared_ptr<const ServedWork> work;
  std::string service;
  Reason reason = Reason::kNoAnswer;
  LossCause cause = LossCause::kOneLeafSlow;
};

struct ShardServerActions {
  std::vector<ServedSend> sends;
  std::vector<ExchangeId> abandons;
  std::vector<OutgoingResults> results;
  std::vector<UnansweredPart> unanswered;
};

/// Not thread-safe.
class ShardServer {
 public:
  explicit ShardServer(QueryContext& context) : context_(context) {}

  ShardServerActions onWork(const Endpoint& asker, const OwnerWork& work, Moment now);
  void onWritten(ExchangeId exchange);
  ShardServerActions onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now);
  ShardServerActions onCancel(const Endpoint& asker, const OwnerCancel& cancel);
  ShardServerActions onTime(Moment now);

  /// When `onTime` is due.
  Moment nextDecisionAt() const;
  std::size_t inProgress() const { return works_.size(); }

 private:
  using WorkPointer = std::shared_ptr<ServedWork>;
  struct Place {
    WorkPointer work;
    std::size_t part = 0;
  };

  /// Passes on the part's sends; if the part has finished, adds its result and closes it.
  void settle(const WorkPointer& work, std::size_t part, QueryActions actions, ShardServerActions& out);
  /// Refuses work for a quarantined request, one that has terminated leafs before, unless the requester
  /// has already checked the request. Returns true if refused.
  bool refuse(const WorkPointer& work, const OwnerWork& asked, Moment now, ShardServerActions& out) const;
  /// After an outcome: resumes the work's parts that were held back, or, while `SendCaution` holds, finishes
  /// them once no leaf that has received the request can still answer.
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
