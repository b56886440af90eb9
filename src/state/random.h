#pragma once

/// Random numbers for state and coordination. The caller seeds and passes the engine.

#include <cstddef>
#include <random>

namespace oakpier {

using RandomEngine = std::mt19937_64;

/// Uniformly distributed from 0 to `bound` - 1; `bound` must be at least 1.
inline std::size_t drawBelow(std::size_t bound, RandomEngine& random) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

}  // namespace oakpier
