#pragma once

/// Passes what one daemon read from the configuration source on to the others, so that few read and all
/// know, and a daemon that the source refuses still learns.
///
/// Invariants: news is taken over only when nothing before it is missing; a daemon that misses something asks
/// for what it has missed; a daemon forwards news only if it tells of a newer position, or tells the
/// known one as of later by `kFreshnessStep`, or tells the same but from a reader earlier in order, than what
/// it has forwarded, and never news of an older epoch than it knows; whole states that were asked for are
/// sent to a bounded number of daemons in a time.
///
/// Each reader's news travels along a tree of its own. Where several read at once, the last rule of
/// forwarding makes all daemons forward the news of the first of them, so that its whole tree is reached.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/serving/daemon_order.h"
#include "coordination/serving/source_records.h"
#include "oakpier/peer.pb.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier::serving {

struct OutgoingNews {
  Endpoint to;
  SourceNews news;
};

struct RelayActions {
  std::vector<OutgoingNews> news;
  /// Ask this daemon for everything after what is known here.
  std::optional<Endpoint> ask;
  /// The news may be taken over: every record in it, and for whole news nothing else is listed.
  bool accepted = false;
};

class SourceRelay {
 public:
  explicit SourceRelay(const Endpoint& self) : self_(self) {}

  /// `members`: serving daemons, as for `forwardTo`.
  void setMembers(DaemonOrder members) { members_ = std::move(members); }

  /// This daemon has read the changes between a revision and a position of the same epoch; `records` are
  /// those worth passing on.
  RelayActions onRead(std::uint64_t afterRevision, const SourcePosition& position,
                      const std::vector<SourceRecord>& records, Moment now);
  /// This daemon has listed a source that came back from a copy: all that is kept here is told along the
  /// tree, so that one listing serves all daemons.
  std::vector<OutgoingNews> onRestored(const SourcePosition& known, Moment now);
  /// `known`: everything up to it is known here.
  RelayActions onNews(const Endpoint& sender, const SourceNews& news, const SourcePosition& known,
                      Moment now);
  /// What a daemon that knows everything up to `askers` has missed; everything when that cannot be told any
  /// more, as after a change of the epoch. Empty when too many were told everything just now: they ask
  /// another daemon.
  std::optional<OutgoingNews> missedBy(const Endpoint& to, const SourcePosition& askers,
                                       const SourcePosition& known, Moment now);
  /// A daemon asks while nothing, or nothing newer than it knows, is known here; it is told once something
  /// is.
  void keepWaiting(const Endpoint& asker);
  /// For those who were kept waiting.
  std::vector<OutgoingNews> answerWaiting(const SourcePosition& known, Moment now);

  /// Keeps a record, or its end, for daemons that ask.
  void keep(const SourceRecord& record);
  /// Forgets records that a whole listing as of `position` did not name, newer ones excepted.
  void dropUnlisted(const std::set<std::string>& keys, const SourcePosition& position);
  /// When the source last said what is known here.
  Moment freshAt() const { return freshAt_; }
  void setFreshAt(Moment moment) { freshAt_ = moment; }

 private:
  std::uint64_t ageAt(Moment now) const;
  void addChangesSince(const SourcePosition& position, SourceNews& news) const;
  void addAll(SourceNews& news) const;
  /// Whether one more daemon may be told everything now.
  bool takeWholeTurn(Moment now);
  /// Passes on what nobody here has passed on yet.
  void forward(const SourceNews& news, Moment now, RelayActions& actions);

  Endpoint self_;
  DaemonOrder members_;
  std::map<std::string, SourceRecord> records_;
  /// Keys of records that are gone, by the position at which they went.
  std::map<SourcePosition, std::string> gone_;
  /// Every record that went after this position, in its epoch, is in `gone_`.
  SourcePosition goneSince_;
  Moment freshAt_{};
  SourcePosition forwarded_;
  Moment forwardedFreshAt_{};
  Endpoint forwardedReader_;
  Moment askedAt_{};
  std::set<Endpoint> waiting_;
  /// Daemons that were told everything since `wholeSince_`.
  std::size_t wholeTold_ = 0;
  Moment wholeSince_{};
};

std::vector<SourceRecord> recordsOf(const SourceNews& news);

}  // namespace oakpier::serving
