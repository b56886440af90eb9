#pragma once

/// Decides which requests to leafs of other zones go by way of a daemon there. That daemon sends them on and
/// returns only records that can be among the greatest, so that fewer bytes cross between zones.
///
/// Invariants: only first sends of a query over all shards go that way, so a part has at most one merged
/// answer; a daemon that left work unanswered is tried again once in a while only.

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/peer_silence.h"
#include "coordination/serving/query_actions.h"
#include "coordination/serving/weighted_rendezvous.h"
#include "state/random.h"

namespace oakpier::serving {

/// Not thread-safe.
class ZoneMergers {
 public:
  using DaemonsByZone = std::unordered_map<std::string, std::vector<ServingDaemon>>;

  /// `otherZones`: the serving daemons of all zones but this daemon's own.
  void setDaemons(DaemonsByZone otherZones);

  /// The zone that a query should turn to for what its own zone lacks, drawn anew for each; empty when there
  /// is none. Leafs of one zone need one merger.
  std::string drawZone(RandomEngine& random) const;

  /// Sets the merger of those sends that should go by way of one. `sends` are all first sends of one query.
  void assign(std::vector<SendAction>& sends, RandomEngine& random, Moment now);

  void onSent(const Endpoint& merger, Moment now) { silence_.onSent(merger, now); }
  void onHeard(const Endpoint& merger, Moment now) { silence_.onHeard(merger, now); }

 private:
  /// Drawn in proportion to capacity; empty when no daemon of the zone is known or all are silent.
  std::optional<Endpoint> chooseFrom(const std::string& zone, RandomEngine& random, Moment now);

  DaemonsByZone daemons_;
  PeerSilence silence_;
};

}  // namespace oakpier::serving
