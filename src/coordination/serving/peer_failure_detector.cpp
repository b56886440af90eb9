#include "coordination/serving/peer_failure_detector.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace oakpier::serving {

namespace {

/// Longer than the interval at which a running daemon acknowledges pending requests.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(120);
constexpr Duration kProbeInterval = std::chrono::milliseconds(250);

}  // namespace

void PeerFailureDetector::onSent(const Endpoint& peer, Moment now) {
  peers_.try_emplace(peer, PeerState{now, now, false});
}

void PeerFailureDetector::onReceived(const Endpoint& peer, Moment now) {
  peers_.erase(peer);
  receivedAt_[peer] = now;
}

std::vector<Endpoint> PeerFailureDetector::takeNewlyUnresponsive(Moment now) {
  std::vector<Endpoint> newlyUnresponsive;
  for (auto& [peer, entry] : peers_) {
    if (!entry.reported && isUnresponsive(peer, now)) {
      entry.reported = true;
      newlyUnresponsive.push_back(peer);
    }
  }
  return newlyUnresponsive;
}

void PeerFailureDetector::onReportedUnresponsive(const Endpoint& peer, Moment now) {
  const auto received = receivedAt_.find(peer);
  if (received != receivedAt_.end() && now - received->second <= kResponseTimeout) {
    return;
  }
  // Just over the limit, so that the peer is unresponsive immediately.
  const Moment since = now - kResponseTimeout - Duration(1);
  PeerState& entry = peers_.try_emplace(peer, PeerState{since, now, true}).first->second;
  entry.since = std::min(entry.since, since);
  entry.reported = true;
}

bool PeerFailureDetector::isUnresponsive(const Endpoint& peer, Moment now) const {
  return unansweredFor(peer, now) > kResponseTimeout;
}

Duration PeerFailureDetector::unansweredFor(const Endpoint& peer, Moment now) const {
  const auto found = peers_.find(peer);
  return found == peers_.end() ? Duration{} : now - found->second.since;
}

bool PeerFailureDetector::takeProbe(const Endpoint& peer, PeerState& entry, Moment now) const {
  if (!isUnresponsive(peer, now) || now - entry.probedAt < kProbeInterval) {
    return false;
  }
  entry.probedAt = now;
  return true;
}

bool PeerFailureDetector::takeProbe(const Endpoint& peer, Moment now) {
  const auto found = peers_.find(peer);
  return found != peers_.end() && takeProbe(peer, found->second, now);
}

std::vector<Endpoint> PeerFailureDetector::takeDueProbes(Moment now) {
  std::vector<Endpoint> due;
  for (auto& [peer, entry] : peers_) {
    if (takeProbe(peer, entry, now)) {
      due.push_back(peer);
    }
  }
  return due;
}

void PeerFailureDetector::retain(const std::vector<Endpoint>& peers) {
  const std::unordered_set<Endpoint> known(peers.begin(), peers.end());
  for (auto found = peers_.begin(); found != peers_.end();) {
    const bool kept = known.count(found->first) != 0;
    found = kept ? std::next(found) : peers_.erase(found);
  }
  for (auto found = receivedAt_.begin(); found != receivedAt_.end();) {
    const bool kept = known.count(found->first) != 0;
    found = kept ? std::next(found) : receivedAt_.erase(found);
  }
}

}  // namespace oakpier::serving
