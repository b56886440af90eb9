#include "coordination/serving/quota_server_selector.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "coordination/serving/quota_plan.h"
#include "state/hashing.h"

namespace oakpier::serving {

namespace {

/// Shortest time between two probes of a predecessor. Fits four times into `kAliveAfterFrame`.
constexpr Duration kProbePeriod = std::chrono::milliseconds(50);

/// Candidates probed when a server gave no usable answer, in the order in which they would be tried.
constexpr std::size_t kCandidatesProbed = 10;
/// A candidate that left a probe unanswered is tried last for this long. Then it is unknown again, unless the
/// membership suspects it.
constexpr Duration kProbeResultLifetime = std::chrono::seconds(2);
/// A daemon that leaves a frame unanswered for longer is tried after the others. As long as a client waits
/// for a quota server.
constexpr Duration kExpectedAnswerTime = std::chrono::milliseconds(25);

/// The membership finds a daemon that is reachable again within this time after its first frame.
constexpr Duration kHealingDetectionTime = std::chrono::seconds(2);

/// Cached rankings of fewer daemons are dropped: one request may try `kMaxQuotaServersTried` of them.
constexpr std::size_t kMinCachedRanking = 8;

bool precedes(const ServingDaemon& left, const ServingDaemon& right) {
  return left.address != right.address ? left.address < right.address : left.capacity < right.capacity;
}

/// The daemons with these addresses, in this order. Precondition: each address is one of a daemon.
std::vector<ServingDaemon> inOrder(const std::vector<Endpoint>& addresses,
                                   const std::vector<ServingDaemon>& daemons) {
  std::vector<ServingDaemon> ordered;
  ordered.reserve(addresses.size());
  for (const Endpoint& address : addresses) {
    ordered.push_back(*std::find_if(daemons.begin(), daemons.end(),
                                    [&](const ServingDaemon& daemon) { return daemon.address == address; }));
  }
  return ordered;
}

}  // namespace

std::vector<Endpoint> rankQuotaServers(const std::string& tenant, const std::vector<ServingDaemon>& daemons) {
  return rankDaemons(hashText(tenant), daemons, kMaxQuotaServerCandidates);
}

void QuotaServerSelector::setDaemons(std::vector<ServingDaemon> daemons) {
  std::vector<ServingDaemon> removed;
  std::vector<ServingDaemon> added;
  std::set_difference(daemons_.begin(), daemons_.end(), daemons.begin(), daemons.end(),
                      std::back_inserter(removed), precedes);
  std::set_difference(daemons.begin(), daemons.end(), daemons_.begin(), daemons_.end(),
                      std::back_inserter(added), precedes);
  updateRankings(removed, added);
  daemons_ = std::move(daemons);
  const std::vector<Endpoint> addresses = addressesOf(daemons_);
  failureDetector_.retain(addresses);
  reachability_.setDaemons(addresses);
  const auto retain = [&](std::unordered_map<Endpoint, Moment>& moments) {
    for (auto entry = moments.begin(); entry != moments.end();) {
      const bool known = std::binary_search(addresses.begin(), addresses.end(), entry->first);
      entry = known ? std::next(entry) : moments.erase(entry);
    }
  };
  retain(lastReceivedAt_);
  retain(probedAt_);
  retain(silentSince_);
  retain(unansweredProbeAt_);
}

void QuotaServerSelector::updateRankings(const std::vector<ServingDaemon>& removed,
                                         const std::vector<ServingDaemon>& added) {
  for (auto entry = rankings_.begin(); entry != rankings_.end();) {
    std::vector<ServingDaemon>& ranking = entry->second;
    const bool complete = ranking.size() == daemons_.size();
    ranking.erase(std::remove_if(ranking.begin(), ranking.end(),
                                 [&](const ServingDaemon& daemon) {
                                   return std::binary_search(removed.begin(), removed.end(), daemon,
                                                             precedes);
                                 }),
                  ranking.end());
    if (ranking.size() < kMinCachedRanking) {
      entry = rankings_.erase(entry);
      continue;
    }
    if (!added.empty()) {
      const Endpoint last = ranking.back().address;
      ranking.insert(ranking.end(), added.begin(), added.end());
      ranking = inOrder(rankQuotaServers(entry->first, ranking), ranking);
      // The cached prefix doesn't tell which daemons rank after its last one, so nothing may follow that one.
      const auto end = std::find_if(ranking.begin(), ranking.end(),
                                    [&](const ServingDaemon& daemon) { return daemon.address == last; });
      if (!complete && end != ranking.end()) {
        ranking.erase(std::next(end), ranking.end());
      }
    }
    ++entry;
  }
}

const std::vector<ServingDaemon>& QuotaServerSelector::rankingOf(const std::string& tenant) {
  const auto [entry, isNew] = rankings_.try_emplace(tenant);
  if (isNew) {
    entry->second = inOrder(rankQuotaServers(tenant, daemons_), daemons_);
  }
  return entry->second;
}

std::vector<Endpoint> QuotaServerSelector::candidates(const std::string& tenant, Moment now) {
  std::vector<Endpoint> servers = addressesOf(rankingOf(tenant));
  std::stable_partition(servers.begin(), servers.end(),
                        [&](const Endpoint& server) { return expectedToRespond(server, now); });
  return servers;
}

void QuotaServerSelector::setSuspected(const std::vector<Endpoint>& suspected, Moment now) {
  std::unordered_map<Endpoint, Moment> since;
  since.reserve(suspected.size());
  for (const Endpoint& daemon : suspected) {
    const auto known = suspectedAt_.find(daemon);
    since.emplace(daemon, known == suspectedAt_.end() ? now : known->second);
  }
  suspectedAt_ = std::move(since);
}

bool QuotaServerSelector::expectedToRespond(const Endpoint& server, Moment now) const {
  const auto probe = unansweredProbeAt_.find(server);
  const Duration probedAgo = probe == unansweredProbeAt_.end() ? Duration{} : now - probe->second;
  const bool leftProbeUnanswered = probedAgo >= kExpectedAnswerTime && probedAgo < kProbeResultLifetime;
  if (leftProbeUnanswered || failureDetector_.unansweredFor(server, now) >= kExpectedAnswerTime) {
    return false;
  }
  // A request has few attempts. Without the suspicions of the membership, each daemon on the small side of a
  // network partition would find out for itself, tenant by tenant, which daemons are unreachable.
  const auto suspected = suspectedAt_.find(server);
  if (suspected == suspectedAt_.end()) {
    return true;
  }
  const auto received = lastReceivedAt_.find(server);
  return received != lastReceivedAt_.end() && received->second > suspected->second;
}

QuotaServerRank QuotaServerSelector::rankOfSelf(const std::string& tenant) {
  QuotaServerRank serverRank;
  serverRank.predecessorsSuspectedSince = Moment::min();
  serverRank.predecessorsSilentSince = Moment::min();
  for (const auto& [server, capacity] : rankingOf(tenant)) {
    if (server == self_) {
      break;
    }
    ++serverRank.rank;
    const auto suspected = suspectedAt_.find(server);
    const Moment since = suspected == suspectedAt_.end() ? kNever : suspected->second;
    serverRank.predecessorsSuspectedSince = std::max(serverRank.predecessorsSuspectedSince, since);
    const auto silent = silentSince_.find(server);
    const Moment silentSince = silent == silentSince_.end() ? kNever : silent->second;
    serverRank.predecessorsSilentSince = std::max(serverRank.predecessorsSilentSince, silentSince);
    const auto received = lastReceivedAt_.find(server);
    if (received != lastReceivedAt_.end()) {
      serverRank.predecessorReceivedAt = std::max(serverRank.predecessorReceivedAt, received->second);
    }
  }
  return serverRank;
}

std::vector<Endpoint> QuotaServerSelector::takeServerProbes(const std::string& tenant, Moment now) {
  std::vector<Endpoint> due;
  for (const auto& [server, capacity] : rankingOf(tenant)) {
    if (server == self_) {
      break;
    }
    const auto [probed, isNew] = probedAt_.try_emplace(server, now);
    if (isNew || now - probed->second >= kProbePeriod) {
      probed->second = now;
      silentSince_.try_emplace(server, now);
      due.push_back(server);
    }
  }
  const bool healingMayBeUndetected = suspectedReceivedAt_ > now - kHealingDetectionTime;
  if (membershipStable_ && (healingMayBeUndetected || networkPartitionMayBeUndetected(tenant, now))) {
    const std::vector<Endpoint> sample = reachability_.beginRound(now);
    due.insert(due.end(), sample.begin(), sample.end());
  }
  return due;
}

bool QuotaServerSelector::networkPartitionMayBeUndetected(const std::string& tenant, Moment now) {
  const QuotaServerRank serverRank = rankOfSelf(tenant);
  const bool predecessorResponds = serverRank.predecessorReceivedAt > now - kAliveAfterFrame;
  const bool recentlySuspected = serverRank.predecessorsSuspectedSince > now - kNetworkPartitionDetectionTime;
  return serverRank.rank > 0 && !predecessorResponds && recentlySuspected;
}

void QuotaServerSelector::scheduleCandidateProbes(const std::string& tenant, Moment now) {
  // Without these probes, each daemon on a small side of a network partition would use up all attempts of its
  // requests on unreachable candidates until the membership suspects them.
  std::size_t probes = membershipStable_ ? kCandidatesProbed : 0;
  for (const Endpoint& server : candidates(tenant, now)) {
    if (probes == 0) {
      return;
    }
    if (server == self_ || !expectedToRespond(server, now)) {
      continue;
    }
    --probes;
    const auto [probed, isNew] = unansweredProbeAt_.try_emplace(server, now);
    if (isNew || now - probed->second >= kProbeResultLifetime) {
      probed->second = now;
      dueCandidateProbes_.push_back(server);
    }
  }
}

std::vector<Endpoint> QuotaServerSelector::takeDueProbes(Moment now) {
  std::vector<Endpoint> due = failureDetector_.takeDueProbes(now);
  due.insert(due.end(), dueCandidateProbes_.begin(), dueCandidateProbes_.end());
  dueCandidateProbes_.clear();
  return due;
}

void QuotaServerSelector::onSent(const Endpoint& server, Moment now) {
  if (server != self_) {
    failureDetector_.onSent(server, now);
  }
}

void QuotaServerSelector::onReceived(const Endpoint& server, Moment now) {
  failureDetector_.onReceived(server, now);
  unansweredProbeAt_.erase(server);
  silentSince_.erase(server);
  reachability_.onReceived(server);
  lastReceivedAt_[server] = now;
  if (suspectedAt_.count(server) != 0) {
    suspectedReceivedAt_ = now;
  }
}

void QuotaServerSelector::onUnreachable(const Endpoint& server, Moment now) {
  failureDetector_.onReportedUnresponsive(server, now);
}

}  // namespace oakpier::serving
