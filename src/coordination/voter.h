#pragma once

/// Acceptor role of the agreement on configuration revisions: single-decree Paxos, one instance per revision.
///
/// Invariants:
///  - never accepts a ballot below the one it has promised;
///  - grants only for the revision after the one in its store, and only when the voter set in effect there
///    (for revision 1, the voter set from the platform's list of daemons, which must equal the proposer's)
///    contains this process;
///  - its state is in memory only, so a restarted process, having a new incarnation, counts as a different
///    voter.

#include <optional>

#include "oakpier/peer.pb.h"
#include "state/configuration_store.h"
#include "state/time.h"

namespace oakpier {

/// Identifies one run of a daemon: its peer address as text and its incarnation.
struct ProcessId {
  std::string address;
  std::uint64_t incarnation = 0;
};

/// Whether `voters` contains `process`. An incarnation of 0 in the set matches any process at that address.
bool isVoter(const VoterSet& voters, const ProcessId& process);

class ConfigurationVoter {
 public:
  ConfigurationVoter(ProcessId self, const ConfigurationStore& store)
      : self_(std::move(self)), store_(store) {}

  /// Sets the voters that decide revision 1, when no accepted configuration exists yet.
  void setBootstrapVoters(const VoterSet& voters) { bootstrapVoters_ = voters; }

  Promise onPrepare(const Prepare& prepare);
  Accepted onAccept(const Accept& accept, Moment now);

  /// When this voter accepted a proposal that it does not yet know to be chosen, if there is one. Its
  /// proposer may have crashed.
  std::optional<Moment> pendingProposalSince() const;

 private:
  /// Discards the state of the previous instance once its revision is in the store.
  void startInstance();
  bool mayVoteOn(std::uint64_t revision) const;

  ProcessId self_;
  const ConfigurationStore& store_;
  VoterSet bootstrapVoters_;
  std::uint64_t instance_ = 0;
  Ballot promised_;
  Ballot acceptedBallot_;
  std::optional<Proposal> accepted_;
  Moment acceptedAt_{};
};

}  // namespace oakpier
