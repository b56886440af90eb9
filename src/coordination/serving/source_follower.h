#pragma once

/// Keeps what a daemon believes up to date from its own calls to the configuration source and from other
/// daemons' news. The whole decision side of the control thread; answers, news and time go in, calls and
/// messages come out.
///
/// Invariant: a record that the source has held unchanged since a place in its history up to `known` is
/// believed, and one that it removed by then is not believed for longer than the removal delay. When the
/// source comes back from a copy, what it has lost is believed on until it is written again or that is
/// overdue (see `ServingKnowledge`); a version of the configuration is never given up for an older one.

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/serving/configuration_prover.h"
#include "coordination/serving/epoch_watch.h"
#include "coordination/serving/peer_recovery.h"
#include "coordination/serving/reader_election.h"
#include "coordination/serving/serving_knowledge.h"
#include "coordination/serving/source_notices.h"
#include "coordination/serving/source_reader.h"
#include "coordination/serving/source_relay.h"
#include "state/serving/source_position.h"

namespace oakpier::serving {

struct FollowerSettings {
  SourceReaderSettings reader;
  KnowledgeSettings knowledge;
  ReaderElectionSettings election;
  PeerRecoverySettings recovery;
  ProverSettings prover;
};

struct FollowerActions {
  std::vector<OutgoingNews> news;
  /// Ask this daemon for everything after what is known here.
  std::optional<Endpoint> ask;
  /// Records and configurations that were refused, in plain words; of many leafs' entries some.
  std::vector<std::string> problems;
  /// The connection to the source may lead to a copy of it that is outdated: the next call opens another.
  bool reconnect = false;
  std::vector<SourceNotice> notices;
  ProofActions proofs;
};

struct FollowerCounters {
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::uint64_t newsAccepted = 0;
  std::uint64_t newsAsked = 0;
  std::uint64_t configurationsRefused = 0;
  /// Records that were read or heard and cannot be used; each time that they came.
  std::uint64_t unusableRecords = 0;
  /// Entries that told of another life of a leaf than the one that was known.
  std::uint64_t leafsBornAgain = 0;
  /// Listings that were older than what was known.
  std::uint64_t listingsOutdated = 0;
  EpochCounters epochs;
  /// Everything that the source held there is known.
  SourcePosition known;
  ProofCounters proofs;
};

class SourceFollower {
 public:
  using Interpreter = std::function<SourceStatement(const SourceRecord&)>;

  SourceFollower(const Endpoint& self, const FollowerSettings& settings, Interpreter interpret,
                 RandomEngine random);

  /// `seeds`: daemons to learn from first; this one may be among them. Without this call the source is listed
  /// at once.
  void start(const std::vector<Endpoint>& seeds, Moment now);
  /// A caller had to be refused for want of a configuration: the source is listed at once, as an answer of
  /// another daemon may take longer than callers wait.
  void onStateWanted(Moment now);
  /// The call to make now, if one is due.
  std::optional<SourceCall> takeCall(Moment now);
  FollowerActions onAnswer(const SourceCall& call, const SourceAnswer& answer, Moment now);
  FollowerActions onNews(const Endpoint& sender, const SourceNews& news, Moment now);
  /// What a daemon that asked is to be told; empty while nothing is known, or when it is to ask another one.
  std::optional<OutgoingNews> onNewsRequest(const Endpoint& sender, const SourceNewsRequest& request,
                                            Moment now);
  FollowerActions onProofRequest(const Endpoint& sender, const ConfigurationProofRequest& request,
                                 Moment now);
  FollowerActions onProofReply(const Endpoint& sender, const ConfigurationProofReply& reply, Moment now);
  FollowerActions onTimer(Moment now);
  /// When `onTimer` or `takeCall` has something to do.
  Moment nextDueAt() const;
  /// Serving daemons.
  void setMembers(const DaemonOrder& members);

