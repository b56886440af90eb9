#pragma once

/// A fleet of daemons that follow one configuration source, in simulated time: the source answers, waits, is
/// down or refuses some; frames take their time, get lost, come late or twice; links are cut, also one way;
/// daemons die, start, stand still while frames and answers lie before them, and learn of each other late.
/// Each has a clock of its own.

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
  /// What the daemons can carry, over and over again by their numbers; empty: they don't tell.
  std::vector<unsigned> capacities;
  /// Of frames between daemons.
  double frameLoss = 0.0;
  Duration shortestFrame = std::chrono::milliseconds(1);
  Duration longestFrame = std::chrono::milliseconds(15);
  /// Share of frames that arrive up to `longestLateness` later, and of those that arrive again by then.
  double lateFrames = 0.0;
  double replayedFrames = 0.0;
  Duration longestLateness = std::chrono::seconds(9);
  /// The configuration names tenants.
  bool tenants = false;
  /// The source's epoch at the start. 0: it tells none before it has come back from a copy.
  std::uint64_t firstEpoch = 0;
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
  /// The leaf leaves: its entry goes.
  void removeLeaf(std::size_t number);
  /// The operator evacuates a zone, or takes that back.
  void setEvacuated(const std::string& zone, bool evacuated);
  void kill(std::size_t number);
  /// Starts a new process at the address of one that was killed.
  void start(std::size_t number);
  /// The source refuses the daemon's calls.
  void setRefused(std::size_t number, bool refused) { daemons_[number].refused = refused; }
  /// The source answers nobody; calls that wait are lost.
  void setSourceDown(bool down);
  /// The source works on the daemon's calls, but its answers do not reach it.
  void setAnswersLost(std::size_t number, bool lost) { daemons_[number].answersLost = lost; }
  /// Frames from one daemon to another vanish.
  void setCut(std::size_t from, std::size_t to, bool cut);
  void mendCuts() { cuts_.clear(); }
  /// The process stands still; what reaches it lies until it goes on.
  void suspend(std::size_t number) { daemons_[number].suspended = true; }
  void resume(std::size_t number);
  /// The source goes on from a copy of its records that is that old: revisions go back, and what was written
  /// since is lost until its writers write it again, each at a moment of its own within `writtenAgainWithin`.
  /// Calls that wait are lost.
  void restoreSource(Duration age, Duration writtenAgainWithin);
  /// The source forgets the history of changes.
  void forgetHistory() { historyFrom_ = revision_; }

  bool refused(std::size_t number) const { return daemons_[number].refused; }
  bool alive(std::size_t number) const { return daemons_[number].alive; }
  bool suspended(std::size_t number) const { return daemons_[number].suspended; }
  /// The daemon would let a key pass now under this bound.
  bool covers(std::size_t number, Duration bound) const;
  /// Age of the daemon's proof.
  Duration proofAge(std::size_t number) const;
  /// A newer configuration than the daemon uses was acknowledged longer ago than that.
  bool outdatedBy(std::size_t number, Duration bound) const;
  /// Times that a daemon held a proof of a moment by which a newer version was acknowledged.
  std::size_t unsoundProofs() const { return unsoundProofs_; }
  /// Times that a living daemon wanted to read the source for its own sake.
  std::size_t proofReads() const;
  std::size_t proofQuestions() const { return proofQuestions_; }
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
  std::uint64_t sourceRevision() const { return revision_; }
  /// Listings that the source was asked to begin, refused ones too.
  std::size_t listings() const { return listings_; }
  /// Living daemons that believe in other leafs than the source lists.
  std::size_t wrongAboutLeafs() const;
  /// Times that a daemon used an older version of the configuration than before in the same life.
  std::size_t versionsBack() const { return versionsBack_; }
  /// What the daemon follows by, for tests that look into one.
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
    std::vector<std::function<void()>> lying;
    /// Of its clock.
    Duration ahead{};
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
  Moment clockOf(std::size_t number) const { return now_ + daemons_[number].ahead; }
  /// Now, or when the process goes on; never if it ends before.
  void runIn(std::size_t number, std::uint64_t life, std::function<void()> action);
  void pump(std::size_t number);
  void checkProof(std::size_t number);
  void carryOutProofs(std::size_t number, const ProofActions& actions);
  void carryOut(std::size_t number, const FollowerActions& actions);
  void deliver(std::size_t from, const Endpoint& to, std::function<void(std::size_t receiver)> action);
  void call(std::size_t number, const SourceCall& call);
  void onCall(std::size_t number, std::uint64_t life, const SourceCall& call);
  void answer(std::size_t number, std::uint64_t life, const SourceCall& call, const SourceAnswer& answer,
              Duration delay);
  SourceAnswer::Content contentFor(const SourceCall& call) const;
  /// What the source says to anything.
  SourceAnswer told(SourceAnswer::Content content) const;
  /// The record's writer sees to it that the source holds what it wrote last.
  void writeAgain(const std::string& key);
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
  struct Change {
    SourceRecord record;
    Moment madeAt{};
  };
  std::vector<Change> history_;
  std::uint64_t epoch_ = 0;
  /// What each writer wrote last, by key, whatever the source has lost of it.
  std::map<std::string, SourceRecord> written_;
  std::vector<Waiting> waiting_;
  std::uint64_t nextWaiting_ = 1;
  std::size_t calls_ = 0;
  std::size_t listings_ = 0;
  std::size_t versionsBack_ = 0;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  /// By version.
  std::map<std::uint64_t, Moment> acknowledged_;
  std::size_t unsoundProofs_ = 0;
  std::size_t proofQuestions_ = 0;
};

}  // namespace oakpier::serving
