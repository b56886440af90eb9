#pragma once

/// The source of chance in state and coordination; seeded and passed in by the caller.

#include <cstddef>
#include <random>

namespace oakpier {

using RandomEngine = std::mt19937_64;

/// Evenly from 0 to `bound` - 1; `bound` is at least 1.
inline std::size_t drawBelow(std::size_t bound, RandomEngine& random) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

}  // namespace oakpier
