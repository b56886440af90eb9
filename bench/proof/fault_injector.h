#pragma once

/// Strikes a fleet with one fault at a time from a thread of its own, drawn from a seed, and heals it again.

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>

#include "proof/proof_run.h"

namespace oakpier {

/// What injectors and observers share: the fleet, what is down on purpose, and the history.
class ProofState {
 public:
  explicit ProofState(Fleet& target) : fleet(target) {}

  void note(const HistoryEntry& entry) {
    const std::lock_guard<std::mutex> guard(mutex_);
    *history_.add_entries() = entry;
  }
  History takeHistory() { return std::move(history_); }

  /// Only one fault at a time may take a daemon or leaf down; false when another has it.
  bool claim(const std::string& name) {
    const std::lock_guard<std::mutex> guard(mutex_);
    return claimed_.insert(name).second;
  }
  void release(const std::string& name) {
    const std::lock_guard<std::mutex> guard(mutex_);
    claimed_.erase(name);
  }
  bool isClaimed(const std::string& name) {
    const std::lock_guard<std::mutex> guard(mutex_);
    return claimed_.count(name) != 0;
  }

  Fleet& fleet;
  std::atomic<bool> ending{false};

 private:
  std::mutex mutex_;
  History history_;
  std::set<std::string> claimed_;
};

std::uint64_t systemNowUs();

class FaultInjector {
 public:
  FaultInjector(ProofState& state, const std::vector<FaultKind>& kinds, std::uint64_t seed)
      : state_(state), fleet_(state.fleet), kinds_(kinds), random_(seed) {}

  /// Strikes again and again until the state is ending; everything is healed on return.
  void run();
  const std::map<FaultKind, std::size_t>& struck() const { return struck_; }

 private:
  /// False when the fault could not strike now.
  bool strike(FaultKind kind);
  bool killLeaf();
  bool freezeLeaf();
  bool killDaemon();
  bool freezeDaemon();
  bool stopDaemon();
  bool cutZone();
  bool platformOutage();
  bool leafLeaves();
  bool nextSnapshot();
  bool repartition();
  bool operatorRace();
  bool unrulyLeaf();

  bool applyWith(std::size_t daemon, const std::function<void(Configuration&)>& change);
  void hold(int shortestMs, int longestMs);
  std::size_t draw(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }
  std::string daemonName(std::size_t daemon) const { return "daemon-" + std::to_string(daemon); }
  /// A daemon or leaf that nobody else has taken down; empty when the first few drawn all are.
  std::optional<std::size_t> claimDaemon();
  std::optional<std::size_t> claimLeaf();

  ProofState& state_;
  Fleet& fleet_;
  std::vector<FaultKind> kinds_;
  std::mt19937_64 random_;
  std::map<FaultKind, std::size_t> struck_;
};

}  // namespace oakpier
