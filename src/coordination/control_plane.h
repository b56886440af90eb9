#pragma once

/// Control plane of one daemon as a state machine without I/O: membership, agreement on configuration changes
/// and their propagation. The daemon and the simulated fleet of the tests run the same code.
///
/// Invariants:
///  - the revision in effect never decreases;
///  - a change is reported as accepted only after a majority of the voters has accepted it;
///  - the platform's configuration is used only to decide revision 1.

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
  /// Target number of voters.
  std::size_t voters = 5;
  /// Number of random members to which a new change is forwarded.
  std::size_t changeFanout = 3;
  /// How often the voter set and pending proposals are checked.
  Duration voterCheckPeriod = std::chrono::seconds(1);
  /// A voter completes a proposal that it accepted but does not know to be chosen after this long.
  Duration completionDelay = std::chrono::seconds(2);
  /// A longer gap between two calls of `onTimer` or `onMessage` is treated as a pause of the process.
  Duration pauseThreshold = std::chrono::milliseconds(1500);
};

/// Last answers of the platform's read-only services. They may be stale and never override a configuration
/// that the daemons have accepted.
struct PlatformReport {
  std::vector<Endpoint> daemons;
  std::optional<Configuration> configuration;
};

struct OutgoingEnvelope {
  Endpoint to;
  PeerEnvelope envelope;
};

enum class ChangeOutcome {
  kAccepted,
  /// Another change took effect first; the operator must review the current configuration.
  kConflict,
  /// No majority of the voters answered, or too many requests are queued; the change has no effect.
  kNoMajority,
  /// The change is not known to be accepted; it may still take effect.
  kUndecided,
  /// This daemon has no accepted configuration yet.
  kNotReady,
};

struct ChangeResult {
  std::uint64_t token = 0;
  ChangeOutcome outcome = ChangeOutcome::kNoMajority;
  /// The revision in effect at this daemon when the request ended.
  std::uint64_t revision = 0;
};

struct ControlActions {
  std::vector<OutgoingEnvelope> messages;
  std::vector<ChangeResult> results;
};

/// A configuration change requested by an operator.
struct ChangeRequest {
  /// Chosen by the caller; returned in the result.
  std::uint64_t token = 0;
  ConfigurationChange change;
  /// The request fails with kConflict unless this is the revision in effect. 0 = any.
  std::uint64_t baseRevision = 0;
};

class ControlPlane {
 public:
  ControlPlane(const SelfMember& self, const ControlSettings& settings, std::uint64_t randomSeed);

  void setPlatformReport(const PlatformReport& report);
  /// Seeds from the settings, in addition to the platform's list.
  void setStaticSeeds(std::vector<Endpoint> seeds);

  ControlActions onMessage(const PeerEnvelope& envelope, Moment now);
  /// Call at least every 50 ms.
  ControlActions onTimer(Moment now);
  ControlActions submit(ChangeRequest request, Moment now);
  /// Begins a planned stop: a voter proposes a voter set without itself.
  void prepareLeave() { self_.leaving = true; }
  /// Whether this daemon is not a voter, or there is no other serving member to replace it.
  bool mayLeave() const;
  /// Completes a planned stop: notifies members.
  ControlActions leave(Moment now);

  const ConfigurationStore& store() const { return store_; }
  const Membership& membership() const { return membership_; }
  /// Whether this daemon has an accepted configuration that, after a pause, a peer has confirmed to be
  /// current. Without a confirmation it is ready again after a time limit.
  bool ready() const { return store_.revision() > 0 && !revalidating_; }
  /// Whether this daemon can grant reservations of request ids (see repeat_guard.h).
  bool grantsReservations(Moment now) const {
    return guard_.synchronized() && lease_.held(store_.voters(), now);
  }
  std::uint64_t pauses() const { return pauses_; }
  bool revalidating() const { return revalidating_; }
  /// The revision that `address` last reported; 0 if unknown.
  std::uint64_t revisionOf(const Endpoint& address) const;

 private:
  struct UndecidedRequest {
    ChangeRequest request;
    std::uint64_t revision = 0;
    Moment until{};
  };

  void handle(const Endpoint& sender, const PeerEnvelope& envelope, Moment now);
  void handleReservation(const Endpoint& sender, const PeerEnvelope& envelope, Moment now);
  void handleAgreement(const Endpoint& sender, const PeerEnvelope& envelope, Moment now);
  void onPeerRevision(const Endpoint& sender, std::uint64_t revision, Moment now);
  void requestChanges(const Endpoint& peer, Moment now);
  void onChanges(const ChangesReply& reply, Moment now);
  void propagateChanges(std::uint64_t formerRevision);

  void detectPause(Moment now);
  void maybeBootstrapCluster(Moment now);
  void maintainVoterSet(Moment now);
  void completePendingProposal(Moment now);
  void startNextRequest(Moment now);
  void propose(std::optional<Proposal> own, Moment now);
  void apply(ProposerActions actions, Moment now);
  void endProposal(const ProposalResult& result, Moment now);
  void resolveUndecided(Moment now);
  void report(const ChangeRequest& request, ChangeOutcome outcome);
  Proposal newProposal(const ConfigurationChange& change);

  PeerEnvelope newEnvelope() const;
  void send(const Endpoint& to, PeerEnvelope envelope);
  void apply(MembershipActions actions);
  /// Handles messages addressed to this daemon itself, except replies to reservations, and returns the others
  /// with the results.
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

  std::deque<ChangeRequest> queuedRequests_;
  /// The request that the current proposal carries.
  std::optional<ChangeRequest> activeRequest_;
  /// Requests with an undecided proposal; its revision, once known, decides them.
  std::vector<UndecidedRequest> undecided_;
  std::unordered_map<Endpoint, std::uint64_t> revisions_;
  std::vector<OutgoingEnvelope> outbox_;
  std::vector<ChangeResult> results_;
  std::uint64_t nextChange_ = 1;
  Moment startedAt_{};
  Moment lastCallAt_{};
  Moment changesRequestedAt_{};
  Moment nextVoterCheckAt_{};
  Moment revalidateUntil_{};
  bool revalidating_ = false;
  std::uint64_t pauses_ = 0;
};

}  // namespace oakpier
