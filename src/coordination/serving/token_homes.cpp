#include "coordination/serving/token_homes.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "state/hashing.h"

namespace oakpier::serving {

namespace {

/// Signs of life are asked of the daemons before this one at most so often. Four fit into the time in which a
/// daemon that was heard from counts as alive (`kHeardLately`).
constexpr Duration kProbePeriod = std::chrono::milliseconds(50);

}  // namespace

std::vector<Endpoint> rankHomes(const std::string& tenant, const std::vector<ServingDaemon>& daemons) {
  return rankDaemons(hashText(tenant), daemons, kHomeCandidates);
}

void TokenHomes::setDaemons(std::vector<ServingDaemon> daemons) {
  daemons_ = std::move(daemons);
  ranked_.clear();
  std::vector<Endpoint> addresses = addressesOf(daemons_);
  std::sort(addresses.begin(), addresses.end());
  silence_.retain(addresses);
  const auto retain = [&](std::unordered_map<Endpoint, Moment>& moments) {
    for (auto entry = moments.begin(); entry != moments.end();) {
      const bool known = std::binary_search(addresses.begin(), addresses.end(), entry->first);
      entry = known ? std::next(entry) : moments.erase(entry);
    }
  };
  retain(heardAt_);
  retain(probedAt_);
}

const std::vector<Endpoint>& TokenHomes::ranked(const std::string& tenant) {
  const auto [place, isNew] = ranked_.try_emplace(tenant);
  if (isNew) {
    place->second = rankHomes(tenant, daemons_);
  }
  return place->second;
}

std::vector<Endpoint> TokenHomes::candidates(const std::string& tenant, Moment now) {
  std::vector<Endpoint> homes = ranked(tenant);
  std::stable_partition(homes.begin(), homes.end(),
                        [&](const Endpoint& home) { return !silence_.silent(home, now); });
  return homes;
}

HomePlace TokenHomes::placeOfSelf(const std::string& tenant) {
  HomePlace place;
  for (const Endpoint& home : ranked(tenant)) {
    if (home == self_) {
      break;
    }
    ++place.rank;
    const auto heard = heardAt_.find(home);
    if (heard != heardAt_.end()) {
      place.aheadHeardAt = std::max(place.aheadHeardAt, heard->second);
    }
  }
  return place;
}

std::vector<Endpoint> TokenHomes::takeProbesAhead(const std::string& tenant, Moment now) {
  std::vector<Endpoint> due;
  for (const Endpoint& home : ranked(tenant)) {
    if (home == self_) {
      break;
    }
    const auto [probed, isNew] = probedAt_.try_emplace(home, now);
    if (isNew || now - probed->second >= kProbePeriod) {
      probed->second = now;
      due.push_back(home);
    }
  }
  return due;
}

void TokenHomes::onSent(const Endpoint& home, Moment now) {
  if (home != self_) {
    silence_.onSent(home, now);
  }
}

void TokenHomes::onHeard(const Endpoint& home, Moment now) {
  silence_.onHeard(home, now);
  heardAt_[home] = now;
}

void TokenHomes::onUnreachable(const Endpoint& home, Moment now) { silence_.onToldSilent(home, now); }

}  // namespace oakpier::serving
