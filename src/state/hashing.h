#pragma once

/// Stable hashes: the same on every daemon and in every release, since daemons compute placement
/// independently.

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace oakpier {

inline std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Combines two hashes; the order matters.
inline std::uint64_t hashPair(std::uint64_t left, std::uint64_t right) {
  const std::uint64_t both[] = {left, right};
  return XXH3_64bits(both, sizeof(both));
}

}  // namespace oakpier
