#include "coordination/control_plane.h"

#include <algorithm>

#include "state/configuration_change.h"

namespace oakpier {

namespace {

constexpr Duration kChangesRequestPeriod = std::chrono::milliseconds(300);
/// The bootstrap voters propose revision 1 staggered by this delay, so that their proposals rarely compete.
constexpr Duration kBootstrapStagger = std::chrono::milliseconds(500);
/// After a pause a daemon that receives no confirmation from a peer is ready again after this long: it may be
/// alone on its side of a network partition.
constexpr Duration kRevalidationLimit = std::chrono::seconds(2);
/// How long to wait for the revision of an undecided change.
constexpr Duration kUndecidedTimeout = std::chrono::seconds(3);
constexpr std::size_t kMaxQueuedRequests = 32;
constexpr std::uint32_t kControlTimeToLiveMs = 3000;

}  // namespace

ControlPlane::ControlPlane(const SelfMember& self, const ControlSettings& settings, std::uint64_t randomSeed)
    : self_(self),
      selfAddress_(Endpoint::parse(self.process.address).value_or(Endpoint())),
      settings_(settings),
      random_(randomSeed),
      membership_(selfAddress_, self.zone, self.process.incarnation, settings.membership,
                  RandomEngine(random_())),
      voter_(self.process, store_),
      lease_(self.process, settings.membership.probePeriod, settings.repeatGuard.leaseLength),
      guard_(selfAddress_, settings.repeatGuard),
      proposer_(self.process.address + "#" + std::to_string(self.process.incarnation),
                RandomEngine(random_())) {}

void ControlPlane::setPlatformReport(const PlatformReport& report) {
  platform_ = report;
  voter_.setBootstrapVoters(bootstrapVotersFor(report.daemons, settings_.voters));
  std::vector<Endpoint> seeds = staticSeeds_;
  seeds.insert(seeds.end(), report.daemons.begin(), report.daemons.end());
  membership_.setSeeds(std::move(seeds));
}

void ControlPlane::setStaticSeeds(std::vector<Endpoint> seeds) {
  staticSeeds_ = std::move(seeds);
  setPlatformReport(PlatformReport(platform_));
}

ControlActions ControlPlane::onMessage(const PeerEnvelope& envelope, Moment now) {
  detectPause(now);
  if (const auto sender = Endpoint::parse(envelope.sender())) {
    handle(*sender, envelope, now);
  }
  return flush(now);
}

void ControlPlane::handle(const Endpoint& sender, const PeerEnvelope& envelope, Moment now) {
  switch (envelope.body_case()) {
    case PeerEnvelope::kProbe:
      lease_.onHeartbeats(envelope.probe().voter_beats(), store_.voters(), now);
      apply(membership_.onProbe(sender, envelope.probe(), now));
      onPeerRevision(sender, envelope.probe().revision(), now);
      return;
    case PeerEnvelope::kProbeReply: {
      const bool isAwaitedReply = membership_.awaitsReply(envelope.probe_reply().sequence());
      lease_.onHeartbeats(envelope.probe_reply().voter_beats(), store_.voters(), now);
      apply(membership_.onReply(sender, envelope.probe_reply(), now));
      onPeerRevision(sender, envelope.probe_reply().revision(), now);
      // Only a reply to a probe sent since the pause confirms that the configuration is current.
      revalidating_ =
          revalidating_ && !(isAwaitedReply && envelope.probe_reply().revision() <= store_.revision());
      return;
    }
    default:
      break;
  }
  // The other messages are valid only within a cluster; a daemon without a configuration accepts any.
  const bool sameCluster =
      envelope.cluster() == 0 || store_.cluster() == 0 || envelope.cluster() == store_.cluster();
  if (sameCluster) {
    handleReservation(sender, envelope, now);
    handleAgreement(sender, envelope, now);
  }
}

void ControlPlane::handleReservation(const Endpoint& sender, const PeerEnvelope& envelope, Moment now) {
  const MemberTable& members = membership_.members();
  PeerEnvelope reply = newEnvelope();
  switch (envelope.body_case()) {
    case PeerEnvelope::kReserve:
      *reply.mutable_reserve_reply() =
          guard_.onReserve(envelope.reserve(), members, lease_.held(store_.voters(), now) && ready(), now);
      send(sender, std::move(reply));
      return;
    case PeerEnvelope::kReserveRelease:
      guard_.onRelease(envelope.reserve_release());
      return;
    case PeerEnvelope::kReservationsRequest:
      *reply.mutable_reservations_reply() = guard_.reservationsFor(sender, members, now);
      send(sender, std::move(reply));
      return;
    case PeerEnvelope::kReservationsReply:
      guard_.onReservations(sender, envelope.reservations_reply(), now);
      return;
    default:
      return;
  }
}

void ControlPlane::handleAgreement(const Endpoint& sender, const PeerEnvelope& envelope, Moment now) {
  PeerEnvelope reply = newEnvelope();
  switch (envelope.body_case()) {
    case PeerEnvelope::kChangesRequest:
      if (store_.revision() > envelope.changes_request().revision()) {
        *reply.mutable_changes_reply() = store_.changesSince(envelope.changes_request().revision());
        send(sender, std::move(reply));
      }
      return;
    case PeerEnvelope::kChangesReply:
      onChanges(envelope.changes_reply(), now);
      return;
    case PeerEnvelope::kPrepare:
      *reply.mutable_promise() = voter_.onPrepare(envelope.prepare());
      send(sender, std::move(reply));
      return;
    case PeerEnvelope::kAccept:
      *reply.mutable_accepted() = voter_.onAccept(envelope.accept(), now);
      send(sender, std::move(reply));
      return;
    case PeerEnvelope::kPromise:
      apply(proposer_.onPromise(sender, envelope.promise(), now), now);
      return;
    case PeerEnvelope::kAccepted:
      apply(proposer_.onAccepted(sender, envelope.accepted(), now), now);
      return;
    default:
      return;
  }
}

ControlActions ControlPlane::onTimer(Moment now) {
  detectPause(now);
  if (startedAt_ == Moment{}) {
    startedAt_ = now;
  }
  if (revalidating_ && now >= revalidateUntil_) {
    revalidating_ = false;
  }
  apply(membership_.onTimer(now));
  apply(proposer_.onTimer(now), now);
  resolveUndecided(now);
  lease_.onTimer(store_.voters(), now);
  for (const auto& member : guard_.onTimer(membership_.members(), now)) {
    PeerEnvelope envelope = newEnvelope();
    envelope.mutable_reservations_request();
    send(member, std::move(envelope));
  }
  if (now >= nextVoterCheckAt_) {
    nextVoterCheckAt_ = now + settings_.voterCheckPeriod;
    maybeBootstrapCluster(now);
    maintainVoterSet(now);
    completePendingProposal(now);
  }
  startNextRequest(now);
  return flush(now);
}

ControlActions ControlPlane::submit(ChangeRequest request, Moment now) {
  if (store_.revision() == 0) {
    report(request, ChangeOutcome::kNotReady);
  } else if (queuedRequests_.size() >= kMaxQueuedRequests) {
    report(request, ChangeOutcome::kNoMajority);
  } else {
    queuedRequests_.push_back(std::move(request));
    startNextRequest(now);
  }
  return flush(now);
}

bool ControlPlane::mayLeave() const {
  return membership_.servingCount() == 0 || !isVoter(store_.voters(), self_.process);
}

ControlActions ControlPlane::leave(Moment now) {
  apply(membership_.leave(now));
  return flush(now);
}

std::uint64_t ControlPlane::revisionOf(const Endpoint& address) const {
  if (address == selfAddress_) {
    return store_.revision();
  }
  const auto known = revisions_.find(address);
  return known == revisions_.end() ? 0 : known->second;
}

/// Detects a pause of the process, after which its queues hold stale messages that it must not act on.
void ControlPlane::detectPause(Moment now) {
  if (lastCallAt_ != Moment{} && now - lastCallAt_ > settings_.pauseThreshold) {
    ++pauses_;
    membership_.onPause(now);
    revalidating_ = true;
    revalidateUntil_ = now + kRevalidationLimit;
  }
  lastCallAt_ = now;
}

void ControlPlane::onPeerRevision(const Endpoint& sender, std::uint64_t revision, Moment now) {
  if (sender == selfAddress_) {
    return;
  }
  revisions_[sender] = revision;
  if (revision > store_.revision()) {
    requestChanges(sender, now);
  }
}

void ControlPlane::requestChanges(const Endpoint& peer, Moment now) {
  if (now - changesRequestedAt_ < kChangesRequestPeriod) {
    return;
  }
  changesRequestedAt_ = now;
  PeerEnvelope envelope = newEnvelope();
  envelope.mutable_changes_request()->set_revision(store_.revision());
  send(peer, std::move(envelope));
}

void ControlPlane::onChanges(const ChangesReply& reply, Moment now) {
  const std::uint64_t former = store_.revision();
  if (store_.adopt(reply)) {
    propagateChanges(former);
    resolveUndecided(now);
  }
}

/// Forwards the changes since `formerRevision` to a few random members. Members that did not have them
/// forward them in turn.
void ControlPlane::propagateChanges(std::uint64_t formerRevision) {
  if (formerRevision == 0) {
    return;
  }
  std::vector<Endpoint> serving;
  for (const auto& record : membership_.members().records()) {
    if (record.serving()) {
      serving.push_back(record.address);
    }
  }
  std::vector<Endpoint> chosen;
  std::sample(serving.begin(), serving.end(), std::back_inserter(chosen), settings_.changeFanout, random_);
  for (const auto& peer : chosen) {
    PeerEnvelope envelope = newEnvelope();
    *envelope.mutable_changes_reply() = store_.changesSince(formerRevision);
    send(peer, std::move(envelope));
  }
}

/// Proposes revision 1, with the platform's configuration, if this daemon is a bootstrap voter and its
/// staggered start time is reached.
void ControlPlane::maybeBootstrapCluster(Moment now) {
  if (store_.revision() != 0 || !platform_.configuration || !proposer_.idle()) {
    return;
  }
  const VoterSet voters = bootstrapVotersFor(platform_.daemons, settings_.voters);
  for (int turn = 0; turn < voters.voters_size(); ++turn) {
    const bool ourTurn = voters.voters(turn).address() == self_.process.address;
    if (ourTurn && now >= startedAt_ + kBootstrapStagger * (turn + 1)) {
      Proposal proposal;
      *proposal.mutable_change() = differenceBetween(Configuration(), *platform_.configuration);
      proposal.mutable_change()->set_revision(1);
      proposal.mutable_change()->set_id(self_.process.address + "#founding#" + std::to_string(nextChange_++));
      *proposal.mutable_voters() = selectVoters({}, membership_.members(), self_, settings_.voters);
      proposal.set_cluster(random_() | 1U);
      apply(proposer_.start(1, voters, std::move(proposal), now), now);
    }
  }
}

void ControlPlane::maintainVoterSet(Moment now) {
  if (store_.revision() == 0 || !proposer_.idle() || !ready()) {
    return;
  }
  const bool leavingVoter = self_.leaving && !mayLeave();
  if (!leavingVoter && !maintainsVoterSet(store_.voters(), membership_.members(), self_)) {
    return;
  }
  const VoterSet wanted = selectVoters(store_.voters(), membership_.members(), self_, settings_.voters);
  if (!sameVoters(wanted, store_.voters())) {
    propose(newProposal(ConfigurationChange()), now);
  }
}

/// Completes a proposal whose proposer may have crashed after voters accepted it.
void ControlPlane::completePendingProposal(Moment now) {
  const auto pendingProposalSince = voter_.pendingProposalSince();
  if (pendingProposalSince && now - *pendingProposalSince >= settings_.completionDelay && proposer_.idle() &&
      store_.revision() != 0) {
    propose(std::nullopt, now);
  }
}

void ControlPlane::startNextRequest(Moment now) {
  while (!queuedRequests_.empty() && proposer_.idle()) {
    ChangeRequest request = std::move(queuedRequests_.front());
    queuedRequests_.pop_front();
    if (request.baseRevision != 0 && request.baseRevision != store_.revision()) {
      report(request, ChangeOutcome::kConflict);
      continue;
    }
    Proposal proposal = newProposal(request.change);
    request.change = proposal.change();
    activeRequest_ = std::move(request);
    propose(std::move(proposal), now);
  }
}

Proposal ControlPlane::newProposal(const ConfigurationChange& change) {
  Proposal proposal;
  *proposal.mutable_change() = change;
  proposal.mutable_change()->set_revision(store_.revision() + 1);
  proposal.mutable_change()->set_id(self_.process.address + "#" + std::to_string(self_.process.incarnation) +
                                    "#" + std::to_string(nextChange_++));
  *proposal.mutable_voters() = selectVoters(store_.voters(), membership_.members(), self_, settings_.voters);
  proposal.set_cluster(store_.cluster());
  return proposal;
}

void ControlPlane::propose(std::optional<Proposal> own, Moment now) {
  apply(proposer_.start(store_.revision() + 1, store_.voters(), std::move(own), now), now);
}

void ControlPlane::apply(ProposerActions actions, Moment now) {
  for (auto& outgoing : actions.prepares) {
    PeerEnvelope envelope = newEnvelope();
    *envelope.mutable_prepare() = std::move(outgoing.prepare);
    send(outgoing.to, std::move(envelope));
  }
  for (auto& outgoing : actions.accepts) {
    PeerEnvelope envelope = newEnvelope();
    *envelope.mutable_accept() = std::move(outgoing.accept);
    send(outgoing.to, std::move(envelope));
  }
  for (const auto& peer : actions.laggingVoters) {
    PeerEnvelope envelope = newEnvelope();
    *envelope.mutable_changes_reply() = store_.changesSince(revisionOf(peer));
    send(peer, std::move(envelope));
  }
  if (actions.result) {
    endProposal(*actions.result, now);
  }
}

void ControlPlane::endProposal(const ProposalResult& result, Moment now) {
  const std::uint64_t former = store_.revision();
  const bool chosen =
      result.outcome == ProposalOutcome::kChosen || result.outcome == ProposalOutcome::kOtherChosen;
  if (chosen && store_.adopt(result.chosen)) {
    propagateChanges(former);
  }
  if (result.outcome == ProposalOutcome::kStaleRevision) {
    changesRequestedAt_ = {};
    requestChanges(result.upToDatePeer, now);
  }
  if (!activeRequest_) {
    return;
  }
  const ChangeRequest request = std::move(*activeRequest_);
  activeRequest_.reset();
  switch (result.outcome) {
    case ProposalOutcome::kChosen:
      report(request, ChangeOutcome::kAccepted);
      return;
    case ProposalOutcome::kOtherChosen:
      // A request without a base revision is retried on top of the other change.
      if (request.baseRevision == 0) {
        queuedRequests_.push_front(request);
      } else {
        report(request, ChangeOutcome::kConflict);
      }
      return;
    case ProposalOutcome::kStaleRevision:
      report(request, ChangeOutcome::kConflict);
      return;
    case ProposalOutcome::kNoMajority:
      report(request, ChangeOutcome::kNoMajority);
      return;
    case ProposalOutcome::kUndecided:
      undecided_.push_back(UndecidedRequest{request, request.change.revision(), now + kUndecidedTimeout});
      return;
  }
}

/// Reports undecided requests whose revision is now in the store, with this change or another one, and those
/// that timed out.
void ControlPlane::resolveUndecided(Moment now) {
  for (std::size_t position = 0; position < undecided_.size();) {
    const UndecidedRequest& undecided = undecided_[position];
    std::optional<ChangeOutcome> outcome;
    if (store_.revision() >= undecided.revision) {
      const ChangesReply later = store_.changesSince(undecided.revision - 1);
      const bool kept = later.changes_size() > 0 && later.changes(0).revision() == undecided.revision;
      const bool ours = kept && later.changes(0).id() == undecided.request.change.id();
      outcome =
          !kept ? ChangeOutcome::kUndecided : (ours ? ChangeOutcome::kAccepted : ChangeOutcome::kConflict);
    } else if (now >= undecided.until) {
      outcome = ChangeOutcome::kUndecided;
    }
    if (!outcome) {
      ++position;
      continue;
    }
    report(undecided.request, *outcome);
    undecided_.erase(undecided_.begin() + static_cast<std::ptrdiff_t>(position));
  }
}

void ControlPlane::report(const ChangeRequest& request, ChangeOutcome outcome) {
  results_.push_back(ChangeResult{request.token, outcome, store_.revision()});
}

PeerEnvelope ControlPlane::newEnvelope() const {
  PeerEnvelope envelope;
  envelope.set_sender(self_.process.address);
  envelope.set_incarnation(self_.process.incarnation);
  envelope.set_time_to_live_ms(kControlTimeToLiveMs);
  envelope.set_cluster(store_.cluster());
  return envelope;
}

void ControlPlane::send(const Endpoint& to, PeerEnvelope envelope) {
  outbox_.push_back(OutgoingEnvelope{to, std::move(envelope)});
}

void ControlPlane::apply(MembershipActions actions) {
  for (auto& outgoing : actions.probes) {
    PeerEnvelope envelope = newEnvelope();
    *envelope.mutable_probe() = std::move(outgoing.probe);
    envelope.mutable_probe()->set_revision(store_.revision());
    for (auto& beat : lease_.heartbeats(store_.voters())) {
      *envelope.mutable_probe()->add_voter_beats() = std::move(beat);
    }
    send(outgoing.to, std::move(envelope));
  }
  for (auto& outgoing : actions.replies) {
    PeerEnvelope envelope = newEnvelope();
    *envelope.mutable_probe_reply() = std::move(outgoing.reply);
    envelope.mutable_probe_reply()->set_revision(store_.revision());
    for (auto& beat : lease_.heartbeats(store_.voters())) {
      *envelope.mutable_probe_reply()->add_voter_beats() = std::move(beat);
    }
    send(outgoing.to, std::move(envelope));
  }
}

ControlActions ControlPlane::flush(Moment now) {
  ControlActions actions;
  while (!outbox_.empty()) {
    std::vector<OutgoingEnvelope> batch;
    batch.swap(outbox_);
    for (auto& outgoing : batch) {
      // Replies to reservations are handled by the caller, also those from this daemon itself.
      if (outgoing.to == selfAddress_ && !outgoing.envelope.has_reserve_reply()) {
        handle(selfAddress_, outgoing.envelope, now);
      } else {
        actions.messages.push_back(std::move(outgoing));
      }
    }
  }
  actions.results.swap(results_);
  return actions;
}

}  // namespace oakpier
