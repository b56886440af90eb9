#include "state/serving/tenant_table.h"

namespace oakpier::serving {

TenantTable::TenantTable(const std::vector<Tenant>& tenants) {
  tenants_.reserve(tenants.size());
  indexByName_.reserve(tenants.size());
  for (const Tenant& tenant : tenants) {
    const auto index = static_cast<std::uint32_t>(tenants_.size());
    tenants_.push_back(Tenant{tenant.name, {}, tenant.rank, tenant.limit});
    indexByName_.emplace(tenants_.back().name, index);
    for (const std::string& key : tenant.keys) {
      indexByKey_.emplace(digestOf(key), index);
    }
  }
}

const Tenant* TenantTable::findByKey(std::string_view key) const {
  const auto found = indexByKey_.find(digestOf(key));
  return found == indexByKey_.end() ? nullptr : &tenants_[found->second];
}

const Tenant* TenantTable::findByName(std::string_view name) const {
  const auto found = indexByName_.find(name);
  return found == indexByName_.end() ? nullptr : &tenants_[found->second];
}

}  // namespace oakpier::serving
