#pragma once

/// A fleet of daemons that follow one configuration source, in simulated time. The source may hold calls
/// open, be down or refuse some daemons. Frames are delayed, lost or duplicated; links fail, also in one
/// direction. Daemons crash, start, are suspended, and learn of each other with a delay. Their clocks differ.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
  /// Capacities of the daemons, repeated over their numbers; empty: they report none.
  std::vector<unsigned> capacities;
  /// Share of the frames between daemons that are lost.
  double frameLoss = 0.0;
  Duration minFrameDelay = std::chrono::milliseconds(1);
  Duration maxFrameDelay = std::chrono::milliseconds(15);
  /// Shares of the frames that arrive up to `maxExtraDelay` later, and of those that are delivered a second
  /// time by then.
  double delayedFrames = 0.0;
  double duplicatedFrames = 0.0;
  Duration maxExtraDelay = std::chrono::seconds(9);
  /// The operator's bound on the use of a leaf after its departure.
  Duration leaveBound = std::chrono::seconds(3);
  /// The configuration contains a tenant.
  bool tenants = false;
  /// The source's epoch at the start; 0: it reports none until it is restored from a backup.
  std::uint64_t firstEpoch = 0;
};

class SourceFleet {
 public:
  explicit SourceFleet(const SourceFleetSettings& settings);

  Moment now() const { return now_; }
  void runFor(Duration span);
  std::size_t size() const { return daemons_.size(); }

  /// The operator writes the next version of the configuration.
  std::uint64_t changeConfiguration();
  void changeLeaf(std::size_t number);
  /// Deletes the leaf's entry.
  void removeLeaf(std::size_t number);
  /// Starts or ends the evacuation of a zone.
  void setEvacuated(const std::string& zone, bool evacuated);
  void kill(std::size_t number);
  /// Starts a new process at the address of a crashed one.
  void start(std::size_t number);
  /// The source refuses the daemon's calls.
  void setRefused(std::size_t number, bool refused) { daemons_[number].refused = refused; }
  /// The source does not answer; calls that it holds open are lost.
  void setSourceDown(bool down);
  /// The source receives the daemon's calls, but its answers are lost.
  void setAnswersLost(std::size_t number, bool lost) { daemons_[number].answersLost = lost; }
  /// Frames from one daemon to another are lost.
  void setLinkDown(std::size_t from, std::size_t to, bool down);
  void restoreLinks() { linksDown_.clear(); }
  /// The process does not run. Frames and answers are queued until it is resumed.
  void suspend(std::size_t number) { daemons_[number].suspended = true; }
  void resume(std::size_t number);
  /// Restores the source from a backup of age `age` and begins a new epoch: revisions go back, and later
  /// records are lost until their writers rewrite them, each at a random time within `rewriteWindow`.
  /// Calls that the source holds open are lost.
  void restoreSource(Duration age, Duration rewriteWindow);
  /// The source drops its history of changes.
  void forgetHistory() { historyFrom_ = revision_; }

  bool refused(std::size_t number) const { return daemons_[number].refused; }
  bool alive(std::size_t number) const { return daemons_[number].alive; }
  bool suspended(std::size_t number) const { return daemons_[number].suspended; }
  /// Whether the daemon may admit keys now if its proof may be `bound` old.
  bool covers(std::size_t number, Duration bound) const;
  /// Age of the daemon's freshness proof.
  Duration proofAge(std::size_t number) const;
  /// A configuration newer than the daemon's was acknowledged longer than `bound` ago.
  bool outdatedBy(std::size_t number, Duration bound) const;
  /// Times that a daemon's proof named a time at which a newer version was already acknowledged.
  std::size_t unsoundProofs() const { return unsoundProofs_; }
  /// Times that a running daemon requested a read of the source for its own proof.
  std::size_t proofReadRequests() const;
  std::size_t proofRequests() const { return proofRequests_; }
  Moment aliveSince(std::size_t number) const { return daemons_[number].startedAt; }
  std::uint64_t versionOf(std::size_t number) const;
  /// When the process first had this version or a newer one; `kNever` if it has not.
  Moment versionSeenAt(std::size_t number, std::uint64_t version) const;
  std::vector<std::string> evacuatedZonesOf(std::size_t number) const {
    return daemons_[number].follower->evacuatedZones();
  }
  bool complete(std::size_t number) const { return daemons_[number].follower->complete(); }
  /// Calls that reached the source, including refused ones.
  std::size_t calls() const { return calls_; }
  std::uint64_t sourceRevision() const { return revision_; }
  /// Listings that were requested from the source, including refused ones.
  std::size_t listings() const { return listings_; }
  /// Running daemons whose known leafs differ from those that the source lists.
  std::size_t daemonsWithWrongLeafs() const;
  /// Times that a daemon used an older version than before without a restart.
  std::size_t versionDecreases() const { return versionDecreases_; }
  /// For tests that inspect one daemon.
  const SourceFollower& followerOf(std::size_t number) const { return *daemons_[number].follower; }
  std::uint64_t knownRevisionOf(std::size_t number) const {
    return daemons_[number].follower->known().revision;
  }

