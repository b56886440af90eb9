#pragma once

/// What this daemon has observed of one incarnation of a leaf: requests in progress, latencies, failures and
/// reported load. A restarted leaf is treated as a new leaf.

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/leaf_outcome.h"
#include "state/random.h"
#include "state/serving/leaf_directory.h"
#include "state/time.h"

namespace oakpier::serving {

/// Not thread-safe; owned by the request thread.
class LeafStatus {
 public:
  LeafStatus(LeafEntry entry, Moment now);

  const LeafEntry& entry() const { return entry_; }
  /// Replaces the directory entry by a newer one of the same incarnation.
  void update(const LeafEntry& entry, Moment now);
  /// The directory no longer lists the leaf, or another instance answered at its address.
  void markRemoved() { removed_ = true; }
  bool usable() const { return !removed_ && entry_.acceptsRequests(); }

  /// `expected`: the latency that most answers to requests of this route stay below.
  void onStarted(std::uint64_t exchange, Duration expected, Moment now);
  void onFinished(std::uint64_t exchange, LeafOutcome::Kind kind, Moment now);
  void onLoadReport(const ReportedLoad& load, Moment now);

  /// Called when a connection to the leaf was opened or could not be opened.
  void onReachability(bool reachable, Moment now);

  std::size_t inProgress() const { return inProgress_.size(); }
  /// Estimated number of requests at the leaf: the maximum of this daemon's own and those that the leaf
  /// reported, the latter weighted down as the report ages.
  double queueLength(Moment now) const;
  /// How long the leaf's answer to the most overdue request is overdue; zero if none is.
  Duration overdueFor(Moment now) const;
  bool ejected(Moment now) const { return now < ejectedUntil_; }
  /// At least twice in a row, a connection could not be opened or a request was cancelled after the leaf had
  /// long been unresponsive. Nothing is sent to it until a connection is established or `retryAt` has passed.
  bool unreachable(Moment now) const;
  /// When an unreachable leaf is tried again.
  Moment retryAt() const { return ejectedUntil_; }
  /// Whether the leaf is cold, that is, still warming up after its start.
  bool warmingUp(Moment now) const { return now < warmUntil_; }
  /// The leaf reported its remaining warm-up time.
  void onWarmup(Duration left, Moment now) { warmUntil_ = now + left; }
  /// Number of requests sent to the cold leaf within the last second.
  std::size_t coldSendsInLastSecond(Moment now) const;
  /// Whether a request may be sent to the cold leaf: true with the given probability at most
  /// once a second, and false on every other call.
  bool sampleColdSend(double probability, RandomEngine& random, Moment now);
  /// Moving average of the ratio of observed to expected latency; 1 means as expected.
  double latencyRatio() const { return latencyRatio_; }

 private:
  struct Exchange {
    std::uint64_t id;
    Moment startedAt;
    Duration expected;
  };
  void onFailure(bool connectionFailed, Moment now);

  LeafEntry entry_;
  bool removed_ = false;
  Moment warmUntil_;
  /// Send times of the requests within the last second while the leaf was cold.
  std::deque<Moment> coldSends_;
  std::optional<Moment> coldSampledAt_;
  std::vector<Exchange> inProgress_;
  Moment lastAnswerAt_{};
  double latencyRatio_ = 1.0;
  unsigned consecutiveFailures_ = 0;
  /// Consecutive failed connections and cancelled requests of an unresponsive leaf.
  unsigned consecutiveUnreachable_ = 0;
  Moment ejectedUntil_{};
  ReportedLoad load_;
  Moment loadAt_{};
};

/// The leafs of every service, synchronized with the directory. Not thread-safe.
class LeafRegistry {
 public:
  using Leafs = std::vector<std::shared_ptr<LeafStatus>>;

  /// Marks incarnations that are no longer listed as removed and drops them.
  void reconcile(const LeafsByService& directory, Moment now);
  /// Adds the leafs of a service; does nothing if the service already has leafs.
  void add(const std::string& service, const std::vector<LeafEntry>& entries, Moment now);
  const Leafs& leafsOf(const std::string& service) const;
  /// Called when a connection to this incarnation of the leaf was opened or could not be opened.
  void onReachability(const LeafEntry& leaf, bool reachable, Moment now);

 private:
  std::unordered_map<std::string, Leafs> services_;
};

}  // namespace oakpier::serving
