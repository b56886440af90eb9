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

/// A ranking of fewer is made anew: one request may ask nearly as many.
constexpr std::size_t kFewestCarried = 8;

bool before(const ServingDaemon& left, const ServingDaemon& right) {
  return left.address != right.address ? left.address < right.address : left.capacity < right.capacity;
}

/// The daemons at these addresses, which are all among them, in their order.
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

std::vector<Endpoint> rankHomes(const std::string& tenant, const std::vector<ServingDaemon>& daemons) {
  return rankDaemons(hashText(tenant), daemons, kHomeCandidates);
}

void TokenHomes::setDaemons(std::vector<ServingDaemon> daemons) {
  std::vector<ServingDaemon> gone;
  std::vector<ServingDaemon> added;
  std::set_difference(daemons_.begin(), daemons_.end(), daemons.begin(), daemons.end(),
                      std::back_inserter(gone), before);
  std::set_difference(daemons.begin(), daemons.end(), daemons_.begin(), daemons_.end(),
                      std::back_inserter(added), before);
  carryOver(gone, added);
  daemons_ = std::move(daemons);
  const std::vector<Endpoint> addresses = addressesOf(daemons_);
  failureDetector_.retain(addresses);
  const auto retain = [&](std::unordered_map<Endpoint, Moment>& moments) {
    for (auto entry = moments.begin(); entry != moments.end();) {
      const bool known = std::binary_search(addresses.begin(), addresses.end(), entry->first);
      entry = known ? std::next(entry) : moments.erase(entry);
    }
  };
  retain(heardAt_);
  retain(probedAt_);
}

void TokenHomes::carryOver(const std::vector<ServingDaemon>& gone, const std::vector<ServingDaemon>& added) {
  for (auto entry = ranked_.begin(); entry != ranked_.end();) {
    std::vector<ServingDaemon>& ranking = entry->second;
    const bool whole = ranking.size() == daemons_.size();
    ranking.erase(std::remove_if(ranking.begin(), ranking.end(),
                                 [&](const ServingDaemon& daemon) {
                                   return std::binary_search(gone.begin(), gone.end(), daemon, before);
                                 }),
                  ranking.end());
    if (ranking.size() < kFewestCarried) {
      entry = ranked_.erase(entry);
      continue;
    }
    if (!added.empty()) {
      const Endpoint last = ranking.back().address;
      ranking.insert(ranking.end(), added.begin(), added.end());
      ranking = inOrder(rankHomes(entry->first, ranking), ranking);
      // Of those behind the last one that was known it is not known whom they come before.
      const auto end = std::find_if(ranking.begin(), ranking.end(),
                                    [&](const ServingDaemon& daemon) { return daemon.address == last; });
      if (!whole && end != ranking.end()) {
        ranking.erase(std::next(end), ranking.end());
      }
    }
    ++entry;
  }
}

const std::vector<ServingDaemon>& TokenHomes::ranked(const std::string& tenant) {
  const auto [place, isNew] = ranked_.try_emplace(tenant);
  if (isNew) {
    place->second = inOrder(rankHomes(tenant, daemons_), daemons_);
  }
  return place->second;
}

std::vector<Endpoint> TokenHomes::candidates(const std::string& tenant, Moment now) {
  std::vector<Endpoint> homes = addressesOf(ranked(tenant));
  std::stable_partition(homes.begin(), homes.end(),
                        [&](const Endpoint& home) { return expectedToAnswer(home, now); });
  return homes;
}

void TokenHomes::setSuspected(const std::vector<Endpoint>& suspected, Moment now) {
  std::unordered_map<Endpoint, Moment> since;
  since.reserve(suspected.size());
  for (const Endpoint& daemon : suspected) {
    const auto known = suspectedAt_.find(daemon);
    since.emplace(daemon, known == suspectedAt_.end() ? now : known->second);
  }
  suspectedAt_ = std::move(since);
}

bool TokenHomes::expectedToAnswer(const Endpoint& home, Moment now) const {
  if (failureDetector_.isUnresponsive(home, now)) {
    return false;
  }
  // A request has few tries. By own silences alone each daemon of a small piece of a cut would spend them on
  // daemons beyond it, tenant by tenant, long after the membership has come to suspect these.
  const auto suspected = suspectedAt_.find(home);
  if (suspected == suspectedAt_.end()) {
    return true;
  }
  const auto heard = heardAt_.find(home);
  return heard != heardAt_.end() && heard->second > suspected->second;
}

HomePlace TokenHomes::placeOfSelf(const std::string& tenant) {
  HomePlace place;
  place.aheadSuspectedAt = Moment::min();
  for (const auto& [home, capacity] : ranked(tenant)) {
    if (home == self_) {
      break;
    }
    ++place.rank;
    const auto suspected = suspectedAt_.find(home);
    const Moment since = suspected == suspectedAt_.end() ? kNever : suspected->second;
    place.aheadSuspectedAt = std::max(place.aheadSuspectedAt, since);
    const auto heard = heardAt_.find(home);
    if (heard != heardAt_.end()) {
      place.aheadHeardAt = std::max(place.aheadHeardAt, heard->second);
    }
  }
  return place;
}

std::vector<Endpoint> TokenHomes::takeProbesAhead(const std::string& tenant, Moment now) {
  std::vector<Endpoint> due;
  for (const auto& [home, capacity] : ranked(tenant)) {
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
    failureDetector_.onSent(home, now);
  }
}

void TokenHomes::onHeard(const Endpoint& home, Moment now) {
  failureDetector_.onReceived(home, now);
  heardAt_[home] = now;
}

void TokenHomes::onUnreachable(const Endpoint& home, Moment now) {
  failureDetector_.onReportedUnresponsive(home, now);
}

}  // namespace oakpier::serving
