#include "state/serving/tenant_table.h"

namespace oakpier::serving {

TenantTable::TenantTable(const std::vector<Tenant>& tenants) {
  tenants_.reserve(tenants.size());
  names_.reserve(tenants.size());
  for (const Tenant& tenant : tenants) {
    const auto place = static_cast<std::uint32_t>(tenants_.size());
    tenants_.push_back(Tenant{tenant.name, {}, tenant.rank, tenant.limit});
    names_.emplace(tenants_.back().name, place);
    for (const std::string& key : tenant.keys) {
      holders_.emplace(digestOf(key), place);
    }
  }
}

const Tenant* TenantTable::holderOf(std::string_view key) const {
  const auto found = holders_.find(digestOf(key));
  return found == holders_.end() ? nullptr : &tenants_[found->second];
}

const Tenant* TenantTable::named(std::string_view name) const {
  const auto found = names_.find(name);
  return found == names_.end() ? nullptr : &tenants_[found->second];
}

}  // namespace oakpier::serving
