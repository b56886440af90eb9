#include "state/configuration_change.h"

#include <algorithm>
#include <map>
#include <string>

namespace oakpier {

namespace {

template <typename Item>
using Items = google::protobuf::RepeatedPtrField<Item>;

template <typename Item>
std::map<std::string, const Item*> byName(const Items<Item>& items) {
  std::map<std::string, const Item*> index;
  for (const auto& item : items) {
    index[item.name()] = &item;
  }
  return index;
}

template <typename Item>
void difference(const Items<Item>& from, const Items<Item>& to, Items<Item>& put,
                Items<std::string>& removed) {
  const auto former = byName(from);
  const auto wanted = byName(to);
  for (const auto& [name, item] : wanted) {
    const auto known = former.find(name);
    if (known == former.end() || known->second->SerializeAsString() != item->SerializeAsString()) {
      *put.Add() = *item;
    }
  }
  for (const auto& [name, item] : former) {
    if (wanted.count(name) == 0) {
      *removed.Add() = name;
    }
  }
}

template <typename Item>
void apply(const Items<Item>& put, const Items<std::string>& removed, Items<Item>& items) {
  if (put.empty() && removed.empty()) {
    return;
  }
  std::map<std::string, Item> merged;
  for (auto& item : items) {
    merged[item.name()] = std::move(item);
  }
  for (const auto& name : removed) {
    merged.erase(name);
  }
  for (const auto& item : put) {
    merged[item.name()] = item;
  }
  items.Clear();
  for (auto& [name, item] : merged) {
    *items.Add() = std::move(item);
  }
}

}  // namespace

ConfigurationChange differenceBetween(const Configuration& from, const Configuration& to) {
  ConfigurationChange change;
  difference(from.classes(), to.classes(), *change.mutable_put_classes(), *change.mutable_removed_classes());
  difference(from.leaves(), to.leaves(), *change.mutable_put_leaves(), *change.mutable_removed_leaves());
  difference(from.services(), to.services(), *change.mutable_put_services(),
             *change.mutable_removed_services());
  return change;
}

bool isEmpty(const ConfigurationChange& change) {
  return change.put_classes().empty() && change.put_leaves().empty() && change.put_services().empty() &&
         change.removed_classes().empty() && change.removed_leaves().empty() &&
         change.removed_services().empty();
}

void applyChange(const ConfigurationChange& change, Configuration& configuration) {
  apply(change.put_classes(), change.removed_classes(), *configuration.mutable_classes());
  apply(change.put_leaves(), change.removed_leaves(), *configuration.mutable_leaves());
  apply(change.put_services(), change.removed_services(), *configuration.mutable_services());
  configuration.set_revision(change.revision());
}

}  // namespace oakpier
