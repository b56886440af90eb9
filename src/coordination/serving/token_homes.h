#pragma once

/// Decides which daemon counts a tenant's requests for the whole fleet, and which step in for it.
///
/// Invariants: equal member tables give equal homes; a change of one daemon moves only the tenants that it
/// gains or loses; a daemon that leaves frames unanswered, or is suspected to have ended, is asked after the
/// others.

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/peer_failure_detector.h"
#include "coordination/serving/weighted_rendezvous.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier::serving {

/// Daemons that may step in for one another. In a cut that leaves a piece of one quarter of the daemons, all
/// of these lie beyond the cut for one tenant in a hundred.
inline constexpr std::size_t kHomeCandidates = 16;

/// The first is the home, the others step in for it in this order. At most `kHomeCandidates`.
std::vector<Endpoint> rankHomes(const std::string& tenant, const std::vector<ServingDaemon>& daemons);

/// Where a daemon stands among those that may count for a tenant.
struct HomePlace {
  /// 0: it is the home; 1: the first to step in, and so on.
  std::size_t rank = 0;
  /// When one of those before it was last heard from.
  Moment aheadHeardAt = Moment::min();
  /// Since when all of those before it are suspected to have ended; `kNever` while one is not.
  Moment aheadSuspectedAt = kNever;
};

/// Not thread-safe.
class TokenHomes {
 public:
  explicit TokenHomes(const Endpoint& self) : self_(self), daemons_{ServingDaemon(self)} {}

  /// All serving daemons, this one included, in rising order of their addresses. Rankings in use are carried
  /// over, since making one anew costs 0.5 ms at 7,100 daemons.
  void setDaemons(std::vector<ServingDaemon> daemons);
  std::size_t count() const { return daemons_.size(); }
  /// All daemons that the membership suspects to have ended.
  void setSuspected(const std::vector<Endpoint>& suspected, Moment now);
  /// In the order in which they are to be asked.
  std::vector<Endpoint> candidates(const std::string& tenant, Moment now);
  HomePlace placeOfSelf(const std::string& tenant);
  /// The daemons before this one for the tenant that should be asked for a sign of life now, as this one is
  /// asked in their place.
  std::vector<Endpoint> takeProbesAhead(const std::string& tenant, Moment now);

  void onSent(const Endpoint& home, Moment now);
  void onHeard(const Endpoint& home, Moment now);
  void onUnreachable(const Endpoint& home, Moment now);
  /// Silent daemons that should be asked for a sign of life now.
  std::vector<Endpoint> takeProbes(Moment now) { return failureDetector_.takeDueProbes(now); }

 private:
  const std::vector<ServingDaemon>& ranked(const std::string& tenant);
  /// Not silent here, nor suspected elsewhere since it was last heard from here.
  bool expectedToAnswer(const Endpoint& home, Moment now) const;
  /// Forgets the rankings that cannot be carried over.
  void carryOver(const std::vector<ServingDaemon>& gone, const std::vector<ServingDaemon>& added);

  Endpoint self_;
  std::vector<ServingDaemon> daemons_;
  /// The first of each ranking: all of it, or some.
  std::unordered_map<std::string, std::vector<ServingDaemon>> ranked_;
  PeerFailureDetector failureDetector_;
  std::unordered_map<Endpoint, Moment> heardAt_;
  /// Suspected daemons, and since when.
  std::unordered_map<Endpoint, Moment> suspectedAt_;
  std::unordered_map<Endpoint, Moment> probedAt_;
};

}  // namespace oakpier::serving
