#include "coordination/serving/weighted_rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "state/hashing.h"

namespace oakpier::serving {

namespace {

/// Bits of the hash that a double represents exactly.
constexpr unsigned kExactBits = 53;

/// Sort key of a daemon: the lowest distance ranks first, the address breaks ties.
struct RankKey {
  double distance;
  Endpoint address;

  friend bool operator<(const RankKey& left, const RankKey& right) {
    return std::tie(left.distance, left.address) < std::tie(right.distance, right.address);
  }
};

/// The distance is exponentially distributed with the weight as its rate, so the probability that a daemon
/// has the least distance is proportional to its weight. The logarithm may differ in the last bit between
/// processors, which affects the ranking only if two distances agree to 15 digits.
RankKey rankKeyOf(std::uint64_t keyHash, const ServingDaemon& daemon) {
  const std::uint64_t hash = hashPair(keyHash, daemon.address.packed()) >> (64U - kExactBits);
  // Adding 0.5 keeps the value within the open interval (0, 1).
  const double uniform = std::ldexp(static_cast<double>(hash) + 0.5, -static_cast<int>(kExactBits));
  return RankKey{-std::log(uniform) / placementWeight(daemon.capacity), daemon.address};
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
  return capacity == 0 ? kDefaultCapacity : std::min(capacity, kMaxCapacity);
}

std::vector<Endpoint> rankDaemons(std::uint64_t keyHash, const std::vector<ServingDaemon>& daemons,
                                  std::size_t maxCount) {
  std::vector<RankKey> rankKeys;
  rankKeys.reserve(daemons.size());
  for (const ServingDaemon& daemon : daemons) {
    rankKeys.push_back(rankKeyOf(keyHash, daemon));
  }
  const std::size_t kept = std::min(maxCount, rankKeys.size());
  std::partial_sort(rankKeys.begin(), rankKeys.begin() + static_cast<std::ptrdiff_t>(kept), rankKeys.end());
  std::vector<Endpoint> ranked;
  ranked.reserve(kept);
  for (std::size_t rank = 0; rank < kept; ++rank) {
    ranked.push_back(rankKeys[rank].address);
  }
  return ranked;
}

std::optional<Endpoint> highestRankedDaemon(std::uint64_t keyHash,
                                            const std::vector<ServingDaemon>& daemons) {
  std::optional<RankKey> best;
  for (const ServingDaemon& daemon : daemons) {
    const RankKey rankKey = rankKeyOf(keyHash, daemon);
    if (!best || rankKey < *best) {
      best = rankKey;
    }
  }
  return best ? std::optional<Endpoint>(best->address) : std::nullopt;
}

}  // namespace oakpier::serving
