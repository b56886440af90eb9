#pragma once

/// Keyed hashes of callers' keys, by BLAKE2b of libsodium under a secret that each process draws anew.
///
/// What they guard against: a table of them in a core dump or crash report tells no key, and a caller who
/// measures how long look-ups take learns nothing of a key, as without the secret nobody can choose a digest
/// that shares a beginning with another one.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace oakpier::serving {

/// 128 bits: among a million keys, two share a digest with a chance of about 10^-27.
struct KeyDigest {
  std::array<std::uint8_t, 16> bytes{};

  bool operator==(const KeyDigest& other) const { return bytes == other.bytes; }
};

struct KeyDigestHash {
  std::size_t operator()(const KeyDigest& digest) const;
};

/// The same for equal keys within one process, and different in each process.
KeyDigest digestOf(std::string_view key);

}  // namespace oakpier::serving
