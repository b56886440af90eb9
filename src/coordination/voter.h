#pragma once

/// The voter's part of the agreement on the next revision (single-decree Paxos, one instance a revision).
///
/// Invariants: never accepts below its promise; grants only for the revision after the one it holds, and only
/// when the accepted voter set names this very process; state lives as long as the process, which is why a
/// restarted process is another voter.

#include <optional>

#include "oakpier/peer.pb.h"
#include "state/configuration_store.h"
#include "state/time.h"

namespace oakpier {

/// A daemon process: its peer address as text and its incarnation.
struct ProcessId {
  std::string address;
  std::uint64_t incarnation = 0;
};

/// Whether `voters` names this process. An incarnation of 0 in the set stands for any process at the address.
bool isVoter(const VoterSet& voters, const ProcessId& process);

class ConfigurationVoter {
 public:
  ConfigurationVoter(ProcessId self, const ConfigurationStore& store)
      : self_(std::move(self)), store_(store) {}

  /// Who this daemon takes for the voters of revision 1.
  void setFirstVoters(const VoterSet& voters) { firstVoters_ = voters; }

  Promise onPrepare(const Prepare& prepare);
  Accepted onAccept(const Accept& accept, Moment now);

  /// Since when a proposal was accepted here that was not heard to be chosen; its proposer may have died.
  std::optional<Moment> openSince() const;

 private:
  /// Forgets the instance of a revision that is settled.
  void startInstance();
  bool mayVoteOn(std::uint64_t revision) const;

  ProcessId self_;
  const ConfigurationStore& store_;
  VoterSet firstVoters_;
  std::uint64_t instance_ = 0;
  Ballot promised_;
  Ballot acceptedBallot_;
  std::optional<Proposal> accepted_;
  Moment acceptedAt_{};
};

}  // namespace oakpier
