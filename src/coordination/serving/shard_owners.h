#pragma once

/// Assigns each shard to owners: the daemons of a zone that hold the connections to the shard's leafs on
/// behalf of all daemons in the zone. Owners are chosen by weighted rendezvous hashing, in proportion to
/// capacity. This bounds the number of connections per leaf independently of the number of daemons.
///
/// Invariants: equal member tables give equal owners; adding, removing or resizing one daemon moves only the
/// shards that it gains or loses; an unresponsive daemon is used only if no responsive candidate is left; a
/// daemon that receives work for a shard that it does not own, because the sender's member table or its view
/// of unresponsive daemons differs, serves the shard temporarily.

#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "coordination/serving/peer_failure_detector.h"
#include "coordination/serving/weighted_rendezvous.h"
#include "state/endpoint.h"
#include "state/serving/serving_configuration.h"
#include "state/time.h"

namespace oakpier::serving {

/// All serving daemons, including this one, with their capacities.
struct DaemonGroup {
  std::vector<ServingDaemon> all;
  std::vector<ServingDaemon> ownZone;
  /// Daemons of each other zone, by the zone's name.
  std::unordered_map<std::string, std::vector<ServingDaemon>> otherZones;
  std::size_t zones = 1;
  /// This daemon has heard no other one since its start, although there are others.
  bool isolated = false;
};

/// The sum of the daemons' placement weights, in hundredths of a core. A daemon with unknown capacity counts
/// with the default capacity.
std::uint64_t totalPlacementWeight(const std::vector<ServingDaemon>& daemons);

/// The first and the second owner of a shard in one zone.
inline constexpr std::size_t kOwnersPerShard = 2;

/// Number of daemons ranked per shard. Candidates further down the ranking become owners while those before
/// them are unresponsive. With 30% of a zone's daemons unresponsive, two candidates would leave 9% of the
/// shards without an owner, too many for a route that requires 95% of its shards; six leave 0.1%.
inline constexpr std::size_t kCandidatesPerShard = 6;

/// True if a leaf accepts fewer connections than there are daemons.
bool needsOwners(std::size_t maximumConnections, std::size_t daemons);

/// The services that are accessed through owners: those whose leafs accept too few connections, except the
/// targets of routes that send each request to one leaf (`SingleTarget`). Services that no route references
/// are included, since a later configuration may use them as shards.
std::unordered_set<std::string> ownedServices(const ServingConfiguration& configuration, std::size_t daemons);

/// Number of owners, over all zones, among which a leaf's connections are divided: two per zone, which may
/// both be active while member tables differ.
std::size_t maxConcurrentOwners(std::size_t zones);

/// Connections that one owner may hold to a leaf, at least 1. Two owners in every zone stay within the leaf's
/// maximum, provided it is at least that number of owners.
std::size_t connectionsPerOwner(std::size_t maximumConnections, std::size_t zones);

/// Not thread-safe.
class ShardOwners {
 public:
  explicit ShardOwners(const Endpoint& self) : self_(self), daemons_{self} {}

  void setDaemons(std::vector<ServingDaemon> ownZone);
  /// The services that are accessed through owners. Every daemon connects to the leafs of all others
  /// directly.
  void setServices(std::unordered_set<std::string> services) { services_ = std::move(services); }

  bool hasOwnedServices() const { return !services_.empty(); }
  bool usesOwners(const std::string& service) const { return services_.count(service) != 0; }
  /// At most `kOwnersPerShard` daemons, in the order in which to try them.
  std::vector<Endpoint> ownersOf(const std::string& service, Moment now);
  /// True if this daemon is the shard's first or second owner or serves the shard temporarily, whether or not
  /// it is responsive to others.
  bool isOwner(const std::string& service);
  /// Another daemon sent work for the shard. Returns true if this daemon starts to serve the shard
  /// temporarily.
  bool serveTemporarily(const std::string& service, Moment now);
  /// Stops serving shards that are not owned here and for which no work has been received recently.
  void expireTemporaryShards(Moment now);
  /// True if this daemon is the shard's first owner, whether or not it is responsive to others.
  bool isFirstOwner(const std::string& service);

  void onSent(const Endpoint& owner, Moment now) { failureDetector_.onSent(owner, now); }
  void onReceived(const Endpoint& owner, Moment now) { failureDetector_.onReceived(owner, now); }
  /// Newly unresponsive daemons, to be reported to the other daemons of the zone.
  std::vector<Endpoint> takeNewlyUnresponsive(Moment now) {
    return failureDetector_.takeNewlyUnresponsive(now);
  }
  /// A peer reported the owner as unresponsive.
  void onReportedUnresponsive(const Endpoint& owner, Moment now) {
    failureDetector_.onReportedUnresponsive(owner, now);
  }
  /// See `PeerFailureDetector::isUnresponsive`.
  bool isUnresponsive(const Endpoint& owner, Moment now) const {
    return failureDetector_.isUnresponsive(owner, now);
  }
  /// Unresponsive daemons that are due for a probe.
  std::vector<Endpoint> takeDueProbes(Moment now) { return failureDetector_.takeDueProbes(now); }

 private:
  /// The shard's candidates by rank, regardless of responsiveness.
  const std::vector<Endpoint>& ranked(const std::string& service);

  Endpoint self_;
  std::vector<ServingDaemon> daemons_;
  std::unordered_set<std::string> services_;
  std::unordered_map<std::string, std::vector<Endpoint>> ranked_;
  /// Shards served temporarily, with the time at which work for them was last received.
  std::unordered_map<std::string, Moment> temporaryShards_;
  PeerFailureDetector failureDetector_;
};

}  // namespace oakpier::serving
