#pragma once

/// Keeps this daemon's copy of the configuration source's records up to date, from its own calls to the
/// source and from updates of peers. It makes all decisions of the control thread and does no I/O: answers,
/// updates and the time go in, calls and messages come out. Not thread-safe.
///
/// Invariants: a record that the source has held unchanged since a position up to `known` is in effect here;
/// one that it deleted by then is in effect no longer than the removal delay. When the source is restored
/// from a backup, what the backup lacks stays in effect until it is rewritten or the time to do so is over
/// (see `ServingState`). The configuration version never decreases.

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/serving/configuration_prover.h"
#include "coordination/serving/epoch_classifier.h"
#include "coordination/serving/peer_bootstrap.h"
#include "coordination/serving/reader_election.h"
#include "coordination/serving/serving_state.h"
#include "coordination/serving/source_notices.h"
#include "coordination/serving/source_reader.h"
#include "coordination/serving/source_relay.h"
#include "state/serving/source_position.h"

namespace oakpier::serving {

struct FollowerSettings {
  SourceReaderSettings reader;
  ServingStateSettings state;
  ReaderElectionSettings election;
  PeerBootstrapSettings bootstrap;
  ProverSettings prover;
};

struct FollowerActions {
  std::vector<OutgoingUpdate> updates;
  /// The peer to request all records after the known position from.
  std::optional<Endpoint> requestFrom;
  /// Reasons why records and configurations were rejected. Limited in number for the records of leafs.
  std::vector<std::string> errors;
  /// The connection may lead to an outdated replica of the source: the next call opens a new one.
  bool reconnect = false;
  std::vector<SourceNotice> notices;
  ProofActions proofs;
};

struct FollowerCounters {
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::uint64_t updatesAccepted = 0;
  std::uint64_t updatesRequested = 0;
  std::uint64_t configurationsRefused = 0;
  /// Received records that cannot be used; a record counts each time that it is received.
  std::uint64_t unusableRecords = 0;
  /// Leaf entries of another incarnation than the known one.
  std::uint64_t leafsRestarted = 0;
  /// Listings that were older than the known position.
  std::uint64_t staleListings = 0;
  EpochCounters epochs;
  /// All records of the source up to this position are known.
  SourcePosition known;
  ProofCounters proofs;
};

class SourceFollower {
 public:
  using Interpreter = std::function<SourceStatement(const SourceRecord&)>;

  SourceFollower(const Endpoint& self, const FollowerSettings& settings, Interpreter interpret,
                 RandomEngine random);

  /// `seeds`: the peers to request the state from first; may contain this daemon. Without this call the
  /// source is listed immediately.
  void start(const std::vector<Endpoint>& seeds, Moment now);
  /// A request was refused because no configuration is known. Unless this daemon has already called the
  /// source, it lists it immediately: a reply of a peer may take longer than callers wait.
  void onConfigurationNeeded(Moment now);
  /// The call to make now, if one is due.
  std::optional<SourceCall> takeCall(Moment now);
  FollowerActions onAnswer(const SourceCall& call, const SourceAnswer& answer, Moment now);
  FollowerActions onUpdate(const Endpoint& sender, const SourceNews& update, Moment now);
  /// The reply to a peer that requests the records it lacks. Empty while none are known here or the requester
  /// knows a newer epoch: the reply is then deferred until that changes. Also empty when too many complete
  /// states were sent just now.
  std::optional<OutgoingUpdate> onUpdateRequest(const Endpoint& sender, const SourceNewsRequest& request,
                                                Moment now);
  FollowerActions onProofRequest(const Endpoint& sender, const ConfigurationProofRequest& request,
                                 Moment now);
  FollowerActions onProofReply(const Endpoint& sender, const ConfigurationProofReply& reply, Moment now);
  FollowerActions onTimer(Moment now);
  /// When `onTimer` or `takeCall` next has something to do.
  Moment nextDueAt() const;
  /// `members`: serving daemons, including this one.
  void setMembers(const DaemonOrder& members);

