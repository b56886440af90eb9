#pragma once

/// Keyed hashes of API keys: BLAKE2b (libsodium) under a random secret per process.
///
/// A table of digests does not disclose the keys in a core dump. Look-ups are safe against timing attacks:
/// without the secret a caller cannot construct a key whose digest shares a prefix with a stored one.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace oakpier::serving {

/// 128 bits: the probability of any collision among a million keys is about 10^-27.
struct KeyDigest {
  std::array<std::uint8_t, 16> bytes{};

  bool operator==(const KeyDigest& other) const { return bytes == other.bytes; }
};

struct KeyDigestHash {
  std::size_t operator()(const KeyDigest& digest) const;
};

/// Equal keys have equal digests within one process only.
KeyDigest digestOf(std::string_view key);

}  // namespace oakpier::serving
