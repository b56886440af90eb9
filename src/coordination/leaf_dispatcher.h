#pragma once

/// The owner daemon's side: takes leaf requests from entry daemons, keeps each leaf within its limit, and
/// answers what became of every one. A state machine: messages and time in, actions out.
///
/// Invariants: a task is sent to its leaf at most once; a task that was sent ends as WORK_ANSWERED or
/// WORK_NO_ANSWER, never as WORK_NOT_SENT, unless no byte of it left; a leaf whose own word is older than
/// `kStateLease` is asked for its state before it gets work.

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/leaf_lane.h"
#include "oakpier/peer.pb.h"
#include "state/routing_view.h"

namespace oakpier {

/// How long a leaf's own report of its state may be acted on.
inline constexpr Duration kStateLease = std::chrono::seconds(2);

/// Names one exchange with a leaf.
using ExchangeId = std::uint64_t;

/// Send this to the leaf.
struct SendToLeaf {
  ExchangeId exchange = 0;
  Endpoint leaf;
  /// Ask for the state only; `task` is unset.
  bool statusOnly = false;
  LeafTask task;
  std::uint32_t remainingMs = 0;
};

/// Give up an exchange; the connection it used is closed, since its answer may still come.
struct AbortExchange {
  ExchangeId exchange = 0;
};

struct ReplyToEntry {
  Endpoint entry;
  ResultBatch results;
};

struct DispatchActions {
  std::vector<SendToLeaf> sends;
  std::vector<AbortExchange> aborts;
  std::vector<ReplyToEntry> replies;
};

/// How an exchange ended without an answer.
enum class ExchangeFailure {
  /// No connection was made, so no byte of the request left.
  kNotConnected,
  kBroken,
};

struct DispatchCounters {
  std::uint64_t sent = 0;
  std::uint64_t statusChecks = 0;
  std::uint64_t refusedQueueFull = 0;
  std::uint64_t refusedDraining = 0;
  std::uint64_t refusedExpired = 0;
  std::uint64_t evicted = 0;
  std::uint64_t timedOut = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t mismatchedAnswers = 0;
};

class LeafDispatcher {
 public:
  /// Admission control off is the baseline that measurements compare with.
  explicit LeafDispatcher(bool refuseHopeless) : refuseHopeless_(refuseHopeless) {}

  /// `deadline`: when the work was received plus the time that it had left.
  DispatchActions onWork(const Endpoint& entry, const std::shared_ptr<const WorkBatch>& batch,
                         Moment deadline, const RoutingView& view, Moment now);
  DispatchActions onCancel(const CancelWork& cancel, Moment now);
  DispatchActions onAnswer(ExchangeId exchange, const LeafAnswer& answer, Moment now);
  DispatchActions onStatus(ExchangeId exchange, const LeafState& state, Moment now);
  DispatchActions onFailure(ExchangeId exchange, ExchangeFailure failure, Moment now);
  DispatchActions onTimer(Moment now);

  /// Tasks waiting or in progress; a planned stop waits until there are none.
  std::size_t busy() const;
  const DispatchCounters& counters() const { return counters_; }

 private:
  struct Exchange {
    LeafLane* lane = nullptr;
    std::string leaf;
    LeafTask task;
    bool statusOnly = false;
    Moment sentAt{};
    Moment deadline{};
  };

  LeafLane& laneOf(const LeafEntry& leaf, Moment now);
  void take(LeafTask task, const RoutingView& view, Moment now, DispatchActions& actions);
  void enqueue(LeafTask task, const std::string& leaf, LeafLane& lane, Moment now, DispatchActions& actions);
  void pump(const std::string& leaf, LeafLane& lane, Moment now, DispatchActions& actions);
  void sendTask(const std::string& leaf, LeafLane& lane, LeafTask task, Moment now, DispatchActions& actions);
  void sendStatus(const std::string& leaf, LeafLane& lane, Moment now, DispatchActions& actions);
  void refuseAll(LeafLane& lane, NotSentReason reason, DispatchActions& actions);
  void expireQueued(LeafLane& lane, Moment now, DispatchActions& actions);
  void learn(LeafLane& lane, const LeafState& state, Moment now);

  static WorkResult resultFor(const LeafTask& task, const LeafLane* lane);
  static void refuse(const LeafTask& task, const LeafLane* lane, NotSentReason reason, Duration retryAfter,
                     DispatchActions& actions);
  static void reply(const LeafTask& task, WorkResult result, DispatchActions& actions);

  bool refuseHopeless_;
  ExchangeId nextExchange_ = 1;
  std::unordered_map<std::string, std::unique_ptr<LeafLane>> lanes_;
  std::unordered_map<ExchangeId, Exchange> exchanges_;
  DispatchCounters counters_;
};

}  // namespace oakpier