  /// The newest view if it has changed since the last call; else null.
  std::shared_ptr<const ServingView> takeChangedView() { return knowledge_.takeChangedView(known()); }
  bool complete() const { return knowledge_.complete(); }
  std::uint64_t configurationVersion() const { return knowledge_.configurationVersion(); }
  std::size_t leafCount() const { return knowledge_.leafCount(); }
  std::set<std::string> leafIds() const { return knowledge_.leafIds(); }
  std::vector<std::string> evacuatedZones() const { return knowledge_.evacuatedZones(); }
  /// Everything that the source held there is known; revision 0 while nothing is.
  const SourcePosition& known() const { return reader_.known(); }
  /// The source has not answered this daemon's last calls.
  bool sourceLost() const { return reader_.failuresInRow() > 0; }
  std::size_t place() const { return election_.place(); }
  const ConfigurationProof& proof() const { return prover_.proof(); }
  /// The proof is within its bound.
  bool proofHolds() const { return prover_.holds(); }
  void setProver(const ProverSettings& settings) { prover_.setSettings(settings); }
  FollowerCounters counters() const;

 private:
  /// What the answer tells of the epoch, with a notice when that is not what was told before.
  EpochVerdict judgeEpoch(const ToldEpoch& told, FollowerActions& actions);
  /// `restored`: it came with a newer epoch.
  void onFailure(SourceFailure failure, bool restored, Moment now, FollowerActions& actions);
  void onPage(const SourceCall& call, const SourcePage& page, std::uint64_t epoch, Moment now,
              FollowerActions& actions);
  void onListingPage(const SourceCall& call, const SourcePage& page, std::uint64_t epoch, Moment now,
                     FollowerActions& actions);
  void onListingComplete(const SourcePosition& knownBefore, Moment now, FollowerActions& actions);
  /// The source has come back from a copy, as an answer tells that does not continue what was asked for.
  void onSourceBack(Moment now);
  /// The last record of each key, as of `epoch`.
  static std::vector<SourceRecord> newestOf(const std::vector<SourceRecord>& records, std::uint64_t epoch);
  /// Records that are all that the source held at `position`; everything up to `before` was known.
  void takeOverListing(const std::vector<SourceRecord>& records, const SourcePosition& position,
                       const SourcePosition& before, Moment now, FollowerActions& actions);
  /// The first listing of an epoch is taken over next.
  void beginEpoch(const SourcePosition& position, const SourcePosition& before, Moment now);
  void takeOver(const std::vector<SourceRecord>& records, Moment now, FollowerActions& actions);
  /// What the records of a listing name; what they do not name is gone.
  struct ListedNames {
    std::vector<std::string> leafs;
    std::set<std::string> evacuatedZones;
  };
  /// Adds what the record lists to `listed`.
  void takeOver(const SourceRecord& record, Moment now, FollowerActions& actions, ListedNames& listed);
  /// The record may be passed on: it is not of an older configuration than the one in force.
  bool keepsUp(const SourceStatement& statement) const;
  void takeOverNews(const SourceNews& news, Moment now, FollowerActions& actions);
  void takeOverUnusable(const UnusableLeaf& leaf, const SourcePosition& position, FollowerActions& actions);
  void takeOverConfiguration(ServingConfiguration configuration, const SourceRecord& record,
                             FollowerActions& actions);
  void onChanges(const SourceCall& call, const SourcePage& page, Moment now, FollowerActions& actions);
  /// Unless this daemon is the one that reads, its next call waits for overdue news.
  void leaveReadingToOthers(Moment freshAt, Moment now);

  Interpreter interpret_;
  RandomEngine random_;
  SourceReader reader_;
  ReaderElection election_;
  PeerRecovery recovery_;
  ServingKnowledge knowledge_;
  SourceRelay relay_;
  ConfigurationProver prover_;
  EpochWatch epochs_;
  /// On the answer before, whether it was told or not.
  EpochNotice lastNotice_;
  /// Of the call in progress.
  Moment callSentAt_{};
  /// Of the first page of the listing in progress.
  Moment listingSentAt_{};
  /// The call in progress was made for this daemon's own proof only; another reads for all.
  bool readsForItself_ = false;
  /// The listing in progress; it is taken over when it is whole.
  std::vector<SourceRecord> listing_;
  SourcePosition listingPosition_;
  /// As of which the known epoch was first taken over.
  SourcePosition epochBegan_;
  /// Of the record that gave the configuration in force; empty while none is.
  std::string configurationKey_;
  Duration writtenAgainWithin_;
  FollowerCounters counters_;
};

}  // namespace oakpier::serving
