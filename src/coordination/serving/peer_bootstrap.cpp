#include "coordination/serving/peer_bootstrap.h"

#include <algorithm>

#include "coordination/serving/suppression_delay.h"
#include "state/erase.h"

namespace oakpier::serving {

void PeerBootstrap::start(const std::vector<Endpoint>& seeds, Moment now, RandomEngine& random) {
  const bool isSeed = std::find(seeds.begin(), seeds.end(), self_) != seeds.end();
  seeds_ = seeds;
  eraseValue(seeds_, self_);
  readsFromStart_ = isSeed || seeds_.empty();
  listAt_ = now;
  if (readsFromStart_) {
    return;
  }
  nextRequestAt_ = now;
  listAt_ += settings_.replyTimeout + suppressionDelay(settings_.maxJitter, settings_.assumedDaemons, random);
}

void PeerBootstrap::setMembers(const std::vector<Endpoint>& members) {
  const bool first = members_.empty();
  members_ = members;
  eraseValue(members_, self_);
  if (first && !members_.empty() && nextRequestAt_ != kNever) {
    nextRequestAt_ = Moment{};
  }
}

std::optional<Endpoint> PeerBootstrap::takeRequest(Moment now, RandomEngine& random) {
  if (now < nextRequestAt_) {
    return std::nullopt;
  }
  nextRequestAt_ = now + settings_.requestInterval;
  return randomPeer(random);
}

std::optional<Endpoint> PeerBootstrap::randomPeer(RandomEngine& random) const {
  const std::vector<Endpoint>& candidates = members_.empty() ? seeds_ : members_;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[drawBelow(candidates.size(), random)];
}

}  // namespace oakpier::serving
