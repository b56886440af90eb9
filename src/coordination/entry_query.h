#pragma once

/// State machine of one query at its entry daemon. Input: results and time; output: work for owners and the
/// answer.
///
///   kDiscovering --all state requests ended--> kExecuting --enough shards or deadline--> kFinished
///                                               |      ^
///                                               +------+ no attempt in flight: replan at another snapshot
///
/// Invariants: every accepted row comes from `snapshot_`; a shard is covered by at most one attempt; an
/// attempt that is in flight or lost counts as possibly executed; a non-repeatable request is retried only
/// after the previous attempt is confirmed not to have run.

#include <memory>
#include <string>
#include <vector>

#include "coordination/owner_health.h"
#include "coordination/replica_selector.h"
#include "coordination/service_runtime.h"
#include "coordination/snapshot_choice.h"
#include "oakpier/caller.pb.h"
#include "oakpier/peer.pb.h"
#include "state/routing_view.h"

namespace oakpier {

/// When a slow leaf request is hedged. `kAdaptive` derives the delay from observed latencies; the others are
/// baselines for benchmarks.
enum class HedgeMode { kAdaptive, kFixed, kOff };

/// Policy variants, fixed when the daemon starts.
struct QueryPolicy {
  ReplicaPolicy choice = ReplicaPolicy::kPowerOfTwoChoices;
  HedgeMode hedge = HedgeMode::kAdaptive;
};

struct QueryContext {
  std::shared_ptr<const RoutingView> view;
  const ServiceEntry* service = nullptr;
  QueryRequest request;
  std::uint32_t priority = 0;
  /// Unique across daemons and restarts.
  std::string workId;
  Moment arrivedAt{};
  Moment deadline{};
  QueryPolicy policy;
  ServiceRuntime* runtime = nullptr;
  OwnerHealth* ownerHealth = nullptr;
  RandomEngine* random = nullptr;
};

struct OutgoingWork {
  Endpoint owner;
  WorkBatch batch;
};

struct OutgoingCancel {
  Endpoint owner;
  CancelWork cancel;
};

struct QueryActions {
  std::vector<OutgoingWork> work;
  std::vector<OutgoingCancel> cancels;
};

/// Exported as metrics.
struct QueryCounters {
  std::uint32_t leafRequests = 0;
  std::uint32_t hedges = 0;
  std::uint32_t hedgesDenied = 0;
  std::uint32_t retries = 0;
  std::uint32_t retriesDenied = 0;
  std::uint32_t replans = 0;
  std::uint32_t discoveries = 0;
};

class EntryQuery {
 public:
  explicit EntryQuery(QueryContext context);
  ~EntryQuery();
  EntryQuery(const EntryQuery&) = delete;
  EntryQuery& operator=(const EntryQuery&) = delete;

  QueryActions start(Moment now);
  QueryActions onResults(const Endpoint& owner, const ResultBatch& results, Moment now);
  QueryActions onTimer(Moment now);
  /// The caller disconnected: cancels all attempts in flight.
  QueryActions cancel(Moment now);

  /// Next time at which `onTimer` must be called.
  Moment nextWake() const;
  bool finished() const { return phase_ == Phase::kFinished; }
  /// Valid once finished.
  const QueryAnswer& answer() const { return answer_; }
  const QueryCounters& counters() const { return counters_; }

 private:
  enum class Phase { kDiscovering, kExecuting, kFinished };
  enum class AttemptState { kInFlight, kExecuted, kNotRun, kLost, kCancelled };

  struct Attempt {
    std::uint32_t plan = 0;
    std::size_t shard = 0;
    LeafIndex leaf = 0;
    Endpoint owner;
    Moment sentAt{};
    AttemptState state = AttemptState::kInFlight;
    bool statusOnly = false;
  };

  /// Progress of one shard of the current plan.
  struct ShardProgress {
    const ShardEntry* shard = nullptr;
    std::vector<std::uint32_t> attempts;
    std::vector<LeafIndex> excluded;
    bool covered = false;
    bool hedgeDenied = false;
  };

  void plan();
  void discover(const std::vector<const ShardEntry*>& unreported, Moment now, QueryActions& actions);
  void execute(Moment now, QueryActions& actions);
  bool sendAttempt(std::size_t shard, Moment now, QueryActions& actions);
  void addAttempt(std::size_t shard, LeafIndex leaf, bool statusOnly, Moment now, QueryActions& actions);
  WorkBatch& batchFor(const Endpoint& owner, bool statusOnly, Moment now, QueryActions& actions) const;
  Endpoint ownerOf(LeafIndex leaf, Moment now) const;

  void onResult(const WorkResult& result, Moment now, QueryActions& actions);
  void onAttemptResult(std::uint32_t number, const WorkResult& result, Moment now, QueryActions& actions);
  void coverShard(ShardProgress& progress, const LeafAnswer& answer, QueryActions& actions);
  void endAttempt(std::uint32_t number, AttemptState state);
  void retry(std::size_t shard, Moment now, QueryActions& actions);
  void replanOrFinish(Moment now, QueryActions& actions);
  void hedgeSlowShards(Moment now, QueryActions& actions);
  Duration hedgeDelay() const;
  const Attempt* newestInFlight(const ShardProgress& progress) const;

  void finishWhenPossible(Moment now, QueryActions& actions);
  void finish(QueryActions& actions);
  void cancelInFlight(QueryActions& actions);
  void cancelAttempt(std::uint32_t number, QueryActions& actions);
  void writeOutcome();
  void writeRows();
  bool mayHaveRun() const;
  double reachedCoverage() const;
  double minimumCoverage() const;
  bool noAttemptInFlight() const;

  QueryContext context_;
  Phase phase_ = Phase::kDiscovering;
  std::uint32_t planNumber_ = 0;
  std::uint64_t snapshot_ = 0;
  std::vector<ShardProgress> shards_;
  std::vector<Attempt> attempts_;
  std::vector<Endpoint> unreachableOwners_;
  std::vector<Row> rows_;
  bool truncated_ = false;
  bool cancelledByCaller_ = false;
  std::uint32_t retryAfterMs_ = 0;
  QueryAnswer answer_;
  QueryCounters counters_;
};

}  // namespace oakpier
