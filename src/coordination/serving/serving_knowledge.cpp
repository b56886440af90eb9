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

bool ServingKnowledge::onLeaf(const LeafEntry& entry, std::uint64_t revision) {
  const auto [position, isNew] = leafs_.try_emplace(entry.id);
  KnownLeaf& known = position->second;
  if (!isNew && known.revision >= revision) {
    return false;
  }
  const bool coldAgain = entry.warmupLeft > known.entry.warmupLeft;
  const bool changed = isNew || known.removeAt != kNever || coldAgain || !known.entry.sameAs(entry);
  changed_ = changed_ || changed;
  leafsBornAgain_ += !isNew && !known.entry.isOf(entry.life()) ? 1 : 0;
  known.entry = entry;
  known.entry.revision = revision;
  known.revision = revision;
  known.removeAt = kNever;
  return changed;
}

bool ServingKnowledge::onLeafUnusable(const std::string& id, std::uint64_t revision) {
  const auto found = leafs_.find(id);
  if (found == leafs_.end() || found->second.revision >= revision) {
    return false;
  }
  leafs_.erase(found);
  changed_ = true;
  return true;
}

bool ServingKnowledge::onLeafRemoved(const std::string& id, std::uint64_t revision, Moment now) {
  const auto found = leafs_.find(id);
  if (found == leafs_.end() || found->second.revision >= revision) {
    return false;
  }
  beginRemoval(found->second, revision, now);
  onTime(now);
  return true;
}

void ServingKnowledge::onListing(const std::vector<std::string>& listedIds, std::uint64_t revision,
                                 Moment now) {
  changed_ = changed_ || !listed_;
  listed_ = true;
  const std::set<std::string> listed(listedIds.begin(), listedIds.end());
  for (auto& [id, leaf] : leafs_) {
    if (listed.count(id) == 0 && leaf.revision <= revision && leaf.removeAt == kNever) {
      beginRemoval(leaf, revision, now);
    }
  }
  onTime(now);
}

void ServingKnowledge::onEvacuation(const std::string& zone, bool evacuated, std::uint64_t revision) {
  KnownZone& known = zones_[zone];
  if (known.revision >= revision) {
    return;
  }
  changed_ = changed_ || known.evacuated != evacuated;
  known = KnownZone{evacuated, revision};
}

void ServingKnowledge::onEvacuationListing(const std::set<std::string>& zones, std::uint64_t revision) {
  for (auto& [zone, known] : zones_) {
    if (known.evacuated && zones.count(zone) == 0) {
      onEvacuation(zone, false, revision);
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

void ServingKnowledge::beginRemoval(KnownLeaf& leaf, std::uint64_t revision, Moment now) {
  leaf.revision = revision;
  leaf.removeAt = leaf.entry.draining ? now : now + settings_.removalDelay;
}

void ServingKnowledge::onTime(Moment now) {
  for (auto leaf = leafs_.begin(); leaf != leafs_.end();) {
    if (leaf->second.removeAt > now) {
      ++leaf;
      continue;
    }
    leaf = leafs_.erase(leaf);
    changed_ = true;
  }
}

Moment ServingKnowledge::nextRemovalAt() const {
  Moment next = kNever;
  for (const auto& [id, leaf] : leafs_) {
    next = std::min(next, leaf.removeAt);
  }
  return next;
}

std::shared_ptr<const ServingView> ServingKnowledge::takeChangedView() {
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
  return view;
}

}  // namespace oakpier::serving
