#include "coordination/serving/peer_recovery.h"

#include <algorithm>

#include "coordination/serving/suppression_delay.h"
#include "state/erase.h"

namespace oakpier::serving {

void PeerRecovery::start(const std::vector<Endpoint>& seeds, Moment now, RandomEngine& random) {
  const bool isSeed = std::find(seeds.begin(), seeds.end(), self_) != seeds.end();
  seeds_ = seeds;
  eraseValue(seeds_, self_);
  readsFirst_ = isSeed || seeds_.empty();
  listAt_ = now;
  if (readsFirst_) {
    return;
  }
  nextAskAt_ = now;
  listAt_ += settings_.patience + suppressionDelay(settings_.longestSpread, settings_.assumedDaemons, random);
}

void PeerRecovery::setMembers(const std::vector<Endpoint>& members) {
  const bool first = members_.empty();
  members_ = members;
  eraseValue(members_, self_);
  if (first && !members_.empty() && nextAskAt_ != kNever) {
    nextAskAt_ = Moment{};
  }
}

std::optional<Endpoint> PeerRecovery::takeAsk(Moment now, RandomEngine& random) {
  if (now < nextAskAt_) {
    return std::nullopt;
  }
  nextAskAt_ = now + settings_.askPeriod;
  return drawOther(random);
}

std::optional<Endpoint> PeerRecovery::drawOther(RandomEngine& random) const {
  const std::vector<Endpoint>& candidates = members_.empty() ? seeds_ : members_;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[drawBelow(candidates.size(), random)];
}

}  // namespace oakpier::serving