  /// The current view if it has changed since the last call; else null.
  std::shared_ptr<const ServingView> takeChangedView() { return state_.takeChangedView(known()); }
  bool complete() const { return state_.complete(); }
  std::uint64_t configurationVersion() const { return state_.configurationVersion(); }
  std::size_t leafCount() const { return state_.leafCount(); }
  std::set<std::string> leafIds() const { return state_.leafIds(); }
  std::vector<std::string> evacuatedZones() const { return state_.evacuatedZones(); }
  /// All records of the source up to this position are known; revision 0 while none are.
  const SourcePosition& known() const { return reader_.known(); }
  /// This daemon's last call to the source failed.
  bool sourceLost() const { return reader_.consecutiveFailures() > 0; }
  std::size_t rank() const { return election_.rank(); }
  /// When the source last confirmed what is known here, to this daemon or to the reader.
  Moment confirmedAt() const { return relay_.confirmedAt(); }
  /// The call in progress, or the last one, was made because the updates of the reader are overdue, or
  /// because this daemon has become the first in order.
  bool callTakesOver() const { return callTakesOver_; }
  /// When the next call is due; `kNever` while one is in progress.
  Moment nextCallAt() const { return reader_.nextCallAt(); }
  const ConfigurationProof& proof() const { return prover_.proof(); }
  /// The freshness proof is younger than its bound.
  bool proofHolds() const { return prover_.holds(); }
  void setProver(const ProverSettings& settings) { prover_.setSettings(settings); }
  FollowerCounters counters() const;

 private:
  /// Compares an answer's epoch with the known one. Adds a notice unless it is the expected one or equals
  /// that of the previous answer.
  EpochVerdict classifyEpoch(const ReportedEpoch& reported, FollowerActions& actions);
  /// `restored`: the answer reported a newer epoch.
  void onFailure(SourceFailure failure, bool restored, Moment now, FollowerActions& actions);
  void onPage(const SourceCall& call, const SourcePage& page, std::uint64_t epoch, Moment now,
              FollowerActions& actions);
  void onListingPage(const SourceCall& call, const SourcePage& page, std::uint64_t epoch, Moment now,
                     FollowerActions& actions);
  void onListingComplete(const SourcePosition& knownBefore, Moment now, FollowerActions& actions);
  /// An answer reports a newer epoch and does not continue the call: the source was restored from a backup.
  void onSourceRestored(Moment now);
  /// Applies a complete listing as of `position`. `before` is the known position until then.
  void applyListing(const std::vector<SourceRecord>& records, const SourcePosition& position,
                    const SourcePosition& before, Moment now, FollowerActions& actions);
  /// Prepares for the first listing of a newer epoch.
  void beginEpoch(const SourcePosition& position, const SourcePosition& before, Moment now);
  void applyRecords(const std::vector<SourceRecord>& records, Moment now, FollowerActions& actions);
  /// What a complete listing contains; everything else is deleted.
  struct ListedNames {
    std::vector<std::string> leafs;
    std::set<std::string> evacuatedZones;
  };
  /// Adds what the record names to `listed`.
  void applyRecord(const SourceRecord& record, Moment now, FollowerActions& actions, ListedNames& listed);
  /// The record may be stored for replies to peers: it is not an older configuration than the one in effect.
  bool isNotSuperseded(const SourceStatement& statement) const;
  void applyUpdate(const SourceNews& update, Moment now, FollowerActions& actions);
  void applyUnusableLeaf(const UnusableLeaf& leaf, const SourcePosition& position, FollowerActions& actions);
  void applyConfiguration(ServingConfiguration configuration, const SourceRecord& record,
                          FollowerActions& actions);
  void onChanges(const SourceCall& call, const SourcePage& page, Moment now, FollowerActions& actions);
  /// Changes that are not known here were made after this moment; `kNever` if this daemon found the source
  /// unavailable since, or waits for an overdue answer.
  Moment unknownChangesAfter(Moment now) const;
  /// Unless this daemon is the reader, postpones its next call until the reader's next update is overdue.
  /// `confirmedAt`: when the reader last read.
  void deferToReader(Moment confirmedAt, Moment now);

  Interpreter interpret_;
  RandomEngine random_;
  SourceReader reader_;
  ReaderElection election_;
  PeerBootstrap bootstrap_;
  ServingState state_;
  SourceRelay relay_;
  ConfigurationProver prover_;
  EpochClassifier epochClassifier_;
  /// Of the previous answer, whether it was reported or not.
  EpochNotice lastNotice_;
  /// When the call in progress was made.
  Moment callSentAt_{};
  /// When the first page of the listing in progress was requested.
  Moment listingSentAt_{};
  /// The call in progress only renews this daemon's freshness proof; another daemon is the reader.
  bool readsForOwnProof_ = false;
  bool callTakesOver_ = false;
  /// When a call last got no answer, or the answer that the source is unavailable.
  Moment unavailableAt_ = Moment::min();
  /// The answer to the last call is overdue from then on.
  Moment answerDueAt_{};
  /// Records of the listing in progress, applied when it is complete.
  std::vector<SourceRecord> listing_;
  SourcePosition listingPosition_;
  /// The position of the first listing that was applied in the known epoch.
  SourcePosition epochStart_;
  /// Key of the record that holds the configuration in effect; empty while there is none.
  std::string configurationKey_;
  Duration rewriteWindow_;
  FollowerCounters counters_;
};

}  // namespace oakpier::serving
