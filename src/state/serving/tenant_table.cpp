#include "state/serving/tenant_table.h"

#include <cstring>

namespace oakpier::serving {

std::size_t KeyDigestHash::operator()(const KeyDigest& digest) const {
  std::size_t hash = 0;
  std::memcpy(&hash, digest.bytes.data(), sizeof(hash));
  return hash;
}

TenantTable::TenantTable(const std::vector<Tenant>& tenants) : tenants_(tenants) {
  for (std::uint32_t place = 0; place < tenants_.size(); ++place) {
    names_.emplace(tenants_[place].name, place);
  }
}

const Tenant* TenantTable::holderOf(std::string_view /*key*/) const { return nullptr; }

const Tenant* TenantTable::named(std::string_view name) const {
  const auto found = names_.find(name);
  return found == names_.end() ? nullptr : &tenants_[found->second];
}

}  // namespace oakpier::serving
