#include "coordination/serving/peer_silence.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace oakpier::serving {

namespace {

/// Longer than the interval at which a running daemon acknowledges pending requests.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(120);
constexpr Duration kTryPeriod = std::chrono::milliseconds(250);

}  // namespace

void PeerSilence::onSent(const Endpoint& peer, Moment now) {
  silences_.try_emplace(peer, Silence{now, now, false});
}

void PeerSilence::onHeard(const Endpoint& peer, Moment now) {
  silences_.erase(peer);
  heardAt_[peer] = now;
}

std::vector<Endpoint> PeerSilence::takeNewlySilent(Moment now) {
  std::vector<Endpoint> newlySilent;
  for (auto& [peer, silence] : silences_) {
    if (!silence.told && silent(peer, now)) {
      silence.told = true;
      newlySilent.push_back(peer);
    }
  }
  return newlySilent;
}

void PeerSilence::onToldSilent(const Endpoint& peer, Moment now) {
  const auto heard = heardAt_.find(peer);
  if (heard != heardAt_.end() && now - heard->second <= kSilenceLimit) {
    return;
  }
  // Just over the limit, so that the peer is unresponsive immediately.
  const Moment since = now - kSilenceLimit - Duration(1);
  Silence& silence = silences_.try_emplace(peer, Silence{since, now, true}).first->second;
  silence.since = std::min(silence.since, since);
  silence.told = true;
}

bool PeerSilence::silent(const Endpoint& peer, Moment now) const {
  const auto found = silences_.find(peer);
  return found != silences_.end() && now - found->second.since > kSilenceLimit;
}

bool PeerSilence::takeTry(const Endpoint& peer, Silence& silence, Moment now) const {
  if (!silent(peer, now) || now - silence.triedAt < kTryPeriod) {
    return false;
  }
  silence.triedAt = now;
  return true;
}

bool PeerSilence::takeTry(const Endpoint& peer, Moment now) {
  const auto found = silences_.find(peer);
  return found != silences_.end() && takeTry(peer, found->second, now);
}

std::vector<Endpoint> PeerSilence::takeTries(Moment now) {
  std::vector<Endpoint> due;
  for (auto& [peer, silence] : silences_) {
    if (takeTry(peer, silence, now)) {
      due.push_back(peer);
    }
  }
  return due;
}

void PeerSilence::retain(const std::vector<Endpoint>& peers) {
  const std::unordered_set<Endpoint> known(peers.begin(), peers.end());
  for (auto entry = silences_.begin(); entry != silences_.end();) {
    const bool kept = known.count(entry->first) != 0;
    entry = kept ? std::next(entry) : silences_.erase(entry);
  }
  for (auto entry = heardAt_.begin(); entry != heardAt_.end();) {
    const bool kept = known.count(entry->first) != 0;
    entry = kept ? std::next(entry) : heardAt_.erase(entry);
  }
}

}  // namespace oakpier::serving
