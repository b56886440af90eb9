#pragma once

/// Membership between daemons by probing: each period one member is probed, directly and then through others;
/// what changes rides on probes and replies. The cost to a daemon does not grow with the number of daemons.
///
/// Invariants: only a member itself raises its refutation; a dead or left process never becomes alive again
/// except by its own refutation (dead) or as a later process (higher incarnation); every update is sent a
/// bounded number of times; for one process and refutation a member tells at most one capacity.

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
  /// Members asked to probe on our behalf when a member does not answer.
  std::size_t indirectProbes = 3;
  /// A suspect is dead after this many probe periods times log10(members + 1).
  double suspicionPeriods = 3.0;
  /// Each update is sent this many times log10(members + 1).
  double updateTransmissions = 4.0;
  UpdateQueueSettings updates;
  /// How often one dead member or seed is tried, so that healed cuts merge.
  Duration reconnectPeriod = std::chrono::seconds(5);
  /// How often at most a daemon compares its table with that of another whose digest differs.
  Duration comparePeriod = std::chrono::seconds(5);
  /// For this long after its start a daemon probes and compares tables every `settlingProbePeriod`.
  Duration settlingTime = std::chrono::seconds(60);
  Duration settlingProbePeriod = std::chrono::seconds(1);
  /// How long the dead are remembered, so that old news cannot revive them.
  Duration tombstoneLifetime = std::chrono::minutes(15);
  /// Take a higher incarnation than an earlier process at the same address had. Its clock may have been
  /// ahead; otherwise nobody would believe that this process lives.
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

  /// What this daemon can carry, in hundredths of a processor core. Told to all; a change is a refutation, so
  /// that it supersedes what they know. 0, not told, changes nothing.
  void setCapacity(std::uint32_t capacity);
  std::uint32_t capacity() const { return capacity_; }
  /// Addresses to try when no member is known; from settings and the platform's list.
  void setSeeds(std::vector<Endpoint> seeds);

  MembershipActions onProbe(const Endpoint& sender, const Probe& probe, Moment now);
  MembershipActions onReply(const Endpoint& sender, const ProbeReply& reply, Moment now);
  MembershipActions onTimer(Moment now);
  /// All that is known of the members, for a daemon that has just started.
  ProbeReply introduction(const Endpoint& receiver);

  /// After a pause: all that waited to be sent is old, and probes on the way prove nothing.
  void onPause(Moment now);
  /// Tells a few members that this process leaves in good order.
  MembershipActions leave(Moment now);

  /// A probe of that number is on the way; after a pause only probes sent since then are.
  bool awaits(std::uint64_t sequence) const { return pending_.count(sequence) != 0; }

  const MemberTable& members() const { return members_; }
  std::size_t servingCount() const { return members_.servingCount(); }
  /// Raised with every change that placement or readiness depends on.
  std::uint64_t version() const { return version_; }
  /// Some other member or seed was heard from.
  bool joined() const { return joined_; }
  const MembershipCounters& counters() const { return counters_; }
  const Endpoint& self() const { return self_; }
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct PendingProbe {
    Endpoint target;
    Moment sentAt{};
    bool indirectSent = false;
    /// A try whether the target is back; its silence means nothing.
    bool reconnecting = false;
    /// Set when probing for another member.
    std::optional<Endpoint> askedBy;
    std::uint64_t askedSequence = 0;
  };

  Duration probePeriod(Moment now) const {
    return settling(now) ? settings_.settlingProbePeriod : settings_.probePeriod;
  }
  bool settling(Moment now) const { return now - startedAt_ < settings_.settlingTime; }
  void probeNext(Moment now, MembershipActions& actions);
  void sendProbe(const Endpoint& target, Moment now, MembershipActions& actions,
                 const PendingProbe* special = nullptr);
  void checkPending(Moment now, MembershipActions& actions);
  void askOthers(std::uint64_t sequence, PendingProbe& pending, MembershipActions& actions);
  void expireSuspicions(Moment now);
  void reconnect(Moment now, MembershipActions& actions);
  void forgetTombstones(Moment now);
  std::optional<Endpoint> randomServing();

  // What members tell each other of members: membership_updates.cpp.
  template <typename Message>
  void receive(const Message& message, bool bulk, Moment now);
  void merge(const MemberUpdate& update, bool bulk, Moment now);
  void mergeSelf(const MemberUpdate& update);
  /// `bulk`: the sender did not pass this on as news, so neither do we.
  void mergeRecord(const MemberRecord& update, bool bulk, Moment now);
  /// Some daemons pass on what they hear of a member without its capacity.
  void learnCapacity(const MemberRecord& update, const MemberRecord& known, bool bulk);
  void compareTables(const Endpoint& sender, const ProbeReply& reply, Moment now, MembershipActions& actions);
  std::uint64_t partDigest(std::size_t part) const;
  std::uint64_t wholeDigest() const;
  template <typename Message>
  void attachParts(Message& message, const std::vector<std::uint32_t>& parts) const;
  void suspect(const Endpoint& subject, Moment now);
  Duration suspicionTime() const;
  void spread(const Endpoint& subject);
  template <typename Message>
  void attachUpdates(const Endpoint& receiver, Message& message, bool everything = false);
  MemberUpdate describe(const MemberRecord& record) const;
  MemberUpdate describeSelf() const;
  double logMembers() const;

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
  Moment nextForgetAt_{};
  Moment nextCompareAt_{};
  Moment startedAt_{};
  /// Grows while probes of ours fail and refutations reach us: then the fault may be here, and we judge
  /// slower.
  int ownTrouble_ = 0;
  static constexpr int kMostOwnTrouble = 5;
  MembershipCounters counters_;
};

}  // namespace oakpier
