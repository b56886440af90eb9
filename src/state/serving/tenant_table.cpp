#include "state/serving/tenant_table.h"

#include <cstring>

namespace oakpier::serving {

std::size_t KeyDigestHash::operator()(const KeyDigest& digest) const {
  std::size_t hash = 0;
  std::memcpy(&hash, digest.bytes.data(), sizeof(hash));
  return hash;
}

TenantTable::TenantTable(const std::vector<Tenant>& tenants) : tenants_(tenants) {}

const Tenant* TenantTable::holderOf(std::string_view /*key*/) const { return nullptr; }

const Tenant* TenantTable::named(std::string_view /*name*/) const { return nullptr; }

}  // namespace oakpier::serving
