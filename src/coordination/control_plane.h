#pragma once

/// The control side of one daemon as a state machine: membership, agreement on configuration changes, and
/// their spread. The daemon and the property tests run this same code.
///
/// Invariants: the revision in force never falls; a change is reported accepted only after a majority of the
/// voters accepted it; the platform's configuration is used only to decide revision 1.

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "coordination/membership.h"
#include "coordination/proposer.h"
#include "coordination/repeat_guard.h"
#include "coordination/voter.h"
#include "coordination/voter_lease.h"
#include "coordination/voter_selection.h"
#include "oakpier/peer.pb.h"
#include "state/configuration_store.h"

namespace oakpier {

struct ControlSettings {
  MembershipSettings membership;
  RepeatGuardSettings repeatGuard;
  /// Daemons that vote on configuration changes.
  std::size_t voters = 5;
  /// Members that a newly learnt change is passed on to.
  std::size_t changeFanout = 3;
  /// How often the voter set is looked over.
  Duration voterCheckPeriod = std::chrono::seconds(1);
  /// An accepted change that is not heard to be chosen is completed by a voter after this long.
  Duration completionDelay = std::chrono::seconds(2);
  /// A gap between two calls of `onTime` longer than this is a pause of the process.
  Duration pauseThreshold = std::chrono::milliseconds(1500);
};

/// What the platform's read-only services said last. They lag; nothing here overrules what daemons accepted.
struct PlatformReport {
  std::vector<Endpoint> daemons;
  std::optional<Configuration> configuration;
};

struct OutgoingEnvelope {
  Endpoint to;
  PeerEnvelope envelope;
};

enum class ChangeEnd {
  kAccepted,
  /// Another change came first; the operator must look again.
  kConflict,
  /// No majority of voters was reached; nothing was changed.
  kNoMajority,
  /// No majority answered in time; the change may yet take effect.
  kUndecided,
  /// This daemon holds no accepted configuration yet.
  kNotReady,
};

struct ChangeResult {
  std::uint64_t token = 0;
  ChangeEnd end = ChangeEnd::kNoMajority;
  /// The revision in force here afterwards.
  std::uint64_t revision = 0;
};

struct ControlActions {
  std::vector<OutgoingEnvelope> messages;
  std::vector<ChangeResult> results;
};

/// A change an operator asks for.
struct ChangeRequest {
  /// Chosen by the caller; comes back in the result.
  std::uint64_t token = 0;
  ConfigurationChange change;
  /// Refused unless this is the revision in force. 0 = any.
  std::uint64_t baseRevision = 0;
};

class ControlPlane {
 public:
  ControlPlane(const SelfMember& self, const ControlSettings& settings, std::uint64_t randomSeed);

  void setPlatformReport(const PlatformReport& report);
  /// Peers known from settings, besides those on the platform's list.
  void setStaticSeeds(std::vector<Endpoint> seeds);

  ControlActions onMessage(const PeerEnvelope& envelope, Moment now);
  /// Call at least every 50 ms.
  ControlActions onTime(Moment now);
  ControlActions submit(ChangeRequest request, Moment now);
  /// Begins a planned stop: a voter first sees to its replacement.
  void prepareLeave() { self_.leaving = true; }
  /// No voter any more, or nobody is there to take over.
  bool mayLeave() const;
  /// Planned stop: tells members that this process leaves.
  ControlActions leave(Moment now);

  const ConfigurationStore& store() const { return store_; }
  const Membership& membership() const { return membership_; }
  /// Holds an accepted configuration and, after a pause, the one that its peers have in force.
  bool ready() const { return store_.revision() > 0 && !revalidating_; }
  /// This daemon grants reservations of ids of requests not to be repeated.
  bool guardsIds(Moment now) const { return guard_.synchronized() && lease_.held(store_.voters(), now); }
  std::uint64_t pauses() const { return pauses_; }
  bool revalidating() const { return revalidating_; }
  /// The revision that `address` last named.
  std::uint64_t revisionOf(const Endpoint& address) const;

 private:
  struct Awaited {
    ChangeRequest request;
    std::uint64_t revision = 0;
    Moment until{};
  };

  void handle(const Endpoint& sender, const PeerEnvelope& envelope, Moment now);
  void handleGuard(const Endpoint& sender, const PeerEnvelope& envelope, Moment now);
  void handleAgreement(const Endpoint& sender, const PeerEnvelope& envelope, Moment now);
  void hearRevision(const Endpoint& sender, std::uint64_t revision, Moment now);
  void askForChanges(const Endpoint& peer, Moment now);
  void learn(const ChangesReply& reply, Moment now);
  void passOn(std::uint64_t formerRevision);

  void detectPause(Moment now);
  void maybeFoundCluster(Moment now);
  void keepVoters(Moment now);
  void completeOpenProposal(Moment now);
  void startNextRequest(Moment now);
  void propose(std::optional<Proposal> own, Moment now);
  void carryOut(ProposerActions actions, Moment now);
  void endProposal(const ProposalResult& result, Moment now);
  void resolveAwaited(Moment now);
  void report(const ChangeRequest& request, ChangeEnd end);
  Proposal proposalOf(const ConfigurationChange& change);

  PeerEnvelope envelopeOf() const;
  void send(const Endpoint& to, PeerEnvelope envelope);
  void carryOut(MembershipActions actions);
  /// Delivers what was sent to this daemon itself, then hands out the rest.
  ControlActions flush(Moment now);

  SelfMember self_;
  Endpoint selfAddress_;
  ControlSettings settings_;
  RandomEngine random_;
  ConfigurationStore store_;
  Membership membership_;
  ConfigurationVoter voter_;
  VoterLease lease_;
  RepeatGuard guard_;
  Proposer proposer_;
  PlatformReport platform_;
  std::vector<Endpoint> staticSeeds_;

  std::deque<ChangeRequest> waiting_;
  /// The request that the running proposal carries.
  std::optional<ChangeRequest> running_;
  /// Requests whose fate the next revision will tell.
  std::vector<Awaited> awaited_;
  std::unordered_map<Endpoint, std::uint64_t> revisions_;
  std::vector<OutgoingEnvelope> outbox_;
  std::vector<ChangeResult> results_;
  std::uint64_t nextChange_ = 1;
  Moment startedAt_{};
  Moment lastTimeAt_{};
  Moment changesAskedAt_{};
  Moment nextVoterCheckAt_{};
  Moment revalidateUntil_{};
  bool revalidating_ = false;
  std::uint64_t pauses_ = 0;
};

}  // namespace oakpier
