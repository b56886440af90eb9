#pragma once

/// Proposer role of the agreement on configuration revisions (see voter.h). Any daemon may propose.
///
///   kIdle --start--> kPreparing --majority promised--> kAccepting --majority accepted--> kIdle
///   kPreparing, kAccepting --higher ballot seen--> kWaiting --random backoff, higher round--> kPreparing
///   kPreparing, kAccepting --no majority in time--> kPreparing, with a higher round
///
/// A proposal also returns to kIdle when a voter already has the revision or when the proposal times out.

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oakpier/peer.pb.h"
#include "state/endpoint.h"
#include "state/random.h"
#include "state/time.h"

namespace oakpier {

/// Outcome of one proposal.
enum class ProposalOutcome {
  /// This daemon's proposal was chosen.
  kChosen,
  /// A proposal that voters had accepted earlier was chosen instead; this daemon's proposal has no effect.
  kOtherChosen,
  /// The revision was already decided; this daemon's proposal has no effect.
  kStaleRevision,
  /// No majority answered, or there was no accepted proposal to complete. This daemon's proposal was sent to
  /// no voter, so it has no effect.
  kNoMajority,
  /// This daemon's proposal was sent to voters but is not known to be chosen; a later proposer may complete
  /// it.
  kUndecided,
};

struct ProposalResult {
  ProposalOutcome outcome = ProposalOutcome::kNoMajority;
  /// The chosen proposal. Valid with kChosen and kOtherChosen.
  Proposal chosen;
  /// With kStaleRevision: a voter that has the decided revision.
  Endpoint upToDatePeer;
};

struct OutgoingPrepare {
  Endpoint to;
  Prepare prepare;
};

struct OutgoingAccept {
  Endpoint to;
  Accept accept;
};

struct ProposerActions {
  std::vector<OutgoingPrepare> prepares;
  std::vector<OutgoingAccept> accepts;
  /// Voters that need earlier changes before they can vote on this revision.
  std::vector<Endpoint> laggingVoters;
  std::optional<ProposalResult> result;
};

class Proposer {
 public:
  /// `name` must be unique across daemons and their restarts: it makes ballots unique.
  Proposer(std::string name, RandomEngine random) : name_(std::move(name)), random_(random) {}

  bool idle() const { return phase_ == Phase::kIdle; }

  /// Starts a proposal for `revision`. Without `own` it only completes a proposal that voters have already
  /// accepted.
  ProposerActions start(std::uint64_t revision, const VoterSet& voters, std::optional<Proposal> own,
                        Moment now);
  ProposerActions onPromise(const Endpoint& sender, const Promise& promise, Moment now);
  ProposerActions onAccepted(const Endpoint& sender, const Accepted& accepted, Moment now);
  ProposerActions onTimer(Moment now);

 private:
  enum class Phase { kIdle, kPreparing, kAccepting, kWaiting };

  ProposerActions prepare(Moment now);
  ProposerActions accept(Moment now);
  ProposerActions backOff(const Ballot& promised, Moment now);
  ProposerActions end(ProposalOutcome outcome, const Endpoint& upToDatePeer = {});
  bool matchesCurrentBallot(std::uint64_t revision, const Ballot& ballot) const;
  bool majority(std::size_t count) const {
    return 2 * count > static_cast<std::size_t>(voters_.voters_size());
  }

  std::string name_;
  RandomEngine random_;
  Phase phase_ = Phase::kIdle;
  std::uint64_t revision_ = 0;
  VoterSet voters_;
  std::optional<Proposal> own_;
  std::optional<Proposal> found_;
  Ballot foundBallot_;
  Ballot ballot_;
  std::set<Endpoint> granted_;
  bool ownWasSent_ = false;
  Moment deadline_{};
  Moment resendAt_{};
};

}  // namespace oakpier
