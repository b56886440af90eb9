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
int positionOf(const Items<Item>& items, const std::string& name) {
  const auto position =
      std::lower_bound(items.begin(), items.end(), name,
                       [](const Item& item, const std::string& wanted) { return item.name() < wanted; });
  return static_cast<int>(position - items.begin());
}

template <typename Item>
bool isAt(const Items<Item>& items, int position, const std::string& name) {
  return position < items.size() && items.Get(position).name() == name;
}

/// Requires items sorted by name, so that lookups are logarithmic and a small change to a large configuration
/// is cheap.
template <typename Item>
void apply(const Items<Item>& put, const Items<std::string>& removed, Items<Item>& items) {
  for (const auto& name : removed) {
    const int position = positionOf(items, name);
    if (isAt(items, position, name)) {
      items.DeleteSubrange(position, 1);
    }
  }
  for (const auto& item : put) {
    const int position = positionOf(items, item.name());
    if (isAt(items, position, item.name())) {
      *items.Mutable(position) = item;
      continue;
    }
    *items.Add() = item;
    for (int place = items.size() - 1; place > position; --place) {
      items.SwapElements(place, place - 1);
    }
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
