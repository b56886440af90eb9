#include "coordination/serving/serving_knowledge.h"

#include <algorithm>
#include <set>
#include <utility>

namespace oakpier::serving {

namespace {

/// With the reading daemon lost, others know what it would have told after this time.
constexpr Duration kLatestNews = std::chrono::seconds(2);

/// The view needs digests of keys only. What it leaves out cannot be logged or passed on by mistake, and is
/// not held a second time: the source's record stays in memory for daemons that ask for everything.
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
  return std::clamp(leaveBound - kLatestNews, leaveBound / 6, leaveBound / 2);
}

std::vector<std::string> ServingKnowledge::onConfiguration(
    std::shared_ptr<const ServingConfiguration> configuration) {
  if (configuration_ && configuration->version <= configuration_->version) {
    return {};
  }
  std::vector<std::string> problems = problemsOf(*configuration);
  if (!problems.empty()) {
    return problems;
  }
  tenants_ = std::make_shared<const TenantTable>(configuration->tenants);
  configuration_ = withoutKeys(std::move(configuration));
  routes_ = std::make_shared<const RouteTable>(*configuration_);
  changed_ = true;
  return {};
}

void ServingKnowledge::onRestored(const SourcePosition& position, Moment now) {
  restored_ = position;
  restoredAt_ = now;
  disputed_.clear();
}

bool ServingKnowledge::maybeOfCopy(const SourcePosition& position) const {
  return position.epoch == restored_.epoch && position <= restored_;
}

bool ServingKnowledge::onLeaf(const LeafEntry& entry, const SourcePosition& position) {
  const auto found = leafs_.find(entry.id);
  if (found != leafs_.end() && found->second.position >= position) {
    return false;
  }
  return maybeOfCopy(position) ? takeCopiedLeaf(entry, position) : takeLeaf(entry, position);
}

bool ServingKnowledge::takeCopiedLeaf(const LeafEntry& entry, const SourcePosition& position) {
  const auto found = leafs_.find(entry.id);
  if (found == leafs_.end()) {
    if (!departed_.include(entry.life())) {
      return takeLeaf(entry, position);
    }
    dispute(entry, position, restoredAt_ + settings_.lapseWithin);
    return false;
  }
  KnownLeaf& known = found->second;
  const bool sameLife = known.entry.isOf(entry.life());
  if (sameLife && known.removeAt == kNever) {
    LeafEntry believed = entry;
    believed.draining = entry.draining || known.entry.draining;
    return takeLeaf(believed, position);
  }
  known.position = position;
  const Duration wait = sameLife ? settings_.lapseWithin : settings_.writtenAgainWithin;
  dispute(entry, position, restoredAt_ + wait);
  return false;
}

void ServingKnowledge::dispute(const LeafEntry& entry, const SourcePosition& position, Moment takeAt) {
  disputed_[entry.id] = DisputedLeaf{entry, position, takeAt};
}

void ServingKnowledge::endDispute(const std::string& id, const SourcePosition& position) {
  const auto disputed = disputed_.find(id);
  if (disputed != disputed_.end() && disputed->second.position < position) {
    disputed_.erase(disputed);
  }
}

bool ServingKnowledge::takeLeaf(const LeafEntry& entry, const SourcePosition& position) {
  disputed_.erase(entry.id);
  const auto [place, isNew] = leafs_.try_emplace(entry.id);
  KnownLeaf& known = place->second;
  const bool coldAgain = entry.warmupLeft > known.entry.warmupLeft;
  const bool changed = isNew || known.removeAt != kNever || coldAgain || !known.entry.sameDescription(entry);
  changed_ = changed_ || changed;
  leafsBornAgain_ += !isNew && !known.entry.isOf(entry.life()) ? 1 : 0;
  known.entry = entry;
  known.entry.position = position;
  known.position = position;
  known.removeAt = kNever;
  return changed;
}

bool ServingKnowledge::onLeafUnusable(const std::string& id, const SourcePosition& position) {
  endDispute(id, position);
  const auto found = leafs_.find(id);
  if (found == leafs_.end() || found->second.position >= position) {
    return false;
  }
  leafs_.erase(found);
  changed_ = true;
  return true;
}

bool ServingKnowledge::onLeafRemoved(const std::string& id, const SourcePosition& position, Moment now) {
  endDispute(id, position);
  const auto found = leafs_.find(id);
  if (found == leafs_.end() || found->second.position >= position) {
    return false;
  }
  beginRemoval(found->second, position, settings_.removalDelay, now);
  onTime(now);
  return true;
}

void ServingKnowledge::onListing(const std::vector<std::string>& listedIds, const SourcePosition& position,
                                 Moment now) {
  changed_ = changed_ || !listed_;
  listed_ = true;
  const std::set<std::string> listed(listedIds.begin(), listedIds.end());
  for (auto& [id, leaf] : leafs_) {
    if (listed.count(id) > 0 || leaf.position > position || leaf.removeAt != kNever) {
      continue;
    }
    const bool lostBySource = leaf.position.epoch < position.epoch;
    const Duration delay = lostBySource ? std::max(settings_.removalDelay, settings_.writtenAgainWithin)
                                        : settings_.removalDelay;
    beginRemoval(leaf, position, delay, now);
  }
  for (auto disputed = disputed_.begin(); disputed != disputed_.end();) {
    const bool dropped = listed.count(disputed->first) == 0 && disputed->second.position <= position;
    disputed = dropped ? disputed_.erase(disputed) : std::next(disputed);
  }
  onTime(now);
}

void ServingKnowledge::onEvacuation(const std::string& zone, bool evacuated, const SourcePosition& position) {
  KnownZone& known = zones_[zone];
  if (known.position >= position) {
    return;
  }
  changed_ = changed_ || known.evacuated != evacuated;
  known = KnownZone{evacuated, position, kNever};
}

void ServingKnowledge::onEvacuationListing(const std::set<std::string>& zones, const SourcePosition& position,
                                           Moment now) {
  for (auto& [zone, known] : zones_) {
    if (!known.evacuated || zones.count(zone) > 0) {
      continue;
    }
    if (known.position.epoch == position.epoch) {
      onEvacuation(zone, false, position);
    } else if (known.position < position) {
      known.position = position;
      known.endAt = now + settings_.writtenAgainWithin;
    }
  }
}

std::vector<std::string> ServingKnowledge::evacuatedZones() const {
  std::vector<std::string> evacuated;
  for (const auto& [zone, known] : zones_) {
    if (known.evacuated) {
      evacuated.push_back(zone);
    }
  }
  return evacuated;
}

std::set<std::string> ServingKnowledge::leafIds() const {
  std::set<std::string> ids;
  for (const auto& [id, leaf] : leafs_) {
    ids.insert(id);
  }
  return ids;
}

std::size_t ServingKnowledge::leafsLeaving() const {
  return static_cast<std::size_t>(std::count_if(
      leafs_.begin(), leafs_.end(), [](const auto& leaf) { return leaf.second.removeAt != kNever; }));
}

void ServingKnowledge::beginRemoval(KnownLeaf& leaf, const SourcePosition& position, Duration delay,
                                    Moment now) {
  leaf.position = position;
  leaf.removeAt = leaf.entry.draining ? now : now + delay;
}

void ServingKnowledge::onTime(Moment now) {
  removeDueLeafs(now);
  takeDueDisputes(now);
  endDueEvacuations(now);
  departed_.onTime(now);
}

void ServingKnowledge::removeDueLeafs(Moment now) {
  for (auto leaf = leafs_.begin(); leaf != leafs_.end();) {
    if (leaf->second.removeAt > now) {
      ++leaf;
      continue;
    }
    departed_.add(leaf->second.entry.life(), now);
    leaf = leafs_.erase(leaf);
    changed_ = true;
  }
}

void ServingKnowledge::takeDueDisputes(Moment now) {
  std::vector<DisputedLeaf> due;
  for (const auto& [id, disputed] : disputed_) {
    if (disputed.takeAt <= now) {
      due.push_back(disputed);
    }
  }
  for (const DisputedLeaf& disputed : due) {
    takeLeaf(disputed.entry, disputed.position);
  }
}

void ServingKnowledge::endDueEvacuations(Moment now) {
  for (auto& [zone, known] : zones_) {
    if (known.endAt <= now) {
      known.evacuated = false;
      known.endAt = kNever;
      changed_ = true;
    }
  }
}

Moment ServingKnowledge::nextDueAt() const {
  Moment next = kNever;
  for (const auto& [id, leaf] : leafs_) {
    next = std::min(next, leaf.removeAt);
  }
  for (const auto& [id, disputed] : disputed_) {
    next = std::min(next, disputed.takeAt);
  }
  for (const auto& [zone, known] : zones_) {
    next = std::min(next, known.endAt);
  }
  return next;
}

std::shared_ptr<const ServingView> ServingKnowledge::takeChangedView(const SourcePosition& known) {
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
