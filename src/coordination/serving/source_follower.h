#pragma once

/// Keeps what a daemon believes up to date from its own calls to the configuration source and from other
/// daemons' news. The whole decision side of the control thread; answers, news and time go in, calls and
/// messages come out.
///
/// Invariant: a record that the source has held unchanged since a revision up to `knownRevision` is believed,
/// and one that it removed by then is not believed for longer than the removal delay.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/serving/serving_knowledge.h"
#include "coordination/serving/source_reader.h"
#include "coordination/serving/source_relay.h"

namespace oakpier::serving {

struct FollowerSettings {
  SourceReaderSettings reader;
  KnowledgeSettings knowledge;
  /// A daemon that usually does not read waits this long for overdue news, and longer for each place.
  Duration newsGrace = std::chrono::milliseconds(100);
  Duration staggerStep = std::chrono::milliseconds(120);
  std::size_t mostStaggerSteps = 4;
};

struct FollowerActions {
  std::vector<OutgoingNews> news;
  /// Ask this daemon for everything after what is known here.
  std::optional<Endpoint> ask;
  /// Records and configurations that were refused, in plain words.
  std::vector<std::string> problems;
};

struct FollowerCounters {
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::uint64_t newsAccepted = 0;
  std::uint64_t newsAsked = 0;
  std::uint64_t configurationsRefused = 0;
};

class SourceFollower {
 public:
  using Interpreter = std::function<SourceStatement(const SourceRecord&)>;

  SourceFollower(const Endpoint& self, const FollowerSettings& settings, Interpreter interpret,
                 RandomEngine random);

  /// The call to make now, if one is due.
  std::optional<SourceCall> takeCall(Moment now);
  FollowerActions onAnswer(const SourceCall& call, const SourceAnswer& answer, Moment now);
  FollowerActions onNews(const Endpoint& sender, const SourceNews& news, Moment now);
  /// What a daemon that asked is to be told; empty while nothing is known.
  std::optional<OutgoingNews> onNewsRequest(const Endpoint& sender, const SourceNewsRequest& request,
                                            Moment now) const;
  void onTime(Moment now) { knowledge_.onTime(now); }
  /// When `onTime` or `takeCall` has something to do.
  Moment nextDueAt() const;
  /// Serving daemons in rising order.
  void setMembers(std::vector<Endpoint> members) { relay_.setMembers(std::move(members)); }

  /// The newest view if it has changed since the last call; else null.
  std::shared_ptr<const ServingView> takeChangedView() { return knowledge_.takeChangedView(); }
  bool complete() const { return knowledge_.complete(); }
  std::uint64_t configurationVersion() const { return knowledge_.configurationVersion(); }
  std::size_t leafCount() const { return knowledge_.leafCount(); }
  std::uint64_t knownRevision() const { return reader_.knownRevision(); }
  /// The source has not answered this daemon's last calls.
  bool sourceLost() const { return reader_.failuresInRow() > 0; }
  std::size_t place() const { return relay_.place(); }
  const FollowerCounters& counters() const { return counters_; }

 private:
  void onPage(const SourceCall& call, const SourcePage& page, Moment now, FollowerActions& actions);
  /// The last record of each key.
  static std::vector<SourceRecord> newestOf(const std::vector<SourceRecord>& records);
  /// Records that are all that the source held at `revision`.
  void takeOverListing(const std::vector<SourceRecord>& records, std::uint64_t revision, Moment now,
                       FollowerActions& actions);
  void takeOver(const std::vector<SourceRecord>& records, Moment now, FollowerActions& actions);
  /// Returns the id when the record lists a leaf.
  std::optional<std::string> takeOver(const SourceRecord& record, Moment now, FollowerActions& actions);
  void takeOverConfiguration(ServingConfiguration configuration, FollowerActions& actions);
  /// Unless this daemon is the one that reads first, its next call waits for overdue news.
  void leaveReadingToOthers(Moment now);
  Duration stagger() const;

  FollowerSettings settings_;
  Interpreter interpret_;
  SourceReader reader_;
  ServingKnowledge knowledge_;
  SourceRelay relay_;
  /// The listing in progress; it is taken over when it is whole.
  std::vector<SourceRecord> listing_;
  std::uint64_t listingRevision_ = 0;
  FollowerCounters counters_;
};

}  // namespace oakpier::serving
