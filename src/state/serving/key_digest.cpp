#include "state/serving/key_digest.h"

#include <sodium.h>

#include <cstring>
#include <exception>

namespace oakpier::serving {

namespace {

using Secret = std::array<unsigned char, crypto_generichash_KEYBYTES>;

Secret generateSecret() {
  // Fails only if the system has no source of randomness. There is no fallback: under a known secret the
  // digests would protect nothing.
  if (sodium_init() < 0) {
    std::terminate();
  }
  Secret secret{};
  crypto_generichash_keygen(secret.data());
  return secret;
}

const Secret& processSecret() {
  static const Secret secret = generateSecret();
  return secret;
}

}  // namespace

std::size_t KeyDigestHash::operator()(const KeyDigest& digest) const {
  std::size_t hash = 0;
  std::memcpy(&hash, digest.bytes.data(), sizeof(hash));
  return hash;
}

KeyDigest digestOf(std::string_view key) {
  static_assert(sizeof(KeyDigest::bytes) >= crypto_generichash_BYTES_MIN);
  const Secret& secret = processSecret();
  KeyDigest digest;
  const int result = crypto_generichash(digest.bytes.data(), digest.bytes.size(),
                                        reinterpret_cast<const unsigned char*>(key.data()), key.size(),
                                        secret.data(), secret.size());
  if (result != 0) {
    std::terminate();
  }
  return digest;
}

}  // namespace oakpier::serving
