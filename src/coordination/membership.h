#pragma once

/// SWIM-style membership and failure detection. Each period a daemon probes one member, directly and, without
/// an answer, indirectly through other members; updates are piggybacked on probes and replies. The number of
/// messages per daemon does not depend on the number of daemons.
///
/// Invariants:
///  - only the member itself raises its refutation number;
///  - a dead member becomes alive again only by its own refutation or with a higher incarnation;
///  - a member that left becomes alive again only with a higher incarnation;
///  - every update is sent a bounded number of times;
///  - a member reports at most one capacity per incarnation and refutation number.

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/probe_order.h"
#include "coordination/suspicion_list.h"
#include "coordination/update_queue.h"
#include "oakpier/peer.pb.h"
#include "state/member_table.h"
#include "state/random.h"

namespace oakpier {

struct MembershipSettings {
  Duration probePeriod = std::chrono::seconds(1);
  Duration probeTimeout = std::chrono::milliseconds(300);
  /// Members that are asked to probe an unresponsive member (indirect probes).
  std::size_t indirectProbes = 3;
  /// A suspected member is declared dead after this many probe periods times max(1, log10(members + 1)),
  /// where members includes this daemon. The time is longer while probes of this daemon fail.
  double suspicionPeriods = 3.0;
  /// Each update is sent this many times max(1, log10(members + 1)).
  double updateTransmissions = 4.0;
  UpdateQueueSettings updates;
  /// How often one dead member and one seed that is not serving are probed, so that the sides of a healed
  /// network partition merge. A daemon that has not joined does so every quarter of the probe period.
  Duration reconnectPeriod = std::chrono::seconds(5);
  /// Minimum time between comparisons of the member table with that of a peer whose digest differs.
  Duration comparePeriod = std::chrono::seconds(5);
  /// For this long after its start a daemon probes and compares tables every `startupProbePeriod`.
  Duration startupPeriod = std::chrono::seconds(60);
  Duration startupProbePeriod = std::chrono::seconds(1);
  /// How long records of dead and departed members are kept, so that stale updates cannot revive them.
  Duration tombstoneLifetime = std::chrono::minutes(15);
  /// On an update about a higher incarnation at this daemon's address, adopt a still higher one. An earlier
  /// process may have had a clock that was ahead; peers would ignore all updates of this process otherwise.
  bool adoptHigherIncarnation = false;
};

struct OutgoingProbe {
  Endpoint to;
  Probe probe;
};

struct OutgoingProbeReply {
  Endpoint to;
  ProbeReply reply;
};

struct MembershipActions {
  std::vector<OutgoingProbe> probes;
  std::vector<OutgoingProbeReply> replies;
};

struct MembershipCounters {
  std::uint64_t probesSent = 0;
  std::uint64_t indirectProbesSent = 0;
  std::uint64_t suspicionsRaised = 0;
  std::uint64_t refutations = 0;
  std::uint64_t deathsDeclared = 0;
  std::uint64_t tableComparisons = 0;
};

class Membership {
 public:
  Membership(const Endpoint& self, const std::string& zone, std::uint64_t incarnation,
             const MembershipSettings& settings, RandomEngine random);

  /// Sets the capacity that this daemon reports to its peers, in hundredths of a processor core. A change of
  /// a known capacity raises the refutation number, so that it supersedes the earlier value. 0 (unknown) is
  /// ignored.
  void setCapacity(std::uint32_t capacity);
  std::uint32_t capacity() const { return capacity_; }
  /// Addresses to probe while they are not serving members: from the settings and the platform's list.
  void setSeeds(std::vector<Endpoint> seeds);

  MembershipActions onProbe(const Endpoint& sender, const Probe& probe, Moment now);
  MembershipActions onReply(const Endpoint& sender, const ProbeReply& reply, Moment now);
  MembershipActions onTimer(Moment now);
  /// The complete member table, for a daemon that has just started.
  ProbeReply fullTable(const Endpoint& receiver);

  /// After a pause of the process: discards queued updates and pending probes, which are stale, and restarts
  /// suspicions.
  void onPause(Moment now);
  /// Notifies a few members of a planned stop. After that `onTimer` does nothing.
  MembershipActions leave(Moment now);

  /// Whether a reply to the probe `sequence` is pending. Replies to probes sent before a pause are not
  /// awaited.
  bool awaitsReply(std::uint64_t sequence) const { return pending_.count(sequence) != 0; }

