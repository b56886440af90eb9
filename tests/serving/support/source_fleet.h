#pragma once

/// A fleet of daemons that follow one configuration source, in simulated time: the source answers, waits, is
/// down or refuses some; frames take their time or get lost; daemons die, start, and learn of each other
/// late.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/serving/source_follower.h"
#include "state/random.h"

namespace oakpier::serving {

struct SourceFleetSettings {
  std::size_t daemons = 7;
  std::size_t seeds = 3;
  std::size_t leafs = 40;
  std::uint64_t random = 1;
  /// What the daemons can carry, over and over again by their numbers; empty: they don't tell.
  std::vector<unsigned> capacities;
  /// Of frames between daemons.
  double frameLoss = 0.0;
  Duration shortestFrame = std::chrono::milliseconds(1);
  Duration longestFrame = std::chrono::milliseconds(15);
};

class SourceFleet {
 public:
  explicit SourceFleet(const SourceFleetSettings& settings);

  Moment now() const { return now_; }
  void runFor(Duration span);
  std::size_t size() const { return daemons_.size(); }

  /// The operator hands in the next version, which the source takes at once.
  std::uint64_t changeConfiguration();
  void changeLeaf(std::size_t number);
  /// The operator evacuates a zone, or takes that back.
  void setEvacuated(const std::string& zone, bool evacuated);
  void kill(std::size_t number);
  /// Starts a new process at the address of one that was killed.
  void start(std::size_t number);
  /// The source refuses the daemon's calls.
  void setRefused(std::size_t number, bool refused) { daemons_[number].refused = refused; }
  /// The source answers nobody; calls that wait are lost.
  void setSourceDown(bool down);
  /// The source forgets the history of changes.
  void forgetHistory() { historyFrom_ = revision_; }

  bool refused(std::size_t number) const { return daemons_[number].refused; }
  bool alive(std::size_t number) const { return daemons_[number].alive; }
  Moment aliveSince(std::size_t number) const { return daemons_[number].startedAt; }
  std::uint64_t versionOf(std::size_t number) const;
  /// When the process first had that version or a newer one; `kNever` if it has not.
  Moment versionSeenAt(std::size_t number, std::uint64_t version) const;
  std::vector<std::string> evacuatedZonesOf(std::size_t number) const {
    return daemons_[number].follower->evacuatedZones();
  }
  bool complete(std::size_t number) const { return daemons_[number].follower->complete(); }
  /// Calls that the source got, refused ones too.
  std::size_t calls() const { return calls_; }

 private:
  struct Daemon {
    Endpoint address;
    unsigned capacity = 0;
    std::unique_ptr<SourceFollower> follower;
    bool alive = false;
    bool refused = false;
    /// Tells processes at the address apart.
    std::uint64_t life = 0;
    Moment startedAt{};
    Moment endedAt{};
    Moment wakeAt = kNever;
    std::map<std::uint64_t, Moment> versions;
  };
  struct Waiting {
    std::size_t daemon = 0;
    std::uint64_t life = 0;
    SourceCall call;
    std::uint64_t number = 0;
  };

  void at(Moment moment, std::function<void()> action) { events_.emplace(moment, std::move(action)); }
  void pump(std::size_t number);
  void carryOut(std::size_t number, const FollowerActions& actions);
  void deliver(std::size_t from, const Endpoint& to, std::function<void(std::size_t receiver)> action);
  void call(std::size_t number, const SourceCall& call);
  void onCall(std::size_t number, std::uint64_t life, const SourceCall& call);
  void answer(std::size_t number, std::uint64_t life, const SourceCall& call, const SourceAnswer& answer,
              Duration delay);
  SourceAnswer contentFor(const SourceCall& call) const;
  bool hasChangesFor(const SourceCall& call) const;
  void change(const std::string& key, const std::string& value, bool gone = false);
  /// What each daemon knows of the others at this moment.
  void refreshMembers();
  bool knows(const Daemon& daemon, const Daemon& other) const;
  Duration lag(const Daemon& daemon, const Daemon& other, Duration longest) const;

  SourceFleetSettings settings_;
  RandomEngine random_;
  Moment now_ = Moment(std::chrono::seconds(100));
  std::multimap<Moment, std::function<void()>> events_;
  std::vector<Daemon> daemons_;
  std::vector<Endpoint> seeds_;
  std::map<Endpoint, std::size_t> numbers_;
  std::uint64_t revision_ = 10;
  std::uint64_t historyFrom_ = 10;
  std::uint64_t version_ = 0;
  bool sourceDown_ = false;
  std::map<std::string, SourceRecord> records_;
  std::vector<SourceRecord> history_;
  std::vector<Waiting> waiting_;
  std::uint64_t nextWaiting_ = 1;
  std::size_t calls_ = 0;
};

}  // namespace oakpier::serving
