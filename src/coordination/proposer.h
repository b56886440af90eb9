#pragma once

/// The proposer's part of the agreement on the next revision. Any daemon may propose; the voters decide.
///
///   kIdle --start--> kPreparing --majority promised--> kAccepting --majority accepted--> ended
///                        ^                                |
///                        +------ a higher ballot: wait, try a higher round ----+

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oakpier/peer.pb.h"
#include "state/endpoint.h"
#include "state/random.h"
#include "state/time.h"

namespace oakpier {

/// How one attempt to decide a revision ended.
enum class ProposalEnd {
  /// The own proposal was chosen.
  kChosen,
  /// Another proposal was found and chosen; the own one did not take effect.
  kOtherChosen,
  /// A voter holds this revision already; the own proposal did not take effect.
  kBehind,
  /// No majority was reached, and the own proposal was sent to no voter.
  kNoMajority,
  /// No majority was reached in time; the own proposal may yet be chosen by a later proposer.
  kUndecided,
};

struct ProposalResult {
  ProposalEnd end = ProposalEnd::kNoMajority;
  /// What was chosen, with kChosen and kOtherChosen.
  Proposal chosen;
  /// With kBehind: a daemon that can be asked for the changes.
  Endpoint ahead;
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
  /// Voters that must learn earlier changes first.
  std::vector<Endpoint> behind;
  std::optional<ProposalResult> ended;
};

class Proposer {
 public:
  /// `name` is unique over processes and restarts.
  Proposer(std::string name, RandomEngine random) : name_(std::move(name)), random_(random) {}

  bool idle() const { return phase_ == Phase::kIdle; }

  /// Begins to decide `revision`. Without an own proposal only what voters already accepted is completed.
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
  ProposerActions end(ProposalEnd end, const Endpoint& ahead = {});
  bool concernsUs(std::uint64_t revision, const Ballot& ballot) const;
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