  const MemberTable& members() const { return members_; }
  std::size_t servingCount() const { return members_.servingCount(); }
  /// Incremented with every change that placement or readiness depends on.
  std::uint64_t version() const { return version_; }
  /// Whether a message from another member or a seed has been received.
  bool joined() const { return joined_; }
  /// No other daemon has been heard since the start, although there are seeds.
  bool isolated() const { return !joined_ && !seeds_.empty(); }
  const MembershipCounters& counters() const { return counters_; }
  const Endpoint& self() const { return self_; }
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct PendingProbe {
    Endpoint target;
    Moment sentAt{};
    bool indirectSent = false;
    /// Sent to a dead member or a seed: a missing reply raises no suspicion.
    bool reconnecting = false;
    /// For an indirect probe: the member that requested it, and the sequence number of its request.
    std::optional<Endpoint> requester;
    std::uint64_t requesterSequence = 0;
  };

  Duration probePeriod(Moment now) const {
    return startingUp(now) ? settings_.startupProbePeriod : settings_.probePeriod;
  }
  bool startingUp(Moment now) const { return now - startedAt_ < settings_.startupPeriod; }
  void probeNext(Moment now, MembershipActions& actions);
  void sendProbe(const Endpoint& target, Moment now, MembershipActions& actions,
                 const PendingProbe* initial = nullptr);
  void checkPending(Moment now, MembershipActions& actions);
  void sendIndirectProbes(std::uint64_t sequence, PendingProbe& pending, MembershipActions& actions);
  void expireSuspicions(Moment now);
  void reconnect(Moment now, MembershipActions& actions);
  void removeExpiredTombstones(Moment now);
  std::optional<Endpoint> randomServing();

  // Dissemination and comparison of member records: membership_updates.cpp.
  template <typename Message>
  void receive(const Message& message, bool bulk, Moment now);
  void merge(const MemberUpdate& update, bool bulk, Moment now);
  void mergeSelf(const MemberUpdate& update);
  /// `bulk`: the record comes from a table exchange and is not disseminated further.
  void mergeRecord(const MemberRecord& update, bool bulk, Moment now);
  /// Adds the capacity to a record that was received without it: some daemons do not forward capacities.
  void learnCapacity(const MemberRecord& update, const MemberRecord& known, bool bulk);
  void compareTables(const Endpoint& sender, const ProbeReply& reply, Moment now, MembershipActions& actions);
  std::uint64_t partDigest(std::size_t part) const;
  std::uint64_t tableDigest() const;
  template <typename Message>
  void attachTableParts(Message& message, const std::vector<std::uint32_t>& parts) const;
  void suspect(const Endpoint& subject, Moment now);
  Duration suspicionTime() const;
  void enqueueUpdate(const Endpoint& subject);
  template <typename Message>
  void attachUpdates(const Endpoint& receiver, Message& message, bool everything = false);
  MemberUpdate updateFor(const MemberRecord& record) const;
  MemberUpdate selfUpdate() const;
  double logMemberCount() const;

  Endpoint self_;
  std::string zone_;
  std::uint64_t incarnation_;
  MembershipSettings settings_;
  RandomEngine random_;
  MemberTable members_;
  std::vector<Endpoint> seeds_;
  DeadMembers dead_;
  ProbeOrder probeOrder_;
  std::unordered_map<std::uint64_t, PendingProbe> pending_;
  UpdateQueue updates_;
  SuspicionList suspicions_;
  std::uint64_t nextSequence_ = 1;
  std::uint32_t selfRefutation_ = 0;
  std::uint32_t capacity_ = 0;
  std::uint64_t version_ = 1;
  bool joined_ = false;
  bool leaving_ = false;
  Moment nextProbeAt_{};
  Moment nextReconnectAt_{};
  Moment nextTombstoneSweepAt_{};
  Moment nextCompareAt_{};
  Moment startedAt_{};
  /// Raised when a probe of this daemon fails or it must refute a suspicion, lowered by each reply. The fault
  /// may then be at this daemon, so it probes and declares members dead more slowly (cf. Lifeguard).
  int localHealthMultiplier_ = 0;
  static constexpr int kMaxLocalHealthMultiplier = 5;
  MembershipCounters counters_;
};

}  // namespace oakpier
