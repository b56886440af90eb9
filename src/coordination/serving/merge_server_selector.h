#pragma once

/// Selects the requests to leafs of other zones that are routed through a merge server: a daemon in the
/// leafs' zone that forwards them and returns only records that can be among the greatest. This reduces
/// traffic between zones.
///
/// Invariants: only the first sends of a gather query are routed through merge servers, so a part gets at
/// most one merged answer; an unresponsive merge server is used at most once per probe interval.

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/peer_failure_detector.h"
#include "coordination/serving/query_actions.h"
#include "coordination/serving/weighted_rendezvous.h"
#include "state/random.h"

namespace oakpier::serving {

/// Not thread-safe.
class MergeServerSelector {
 public:
  using DaemonsByZone = std::unordered_map<std::string, std::vector<ServingDaemon>>;

  /// `otherZones`: the serving daemons of all zones but this daemon's own.
  void setDaemons(DaemonsByZone otherZones);

  /// A random other zone; empty if none is known. A query prefers the leafs of this zone for shards that have
  /// none in its own zone, so that it needs one merge server only.
  std::string chooseZone(RandomEngine& random) const;

  /// Sets the merge server of the sends to healthy leafs of another zone, if a zone has at least two of them.
  /// `sends`: all first sends of one query.
  void assign(std::vector<SendAction>& sends, RandomEngine& random, Moment now);

  void onSent(const Endpoint& mergeServer, Moment now) { failureDetector_.onSent(mergeServer, now); }
  void onReceived(const Endpoint& mergeServer, Moment now) { failureDetector_.onReceived(mergeServer, now); }

 private:
  /// A random daemon of the zone, with probability in proportion to capacity. Empty if all are unresponsive
  /// and none is due for a probe. Requires a zone of `daemons_`.
  std::optional<Endpoint> chooseFrom(const std::string& zone, RandomEngine& random, Moment now);

  DaemonsByZone daemons_;
  PeerFailureDetector failureDetector_;
};

}  // namespace oakpier::serving
