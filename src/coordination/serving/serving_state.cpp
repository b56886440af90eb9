#include "coordination/serving/serving_state.h"

#include <algorithm>
#include <set>
#include <utility>

namespace oakpier::serving {

namespace {

/// How late the other daemons know at most what a lost reader would have sent them.
constexpr Duration kMaxUpdateDelay = std::chrono::seconds(2);
/// Part of the operator's bound that a shortened removal delay leaves, for requests on their way to the leaf
/// and for the way of an update.
constexpr Duration kDepartureMargin = std::chrono::milliseconds(100);

/// The view needs only the digests of keys. Leaving out the keys prevents that they are logged or sent by
/// mistake, and saves a second copy: the relay still holds the source's record.
std::shared_ptr<const ServingConfiguration> withoutKeys(
    std::shared_ptr<const ServingConfiguration> configuration) {
  if (configuration->tenants.empty()) {
    return configuration;
  }
  auto kept = std::make_shared<ServingConfiguration>(*configuration);
  for (Tenant& tenant : kept->tenants) {
    tenant.keys = {};
  }
  return kept;
}

}  // namespace

Duration removalDelayFor(Duration leaveBound) {
  return std::clamp(leaveBound - kMaxUpdateDelay, leaveBound / 6, leaveBound / 2);
}

ServingStateSettings stateSettingsFor(Duration leaveBound, Duration leafHeartbeat) {
  ServingStateSettings settings;
  settings.removalDelay = removalDelayFor(leaveBound);
  settings.leaveBound = leaveBound;
  settings.expiryWindow = expiryWindowFor(leafHeartbeat);
  return settings;
}

std::vector<std::string> ServingState::onConfiguration(
    std::shared_ptr<const ServingConfiguration> configuration) {
  if (configuration_ && configuration->version <= configuration_->version) {
    return {};
  }
  std::vector<std::string> errors = validationErrors(*configuration);
  if (!errors.empty()) {
    return errors;
  }
  tenants_ = std::make_shared<const TenantTable>(configuration->tenants);
  configuration_ = withoutKeys(std::move(configuration));
  routes_ = std::make_shared<const RouteTable>(*configuration_);
  changed_ = true;
  return {};
}

void ServingState::onRestored(const SourcePosition& position, Moment now) {
  restoredPosition_ = position;
  restoredAt_ = now;
  conflicts_.clear();
}

bool ServingState::mayBeFromBackup(const SourcePosition& position) const {
  return position.epoch == restoredPosition_.epoch && position <= restoredPosition_;
}

bool ServingState::onLeaf(const LeafEntry& entry, const SourcePosition& position) {
  const auto found = leafs_.find(entry.id);
  if (found != leafs_.end() && found->second.position >= position) {
    return false;
  }
  return mayBeFromBackup(position) ? applyLeafFromBackup(entry, position) : applyLeaf(entry, position);
}

bool ServingState::applyLeafFromBackup(const LeafEntry& entry, const SourcePosition& position) {
  const auto found = leafs_.find(entry.id);
  if (found == leafs_.end()) {
    if (!tombstones_.contains(entry.incarnation())) {
      return applyLeaf(entry, position);
    }
    addConflict(entry, position, restoredAt_ + settings_.expiryWindow);
    return false;
  }
  KnownLeaf& known = found->second;
  const bool sameIncarnation = known.entry.isOf(entry.incarnation());
  if (sameIncarnation && known.removeAt == kNever) {
    LeafEntry merged = entry;
    merged.draining = entry.draining || known.entry.draining;
    return applyLeaf(merged, position);
  }
  known.position = position;
  const Duration wait = sameIncarnation ? settings_.expiryWindow : settings_.rewriteWindow;
  addConflict(entry, position, restoredAt_ + wait);
  return false;
}

void ServingState::addConflict(const LeafEntry& entry, const SourcePosition& position, Moment applyAt) {
  conflicts_[entry.id] = ConflictingLeaf{entry, position, applyAt};
}

void ServingState::resolveConflict(const std::string& id, const SourcePosition& position) {
  const auto conflict = conflicts_.find(id);
  if (conflict != conflicts_.end() && conflict->second.position < position) {
    conflicts_.erase(conflict);
  }
}

bool ServingState::applyLeaf(const LeafEntry& entry, const SourcePosition& position) {
  conflicts_.erase(entry.id);
  const auto [entered, isNew] = leafs_.try_emplace(entry.id);
  KnownLeaf& known = entered->second;
  const bool warmupRestarted = entry.warmupLeft > known.entry.warmupLeft;
  const bool changed =
      isNew || known.removeAt != kNever || warmupRestarted || !known.entry.sameDescription(entry);
  changed_ = changed_ || changed;
  leafsRestarted_ += !isNew && !known.entry.isOf(entry.incarnation()) ? 1 : 0;
  known.entry = entry;
  known.entry.position = position;
  known.position = position;
  known.removeAt = kNever;
  return changed;
}

bool ServingState::onLeafUnusable(const std::string& id, const SourcePosition& position) {
  resolveConflict(id, position);
  const auto found = leafs_.find(id);
  if (found == leafs_.end() || found->second.position >= position) {
    return false;
  }
  leafs_.erase(found);
  changed_ = true;
  return true;
}

bool ServingState::onLeafRemoved(const std::string& id, const SourcePosition& position, Moment now) {
  resolveConflict(id, position);
  const auto found = leafs_.find(id);
  if (found == leafs_.end() || found->second.position >= position) {
    return false;
  }
  beginRemoval(found->second, position, removalTime(now), now);
  onTimer(now);
  return true;
}

void ServingState::onListing(const std::vector<std::string>& listedIds, const SourcePosition& position,
                             Moment now) {
  changed_ = changed_ || !listed_;
  listed_ = true;
  const std::set<std::string> listed(listedIds.begin(), listedIds.end());
  for (auto& [id, leaf] : leafs_) {
    if (listed.count(id) > 0 || leaf.position > position || leaf.removeAt != kNever) {
      continue;
    }
    const bool lostBySource = leaf.position.epoch < position.epoch;
    const Duration rewriteDelay = std::max(settings_.removalDelay, settings_.rewriteWindow);
    beginRemoval(leaf, position, lostBySource ? now + rewriteDelay : removalTime(now), now);
  }
  for (auto conflict = conflicts_.begin(); conflict != conflicts_.end();) {
    const bool dropped = listed.count(conflict->first) == 0 && conflict->second.position <= position;
    conflict = dropped ? conflicts_.erase(conflict) : std::next(conflict);
  }
  onTimer(now);
}

void ServingState::onEvacuation(const std::string& zone, bool evacuated, const SourcePosition& position) {
  KnownZone& known = zones_[zone];
  if (known.position >= position) {
    return;
  }
  changed_ = changed_ || known.evacuated != evacuated;
  known = KnownZone{evacuated, position, kNever};
}

void ServingState::onEvacuationListing(const std::set<std::string>& zones, const SourcePosition& position,
                                       Moment now) {
  for (auto& [zone, known] : zones_) {
    if (!known.evacuated || zones.count(zone) > 0) {
      continue;
    }
    if (known.position.epoch == position.epoch) {
      onEvacuation(zone, false, position);
    } else if (known.position < position) {
      known.position = position;
      known.endAt = now + settings_.rewriteWindow;
    }
  }
}

std::vector<std::string> ServingState::evacuatedZones() const {
  std::vector<std::string> evacuated;
  for (const auto& [zone, known] : zones_) {
    if (known.evacuated) {
      evacuated.push_back(zone);
    }
  }
  return evacuated;
}

std::set<std::string> ServingState::leafIds() const {
  std::set<std::string> ids;
  for (const auto& [id, leaf] : leafs_) {
    ids.insert(id);
  }
  return ids;
}

std::size_t ServingState::leafsPendingRemoval() const {
  return static_cast<std::size_t>(std::count_if(
      leafs_.begin(), leafs_.end(), [](const auto& leaf) { return leaf.second.removeAt != kNever; }));
}

Moment ServingState::removalTime(Moment now) const {
  const Moment full = now + settings_.removalDelay;
  // Once the bound has passed it cannot be kept, and records that lapsed may be written again.
  if (changedAfter_ == kNever || now - changedAfter_ >= settings_.leaveBound) {
    return full;
  }
  const Moment latest = changedAfter_ + settings_.leaveBound - kDepartureMargin;
  return std::min(full, std::max(now, latest));
}

void ServingState::beginRemoval(KnownLeaf& leaf, const SourcePosition& position, Moment removeAt,
                                Moment now) {
  leaf.position = position;
  leaf.removeAt = leaf.entry.draining ? now : removeAt;
}

void ServingState::onTimer(Moment now) {
  removeDueLeafs(now);
  applyDueConflicts(now);
  endDueEvacuations(now);
  tombstones_.onTimer(now);
}

void ServingState::removeDueLeafs(Moment now) {
  for (auto leaf = leafs_.begin(); leaf != leafs_.end();) {
    if (leaf->second.removeAt > now) {
      ++leaf;
      continue;
    }
    tombstones_.add(leaf->second.entry.incarnation(), now);
    leaf = leafs_.erase(leaf);
    changed_ = true;
  }
}

void ServingState::applyDueConflicts(Moment now) {
  std::vector<ConflictingLeaf> due;
  for (const auto& [id, conflict] : conflicts_) {
    if (conflict.applyAt <= now) {
      due.push_back(conflict);
    }
  }
  for (const ConflictingLeaf& conflict : due) {
    applyLeaf(conflict.entry, conflict.position);
  }
}

void ServingState::endDueEvacuations(Moment now) {
  for (auto& [zone, known] : zones_) {
    if (known.endAt <= now) {
      known.evacuated = false;
      known.endAt = kNever;
      changed_ = true;
    }
  }
}

Moment ServingState::nextDueAt() const {
  Moment next = kNever;
  for (const auto& [id, leaf] : leafs_) {
    next = std::min(next, leaf.removeAt);
  }
  for (const auto& [id, conflict] : conflicts_) {
    next = std::min(next, conflict.applyAt);
  }
  for (const auto& [zone, known] : zones_) {
    next = std::min(next, known.endAt);
  }
  return next;
}

std::shared_ptr<const ServingView> ServingState::takeChangedView(const SourcePosition& known) {
  if (!changed_) {
    return nullptr;
  }
  changed_ = false;
  auto leafs = std::make_shared<LeafsByService>();
  for (const auto& [id, leaf] : leafs_) {
    auto& listed = (*leafs)[leaf.entry.service];
    listed.push_back(leaf.entry);
    const auto zone = zones_.find(leaf.entry.zone);
    listed.back().evacuated = zone != zones_.end() && zone->second.evacuated;
  }
  auto view = std::make_shared<ServingView>();
  view->configuration = configuration_;
  view->routes = routes_;
  view->tenants = tenants_;
  view->leafs = std::move(leafs);
  view->position = known;
  return view;
}

}  // namespace oakpier::serving
