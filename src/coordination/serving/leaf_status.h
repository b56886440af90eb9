#pragma once

/// What one daemon knows first-hand of one life of a leaf: requests in progress, latencies, failures and told
/// load. A leaf that starts again is a new leaf here.

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
  /// Takes over what the directory now says of the same life.
  void update(const LeafEntry& entry, Moment now);
  /// The directory no longer lists it, or it answered as another instance.
  void markGone() { gone_ = true; }
  bool usable() const { return !gone_ && entry_.acceptsRequests(); }

  /// `expected`: the latency that most answers to this kind of request stay below.
  void onStarted(std::uint64_t exchange, Duration expected, Moment now);
  void onFinished(std::uint64_t exchange, LeafOutcome::Kind kind, Moment now);
  void onLoad(const ReportedLoad& load, Moment now);

  /// Whether a connection to it could be opened.
  void onReachability(bool reachable, Moment now);

  std::size_t inProgress() const { return inProgress_.size(); }
  /// Requests at the leaf as far as is known: own ones, or told ones while those are fresh.
  double queueLength(Moment now) const;
  /// How long the leaf has been overdue with an answer; zero when it is not.
  Duration stalledFor(Moment now) const;
  bool ejected(Moment now) const { return now < ejectedUntil_; }
  /// No connection to it could be opened several times in a row, or it was silent; nothing is sent until a
  /// connection stands or it is tried again.
  bool unreachable(Moment now) const;
  /// When a leaf that is unreachable is tried again.
  Moment retryAt() const { return ejectedUntil_; }
  bool warmingUp(Moment now) const { return now < warmUntil_; }
  /// The leaf says how much longer it is cold.
  void onWarmup(Duration left, Moment now) { warmUntil_ = now + left; }
  /// Requests that were sent to it in the last second while it was cold.
  std::size_t sentWhileCold(Moment now) const;
  /// Draws once a second whether a request may be sent to it while it is cold.
  bool drawWhileCold(double odds, RandomEngine& random, Moment now);
  /// Smoothed ratio of its latencies to those expected of the kind of request; 1 is ordinary.
  double slowness() const { return slowness_; }

 private:
  struct Exchange {
    std::uint64_t id;
    Moment startedAt;
    Duration expected;
  };
  void onFailure(bool unreachable, Moment now);

  LeafEntry entry_;
  bool gone_ = false;
  Moment warmUntil_;
  /// When requests were sent while it was cold; those of the last second are kept.
  std::deque<Moment> coldSends_;
  std::optional<Moment> coldDrawAt_;
  std::vector<Exchange> inProgress_;
  Moment lastAnswerAt_{};
  double slowness_ = 1.0;
  unsigned consecutiveFailures_ = 0;
  /// Attempts in a row to reach the leaf that brought no sign of it.
  unsigned lostInRow_ = 0;
  Moment ejectedUntil_{};
  ReportedLoad load_;
  Moment loadAt_{};
};

/// The leafs of every service, kept in step with the directory. Not thread-safe.
class LeafRegistry {
 public:
  using Leafs = std::vector<std::shared_ptr<LeafStatus>>;

  /// Lives of leafs that are no longer listed are marked as gone and forgotten.
  void reconcile(const LeafsByService& directory, Moment now);
  /// Adds the leafs of a service that has none yet.
  void add(const std::string& service, const std::vector<LeafEntry>& entries, Moment now);
  const Leafs& leafsOf(const std::string& service) const;
  /// Whether a connection to this life of the leaf could be opened.
  void onReachability(const LeafEntry& leaf, bool reachable, Moment now);

 private:
  std::unordered_map<std::string, Leafs> services_;
};

}  // namespace oakpier::serving
