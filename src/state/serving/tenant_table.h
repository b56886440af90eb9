#pragma once

/// Finds the tenant that holds a key. Keys are kept as digests made with a secret of the process, so that a
/// memory image or a table in a crash report tells no key, and the time of a look-up does not tell how much
/// of a key fits.
///
/// Invariant: a key is found exactly if the configuration names it.

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/serving/tenant.h"

namespace oakpier::serving {

/// A keyed hash of a key of a caller.
struct KeyDigest {
  std::array<std::uint8_t, 16> bytes{};

  bool operator==(const KeyDigest& other) const { return bytes == other.bytes; }
};

struct KeyDigestHash {
  std::size_t operator()(const KeyDigest& digest) const;
};

/// Immutable once built.
class TenantTable {
 public:
  explicit TenantTable(const std::vector<Tenant>& tenants);

  /// The configuration names no tenants: no request needs a key.
  bool empty() const { return tenants_.empty(); }
  /// Null when no tenant holds the key.
  const Tenant* holderOf(std::string_view key) const;
  /// Null when there is no such tenant.
  const Tenant* named(std::string_view name) const;
  /// Without their keys.
  const std::vector<Tenant>& tenants() const { return tenants_; }
  std::size_t keyCount() const { return holders_.size(); }

 private:
  std::vector<Tenant> tenants_;
  /// Places in `tenants_`.
  std::unordered_map<KeyDigest, std::uint32_t, KeyDigestHash> holders_;
  std::unordered_map<std::string_view, std::uint32_t> names_;
};

}  // namespace oakpier::serving