 private:
  struct Daemon {
    Endpoint address;
    unsigned capacity = 0;
    std::unique_ptr<SourceFollower> follower;
    bool alive = false;
    bool refused = false;
    bool answersLost = false;
    bool suspended = false;
    std::vector<std::function<void()>> deferred;
    /// Offset of its clock.
    Duration clockOffset{};
    /// Number of the process at this address.
    std::uint64_t incarnation = 0;
    Moment startedAt{};
    Moment endedAt{};
    Moment wakeAt = kNever;
    std::map<std::uint64_t, Moment> versions;
  };
  struct HeldCall {
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0;
    SourceCall call;
    std::uint64_t number = 0;
  };

  void at(Moment moment, std::function<void()> action) { events_.emplace(moment, std::move(action)); }
  Moment clockOf(std::size_t number) const { return now_ + daemons_[number].clockOffset; }
  /// Runs `action` now, or when the process is resumed; never if it crashes before.
  void runIn(std::size_t number, std::uint64_t incarnation, std::function<void()> action);
  void pump(std::size_t number);
  void checkProof(std::size_t number);
  void applyProofs(std::size_t number, const ProofActions& actions);
  void apply(std::size_t number, const FollowerActions& actions);
  void deliver(std::size_t from, const Endpoint& to, std::function<void(std::size_t receiver)> action);
  void call(std::size_t number, const SourceCall& call);
  void onCall(std::size_t number, std::uint64_t incarnation, const SourceCall& call);
  void answer(std::size_t number, std::uint64_t incarnation, const SourceCall& call,
              const SourceAnswer& answer, Duration delay);
  SourceAnswer::Content contentFor(const SourceCall& call) const;
  /// Adds the source's epoch to an answer.
  SourceAnswer withEpoch(SourceAnswer::Content content) const;
  /// The writer rewrites the record unless the source still holds what it wrote last.
  void rewrite(const std::string& key);
  bool hasChangesFor(const SourceCall& call) const;
  void change(const std::string& key, const std::string& value, bool deleted = false);
  /// Updates the members that each daemon knows.
  void refreshMembers();
  bool knows(const Daemon& daemon, const Daemon& other) const;
  Duration learningDelay(const Daemon& daemon, const Daemon& other, Duration longest) const;

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
  struct Change {
    SourceRecord record;
    Moment madeAt{};
  };
  std::vector<Change> history_;
  std::uint64_t epoch_ = 0;
  /// The last write of each key, whether or not the source has lost it.
  std::map<std::string, SourceRecord> lastWrites_;
  std::vector<HeldCall> heldCalls_;
  std::uint64_t nextHeldCall_ = 1;
  std::size_t calls_ = 0;
  std::size_t listings_ = 0;
  std::size_t versionDecreases_ = 0;
  std::set<std::pair<std::size_t, std::size_t>> linksDown_;
  /// When each version was acknowledged.
  std::map<std::uint64_t, Moment> acknowledged_;
  std::size_t unsoundProofs_ = 0;
  std::size_t proofRequests_ = 0;
};

}  // namespace oakpier::serving
