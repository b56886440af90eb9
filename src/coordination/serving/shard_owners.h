#pragma once

/// Decides which daemon holds the connections to a shard's leafs for the callers of a zone: weighted
/// rendezvous hashing over the zone's daemons, a daemon owning shards in proportion to its capacity. So a
/// shard's connections stay few and in use, however many daemons there are.
///
/// Invariants: equal member tables give equal owners; a change of one daemon, or of its capacity, moves only
/// the shards that it gains or loses; a daemon that leaves frames unanswered is asked only when no other one
/// is left, until it is heard again; a daemon that is taken for an owner by one that knows or hears of others
/// serves the shard for a while.

#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "coordination/serving/peer_silence.h"
#include "coordination/serving/weighted_rendezvous.h"
#include "state/endpoint.h"
#include "state/serving/serving_configuration.h"
#include "state/time.h"

namespace oakpier::serving {

/// The serving daemons, this one included, with what each can carry.
struct DaemonGroup {
  std::vector<ServingDaemon> all;
  std::vector<ServingDaemon> ownZone;
  /// Daemons of each other zone, by the zone's name.
  std::unordered_map<std::string, std::vector<ServingDaemon>> otherZones;
  std::size_t zones = 1;
};

/// What all together count for in placement, in hundredths of a core; those that did not tell count as usual
/// ones.
std::uint64_t capacityOf(const std::vector<ServingDaemon>& daemons);

/// The first owner and the one that steps in for it.
inline constexpr std::size_t kOwnersPerShard = 2;

/// Daemons that may step in as owners one after the other while those before them are silent. With three in
/// ten of a zone's daemons at a standstill both of two owners are for one shard in eleven, more than an
/// answer may lack where nineteen of twenty shards are wanted; all of six are for one in a thousand.
inline constexpr std::size_t kCandidatesPerShard = 6;

/// True when a leaf accepts too few connections for every daemon to have its own.
bool needsOwners(std::size_t maximumConnections, std::size_t daemons);

/// The services that are left to owners: all whose leafs accept too few connections, but for those that a
/// route sends whole requests to. Leafs that no route names yet count as well: they may be tomorrow's shards.
std::unordered_set<std::string> servicesForOwners(const ServingConfiguration& configuration,
                                                  std::size_t daemons);

/// Owners of a shard in all zones that may be at work at once, while member tables differ.
std::size_t ownersAtOnce(std::size_t zones);

/// Connections that one owner may hold to a leaf: those of two owners a zone, while views differ, fit.
std::size_t ownerConnections(std::size_t maximumConnections, std::size_t zones);

/// Not thread-safe.
class ShardOwners {
 public:
  explicit ShardOwners(const Endpoint& self) : self_(self), daemons_{self} {}

  void setDaemons(std::vector<ServingDaemon> ownZone);
  /// The services that are left to owners; all others are sent to by every daemon.
  void setServices(std::unordered_set<std::string> services) { services_ = std::move(services); }

  bool any() const { return !services_.empty(); }
  bool owned(const std::string& service) const { return services_.count(service) != 0; }
  /// In the order in which they are to be tried.
  std::vector<Endpoint> ownersOf(const std::string& service, Moment now);
  /// This daemon is one of the shard's owners, or serves it for daemons that take it for one.
  bool isOwner(const std::string& service);
  /// Another daemon takes this one for an owner of the shard. True when this daemon did not serve it yet.
  bool serveForOther(const std::string& service, Moment now);
  /// Ends what nobody has asked for in a while.
  void dropUnasked(Moment now);
  /// This daemon is the shard's first owner.
  bool isFirstOwner(const std::string& service);

  void onSent(const Endpoint& owner, Moment now) { silence_.onSent(owner, now); }
  void onHeard(const Endpoint& owner, Moment now) { silence_.onHeard(owner, now); }
  /// Daemons whose silence the others of the zone are to be told of now.
  std::vector<Endpoint> takeNewlySilent(Moment now) { return silence_.takeNewlySilent(now); }
  /// Another daemon says that this one is silent.
  void onToldSilent(const Endpoint& owner, Moment now) { silence_.onToldSilent(owner, now); }
  /// The daemon has left a frame unanswered for longer than a living one would.
  bool silent(const Endpoint& owner, Moment now) const { return silence_.silent(owner, now); }
  /// Daemons that are silent and should be asked for a sign of life now.
  std::vector<Endpoint> takeProbes(Moment now) { return silence_.takeTries(now); }

 private:
  /// The shard's candidates, the owners first.
  const std::vector<Endpoint>& ranked(const std::string& service);

  Endpoint self_;
  std::vector<ServingDaemon> daemons_;
  std::unordered_set<std::string> services_;
  std::unordered_map<std::string, std::vector<Endpoint>> ranked_;
  /// Shards that only others take this daemon for an owner of, and when they last did.
  std::unordered_map<std::string, Moment> servedForOthers_;
  PeerSilence silence_;
};

}  // namespace oakpier::serving
