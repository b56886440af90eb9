#include "coordination/serving/weighted_rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "state/hashing.h"

namespace oakpier::serving {

namespace {

/// Bits of the hash that a double represents exactly.
constexpr unsigned kExactBits = 53;

/// A daemon's score for a key: the lowest distance ranks first, the address breaks ties.
struct Bid {
  double distance;
  Endpoint address;

  friend bool operator<(const Bid& left, const Bid& right) {
    return std::tie(left.distance, left.address) < std::tie(right.distance, right.address);
  }
};

/// The distance is exponentially distributed with the weight as its rate, so the probability that a daemon
/// has the least distance is proportional to its weight. The logarithm may differ in the last bit between
/// processors, which affects the ranking only if two distances agree to 15 digits.
Bid bidOf(std::uint64_t keyHash, const ServingDaemon& daemon) {
  const std::uint64_t hash = hashPair(keyHash, daemon.address.packed()) >> (64U - kExactBits);
  // Adding 0.5 keeps the value within the open interval (0, 1).
  const double even = std::ldexp(static_cast<double>(hash) + 0.5, -static_cast<int>(kExactBits));
  return Bid{-std::log(even) / placementWeight(daemon.capacity), daemon.address};
}

}  // namespace

std::vector<Endpoint> addressesOf(const std::vector<ServingDaemon>& daemons) {
  std::vector<Endpoint> addresses;
  addresses.reserve(daemons.size());
  for (const ServingDaemon& daemon : daemons) {
    addresses.push_back(daemon.address);
  }
  return addresses;
}

unsigned placementWeight(unsigned capacity) {
  return capacity == 0 ? kUsualCapacity : std::min(capacity, kMostCapacity);
}

std::vector<Endpoint> rankDaemons(std::uint64_t keyHash, const std::vector<ServingDaemon>& daemons,
                                  std::size_t most) {
  std::vector<Bid> bids;
  bids.reserve(daemons.size());
  for (const ServingDaemon& daemon : daemons) {
    bids.push_back(bidOf(keyHash, daemon));
  }
  const std::size_t kept = std::min(most, bids.size());
  std::partial_sort(bids.begin(), bids.begin() + static_cast<std::ptrdiff_t>(kept), bids.end());
  std::vector<Endpoint> ranked;
  ranked.reserve(kept);
  for (std::size_t place = 0; place < kept; ++place) {
    ranked.push_back(bids[place].address);
  }
  return ranked;
}

std::optional<Endpoint> firstDaemon(std::uint64_t keyHash, const std::vector<ServingDaemon>& daemons) {
  std::optional<Bid> best;
  for (const ServingDaemon& daemon : daemons) {
    const Bid bid = bidOf(keyHash, daemon);
    if (!best || bid < *best) {
      best = bid;
    }
  }
  return best ? std::optional<Endpoint>(best->address) : std::nullopt;
}

}  // namespace oakpier::serving
