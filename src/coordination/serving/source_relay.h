#pragma once

/// Forwards the reader's updates to all daemons, so that few read the source, and daemons whose calls the
/// source refuses are up to date too.
///
/// Invariants:
/// - An update is applied only if no earlier change is missing; a daemon with a gap requests the missing
///   records.
/// - A daemon forwards an update only if, compared with the last one it forwarded, it is of a newer position,
///   or was read more than `kMinConfirmationGap` later at the same position, or is of the same position and
///   of a reader that ranks before the last one's. It never forwards updates of an older epoch than the known
///   one.
/// - The rate of complete states sent in reply to requests is bounded.
///
/// The updates of each reader follow a tree rooted at it. If there are several readers, the rule on ranks
/// makes all daemons forward the updates of the first of them in rank, so that its tree is covered
/// completely.

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

struct OutgoingUpdate {
  Endpoint to;
  SourceNews update;
};

struct RelayActions {
  std::vector<OutgoingUpdate> updates;
  /// The peer to request all records after the known position from.
  std::optional<Endpoint> requestFrom;
  /// The update may be applied: it is not older than the known position, and leaves no gap after it or
  /// contains the complete state.
  bool accepted = false;
};

class SourceRelay {
 public:
  explicit SourceRelay(const Endpoint& self) : self_(self) {}

  /// `members`: serving daemons, in the order from which the trees are built.
  void setMembers(DaemonOrder members) { members_ = std::move(members); }

  /// This daemon has read the changes between a revision and a position of the same epoch. `records` are
  /// those to forward.
  RelayActions onRead(std::uint64_t afterRevision, const SourcePosition& position,
                      const std::vector<SourceRecord>& records, Moment now);
  /// This daemon has listed a source that was restored from a backup: sends the complete state down the tree,
  /// so that the other daemons need not list it.
  std::vector<OutgoingUpdate> onRestored(const SourcePosition& known, Moment now);
  /// `known`: everything up to this position is known here.
  RelayActions onUpdate(const Endpoint& sender, const SourceNews& update, const SourcePosition& known,
                        Moment now);
  /// The changes after `requesterPosition`, the position known to the peer, or the complete state if those
  /// changes are not kept, as after a change of the epoch. Empty if the rate of complete states is exceeded:
  /// the peer then retries with another daemon.
  std::optional<OutgoingUpdate> catchUpFor(const Endpoint& to, const SourcePosition& requesterPosition,
                                           const SourcePosition& known, Moment now);
  /// Defers the reply to a request while nothing, or only an older epoch than the requester's, is known here.
  /// Ignores the request if too many are deferred.
  void deferRequest(const Endpoint& requester);
  /// Replies to the deferred requests with the complete state, within its rate limit.
  std::vector<OutgoingUpdate> replyToDeferred(const SourcePosition& known, Moment now);

  /// Stores a record, or its deletion, for replies to peers.
  void store(const SourceRecord& record);
  /// Removes records that a complete listing as of `position` does not contain, except newer ones.
  void removeUnlisted(const std::set<std::string>& keys, const SourcePosition& position);
  /// When the source last confirmed what is known here.
  Moment confirmedAt() const { return confirmedAt_; }
  void setConfirmedAt(Moment moment) { confirmedAt_ = moment; }

 private:
  std::uint64_t ageAt(Moment now) const;
  void addChangesSince(const SourcePosition& position, SourceNews& update) const;
  void addAllRecords(SourceNews& update) const;
  /// Returns whether the rate of complete states permits one more now, and counts it.
  bool acquireCompleteStateSlot(Moment now);
  /// Adds the messages that forward `update` if the invariant on forwarding permits it (see above).
  void forward(const SourceNews& update, Moment now, RelayActions& actions);

  Endpoint self_;
  DaemonOrder members_;
  std::map<std::string, SourceRecord> records_;
  /// Keys of deleted records, by the position of their deletion.
  std::map<SourcePosition, std::string> deletions_;
  /// `deletions_` holds all deletions of the known epoch after this position.
  SourcePosition deletionsKeptAfter_;
  Moment confirmedAt_{};
  SourcePosition forwarded_;
  Moment forwardedConfirmedAt_{};
  Endpoint forwardedReader_;
  Moment requestedAt_{};
  std::set<Endpoint> deferredRequests_;
  /// Complete states sent since `completeStateWindowStart_`.
  std::size_t completeStatesSent_ = 0;
  Moment completeStateWindowStart_{};
};

std::vector<SourceRecord> recordsOf(const SourceNews& update);

}  // namespace oakpier::serving
