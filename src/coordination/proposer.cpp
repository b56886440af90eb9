#include "coordination/proposer.h"

#include <algorithm>

#include "coordination/ballot.h"

namespace oakpier {

namespace {

constexpr Duration kProposalTimeout = std::chrono::seconds(4);
/// Without a majority within this period the proposal is prepared again with a higher round.
constexpr Duration kResendPeriod = std::chrono::milliseconds(300);
constexpr std::int64_t kMaxBackoffUs = 200'000;

}  // namespace

ProposerActions Proposer::start(std::uint64_t revision, const VoterSet& voters, std::optional<Proposal> own,
                                Moment now) {
  revision_ = revision;
  voters_ = voters;
  own_ = std::move(own);
  ownWasSent_ = false;
  deadline_ = now + kProposalTimeout;
  return prepare(now);
}

ProposerActions Proposer::prepare(Moment now) {
  phase_ = Phase::kPreparing;
  granted_.clear();
  found_.reset();
  foundBallot_.Clear();
  ballot_.set_round(ballot_.round() + 1);
  ballot_.set_proposer(name_);
  resendAt_ = now + kResendPeriod;
  ProposerActions actions;
  for (const auto& voter : voters_.voters()) {
    OutgoingPrepare outgoing{Endpoint::parse(voter.address()).value_or(Endpoint()), {}};
    outgoing.prepare.set_revision(revision_);
    *outgoing.prepare.mutable_ballot() = ballot_;
    if (revision_ == 1) {
      *outgoing.prepare.mutable_first_voters() = voters_;
    }
    actions.prepares.push_back(std::move(outgoing));
  }
  return actions;
}

ProposerActions Proposer::onPromise(const Endpoint& sender, const Promise& promise, Moment now) {
  ProposerActions actions;
  if (phase_ != Phase::kPreparing || !matchesCurrentBallot(promise.revision(), promise.ballot())) {
    return actions;
  }
  if (promise.known_revision() >= revision_) {
    return end(ProposalOutcome::kStaleRevision, sender);
  }
  if (!promise.granted()) {
    if (promise.known_revision() + 1 < revision_) {
      actions.laggingVoters.push_back(sender);
    } else if (precedes(ballot_, promise.promised())) {
      return backOff(promise.promised(), now);
    }
    return actions;
  }
  if (promise.has_accepted() && (!found_ || precedes(foundBallot_, promise.accepted_ballot()))) {
    found_ = promise.accepted();
    foundBallot_ = promise.accepted_ballot();
  }
  granted_.insert(sender);
  return majority(granted_.size()) ? accept(now) : actions;
}

ProposerActions Proposer::accept(Moment now) {
  const std::optional<Proposal>& value = found_ ? found_ : own_;
  if (!value) {
    return end(ProposalOutcome::kNoMajority);
  }
  phase_ = Phase::kAccepting;
  granted_.clear();
  ownWasSent_ = ownWasSent_ || !found_ || (own_ && found_->change().id() == own_->change().id());
  resendAt_ = now + kResendPeriod;
  ProposerActions actions;
  for (const auto& voter : voters_.voters()) {
    OutgoingAccept outgoing{Endpoint::parse(voter.address()).value_or(Endpoint()), {}};
    outgoing.accept.set_revision(revision_);
    *outgoing.accept.mutable_ballot() = ballot_;
    *outgoing.accept.mutable_proposal() = *value;
    actions.accepts.push_back(std::move(outgoing));
  }
  return actions;
}

ProposerActions Proposer::onAccepted(const Endpoint& sender, const Accepted& accepted, Moment now) {
  ProposerActions actions;
  if (phase_ != Phase::kAccepting || !matchesCurrentBallot(accepted.revision(), accepted.ballot())) {
    return actions;
  }
  if (accepted.known_revision() >= revision_) {
    return end(ProposalOutcome::kStaleRevision, sender);
  }
  if (!accepted.granted()) {
    return precedes(ballot_, accepted.promised()) ? backOff(accepted.promised(), now) : actions;
  }
  granted_.insert(sender);
  if (!majority(granted_.size())) {
    return actions;
  }
  const bool ownChosen = own_ && (!found_ || found_->change().id() == own_->change().id());
  return end(ownChosen ? ProposalOutcome::kChosen : ProposalOutcome::kOtherChosen);
}

ProposerActions Proposer::onTimer(Moment now) {
  if (phase_ == Phase::kIdle) {
    return {};
  }
  if (now >= deadline_) {
    return end(ownWasSent_ ? ProposalOutcome::kUndecided : ProposalOutcome::kNoMajority);
  }
  return now >= resendAt_ ? prepare(now) : ProposerActions{};
}

/// Another proposer uses a higher ballot: waits a random time, so that one of them can finish, then prepares
/// with a higher round.
ProposerActions Proposer::backOff(const Ballot& promised, Moment now) {
  phase_ = Phase::kWaiting;
  ballot_.set_round(std::max(ballot_.round(), promised.round()));
  resendAt_ = now + Duration(std::uniform_int_distribution<std::int64_t>(1'000, kMaxBackoffUs)(random_));
  return {};
}

ProposerActions Proposer::end(ProposalOutcome outcome, const Endpoint& upToDatePeer) {
  ProposerActions actions;
  ProposalResult result;
  result.outcome = outcome;
  result.upToDatePeer = upToDatePeer;
  // The revision that the voter has may contain this daemon's proposal if that was sent to any voter.
  if (outcome == ProposalOutcome::kStaleRevision && ownWasSent_) {
    result.outcome = ProposalOutcome::kUndecided;
  }
  const std::optional<Proposal>& value = found_ ? found_ : own_;
  if (value) {
    result.chosen = *value;
  }
  actions.result = std::move(result);
  phase_ = Phase::kIdle;
  return actions;
}

bool Proposer::matchesCurrentBallot(std::uint64_t revision, const Ballot& ballot) const {
  return revision == revision_ && sameBallot(ballot, ballot_);
}

}  // namespace oakpier
