#pragma once

/// Decides which daemon reads the configuration source for all. The first in `DaemonOrder` does. When its
/// updates are overdue, others take over, staggered so that only a few call at a time; a daemon that took
/// over remains reader until it receives an update from a reader that ranks before it.
///
/// Invariants: a daemon that can reach the source and receives no updates reads after a bounded time,
/// whichever others fail or are refused by the source. Of daemons that can reach each other and agree on the
/// members, one remains reader.

#include "coordination/serving/daemon_order.h"
#include "state/endpoint.h"
#include "state/random.h"
#include "state/time.h"

namespace oakpier::serving {

struct ReaderElectionSettings {
  /// Updates count as overdue when they are this late: time for some hops between daemons that may be
  /// throttled by their CPU quota until its next period of 100 ms.
  Duration updateGrace = std::chrono::milliseconds(200);
  /// The next daemons in order take over this much apart: time for a call and for its result to pass the
  /// forwarding tree.
  Duration staggerStep = std::chrono::milliseconds(120);
  std::size_t staggeredDaemons = 4;
  /// All others draw a random delay beyond that. Its maximum grows with their number, up to a bound.
  Duration jitterPerDaemon = std::chrono::milliseconds(5);
  Duration maxJitter = std::chrono::milliseconds(600);
  /// The maximum backoff after failed calls grows with the number of daemons, which limits the rate of calls
  /// during an outage. It stays between these bounds, so that the source's return is noticed soon.
  Duration backoffCapPerDaemon = std::chrono::milliseconds(10);
  Duration minBackoffCap = std::chrono::milliseconds(1000);
  Duration maxBackoffCap = std::chrono::milliseconds(1500);
  /// A daemon that knows no peers for this long after its start assumes that it is the only one.
  Duration soleMemberAfter = std::chrono::seconds(3);
};

class ReaderElection {
 public:
  ReaderElection(const Endpoint& self, const ReaderElectionSettings& settings)
      : self_(self), settings_(settings) {}

  /// `peersExpected`: peers are expected, because the settings name some.
  void start(bool peersExpected, Moment now);
  /// `members`: serving daemons, including this one.
  void setMembers(DaemonOrder members);
  /// This daemon's rank among the members; 0 is the first.
  std::size_t rank() const { return rank_; }

  /// An update read by another daemon was applied.
  void onUpdate(const Endpoint& reader, Moment now);
  /// A call that this daemon sent then has read the source: it remains reader until it receives an update
  /// from a reader that ranks before it. No effect if it has received one since the call was sent: a call
  /// waits at the source for about a second, so that daemons which once called together would all remain
  /// readers.
  void becomeReader(Moment callSentAt);
  /// A call of this daemon succeeded.
  void onAnswer() { lastCallFailed_ = false; }
  /// A call of this daemon failed: it cannot be the reader until one succeeds, and is no longer reader
  /// because of an earlier takeover.
  void onFailure();

  /// This daemon is the reader, whether or not it receives updates of others.
  bool isReader(Moment now) const;
  /// How long updates must be overdue before this daemon reads.
  Duration stagger(Moment now, RandomEngine& random) const;
  /// The maximum backoff after a failed call.
  Duration backoffCap() const;

 private:
  /// This daemon is first in order; one without known peers only after `soleMemberAfter`.
  bool isFirstRanked(Moment now) const;

  Endpoint self_;
  ReaderElectionSettings settings_;
  DaemonOrder members_;
  std::size_t rank_ = 0;
  std::size_t memberCount_ = 1;
  Moment soleMemberAt_{};
  bool becameReader_ = false;
  /// When an update from a reader that ranks before this daemon was last received.
  Moment precedingReaderAt_ = Moment::min();
  bool lastCallFailed_ = false;
};

}  // namespace oakpier::serving
