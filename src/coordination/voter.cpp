#include "coordination/voter.h"

#include <algorithm>

#include "coordination/ballot.h"

namespace oakpier {

namespace {

bool sameAddresses(const VoterSet& left, const VoterSet& right) {
  return std::equal(left.voters().begin(), left.voters().end(), right.voters().begin(), right.voters().end(),
                    [](const Voter& one, const Voter& other) { return one.address() == other.address(); });
}

}  // namespace

bool isVoter(const VoterSet& voters, const ProcessId& process) {
  return std::any_of(voters.voters().begin(), voters.voters().end(), [&](const Voter& voter) {
    const bool anyProcess = voter.incarnation() == 0;
    return voter.address() == process.address && (anyProcess || voter.incarnation() == process.incarnation);
  });
}

Promise ConfigurationVoter::onPrepare(const Prepare& prepare) {
  startInstance();
  Promise promise;
  promise.set_revision(prepare.revision());
  *promise.mutable_ballot() = prepare.ballot();
  promise.set_known_revision(store_.revision());
  const bool sameStart = store_.revision() != 0 || sameAddresses(prepare.first_voters(), bootstrapVoters_);
  if (mayVoteOn(prepare.revision()) && sameStart && precedes(promised_, prepare.ballot())) {
    promised_ = prepare.ballot();
    promise.set_granted(true);
    if (accepted_) {
      *promise.mutable_accepted_ballot() = acceptedBallot_;
      *promise.mutable_accepted() = *accepted_;
    }
  }
  *promise.mutable_promised() = promised_;
  return promise;
}

Accepted ConfigurationVoter::onAccept(const Accept& accept, Moment now) {
  startInstance();
  Accepted reply;
  reply.set_revision(accept.revision());
  *reply.mutable_ballot() = accept.ballot();
  reply.set_known_revision(store_.revision());
  if (mayVoteOn(accept.revision()) && !precedes(accept.ballot(), promised_)) {
    promised_ = accept.ballot();
    acceptedBallot_ = accept.ballot();
    accepted_ = accept.proposal();
    acceptedAt_ = now;
    reply.set_granted(true);
  }
  *reply.mutable_promised() = promised_;
  return reply;
}

std::optional<Moment> ConfigurationVoter::pendingProposalSince() const {
  const bool open = accepted_ && instance_ == store_.revision() + 1;
  return open ? std::optional<Moment>(acceptedAt_) : std::nullopt;
}

void ConfigurationVoter::startInstance() {
  if (instance_ != store_.revision() + 1) {
    instance_ = store_.revision() + 1;
    promised_.Clear();
    acceptedBallot_.Clear();
    accepted_.reset();
  }
}

bool ConfigurationVoter::mayVoteOn(std::uint64_t revision) const {
  const VoterSet& voters = store_.revision() == 0 ? bootstrapVoters_ : store_.voters();
  return revision == instance_ && isVoter(voters, self_);
}

}  // namespace oakpier
