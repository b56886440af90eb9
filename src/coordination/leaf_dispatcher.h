#pragma once

/// State machine of an owner daemon: queues the leaf requests of entry daemons, enforces each leaf's
/// concurrency limit, and replies with the result of each request that was not cancelled. Input: messages and
/// time; output: actions.
///
/// Invariants: a task is sent to its leaf at most once; WORK_NOT_SENT is reported only if no byte of the task
/// was sent, otherwise the result is WORK_ANSWERED or WORK_NO_ANSWER; when a leaf's reported state is older
/// than `kStateLease`, a status check precedes the next task.

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/leaf_lane.h"
#include "oakpier/peer.pb.h"
#include "state/routing_view.h"

namespace oakpier {

/// How long an owner uses a leaf's reported state without another status check.
inline constexpr Duration kStateLease = std::chrono::seconds(2);

/// Identifies one request to a leaf and its answer.
using ExchangeId = std::uint64_t;

struct SendToLeaf {
  ExchangeId exchange = 0;
  Endpoint leaf;
  /// Status check; `task` is unset.
  bool statusOnly = false;
  LeafTask task;
  std::uint32_t remainingMs = 0;
};

/// Aborts an exchange. Its connection must be closed, since a late answer may still arrive on it.
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

/// Why an exchange ended without an answer.
enum class ExchangeFailure {
  /// No connection was established: no byte of the request was sent.
  kNotConnected,
  /// Connection lost or timeout: the leaf may have received the request.
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
  /// `admissionControl`: refuse tasks that are not expected to finish before their deadline.
  explicit LeafDispatcher(bool admissionControl) : admissionControl_(admissionControl) {}

  /// `deadline`: the time of receipt plus the batch's `remaining_ms`.
  DispatchActions onWork(const Endpoint& entry, const std::shared_ptr<const WorkBatch>& batch,
                         Moment deadline, const RoutingView& view, Moment now);
  DispatchActions onCancel(const CancelWork& cancel, Moment now);
  DispatchActions onAnswer(ExchangeId exchange, const LeafAnswer& answer, Moment now);
  DispatchActions onStatus(ExchangeId exchange, const LeafState& state, Moment now);
  DispatchActions onFailure(ExchangeId exchange, ExchangeFailure failure, Moment now);
  DispatchActions onTimer(Moment now);

  /// Number of queued tasks and open exchanges; a graceful shutdown waits until it is zero.
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
  void acceptTask(LeafTask task, const RoutingView& view, Moment now, DispatchActions& actions);
  void enqueue(LeafTask task, const std::string& leaf, LeafLane& lane, Moment now, DispatchActions& actions);
  void sendQueued(const std::string& leaf, LeafLane& lane, Moment now, DispatchActions& actions);
  void sendTask(const std::string& leaf, LeafLane& lane, LeafTask task, Moment now, DispatchActions& actions);
  void sendStatus(const std::string& leaf, LeafLane& lane, Moment now, DispatchActions& actions);
  void refuseAll(LeafLane& lane, NotSentReason reason, DispatchActions& actions);
  void expireQueued(LeafLane& lane, Moment now, DispatchActions& actions);
  void updateState(LeafLane& lane, const LeafState& state, Moment now);

  static WorkResult resultFor(const LeafTask& task, const LeafLane* lane);
  static void refuse(const LeafTask& task, const LeafLane* lane, NotSentReason reason, Duration retryAfter,
                     DispatchActions& actions);
  static void reply(const LeafTask& task, WorkResult result, DispatchActions& actions);

  bool admissionControl_;
  ExchangeId nextExchange_ = 1;
  std::unordered_map<std::string, std::unique_ptr<LeafLane>> lanes_;
  std::unordered_map<ExchangeId, Exchange> exchanges_;
  DispatchCounters counters_;
};

}  // namespace oakpier
