#pragma once

/// What a daemon believes of configuration and leafs, whoever told it.
///
/// Invariants: the configuration version never goes back within a process's life; a configuration with a
/// problem is never taken over; the state of a leaf, and whether a zone is evacuated, only moves on with the
/// source's revision. Of two statements about an id the one of the later revision holds, whichever life of
/// the leaf it is of: the source keeps one entry for an id, and a birth is told by a clock that may be set
/// back.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/serving/source_records.h"

namespace oakpier::serving {

struct KnowledgeSettings {
  /// A leaf whose record went without notice is used on for this long, as records also go by mistake.
  Duration removalDelay = std::chrono::milliseconds(1000);
};

/// How long a leaf may be used on after its record went: the operator's bound on use after a leave, less the
/// time that a daemon may take to hear of it, and not more than half of the bound.
Duration removalDelayFor(Duration leaveBound);

class ServingKnowledge {
 public:
  explicit ServingKnowledge(const KnowledgeSettings& settings) : settings_(settings) {}

  /// Returns the problems of a configuration that is refused.
  std::vector<std::string> onConfiguration(std::shared_ptr<const ServingConfiguration> configuration);
  /// Returns whether anything but its revision has changed.
  bool onLeaf(const LeafEntry& entry, std::uint64_t revision);
  /// The record of the leaf cannot be used, so that it names no leaf: the one that it named is not used any
  /// more, without delay, as no leaf writes such a record of itself. Returns whether the leaf was known.
  bool onLeafUnusable(const std::string& id, std::uint64_t revision);
  /// Returns whether the leaf was known.
  bool onLeafRemoved(const std::string& id, std::uint64_t revision, Moment now);
  /// A whole listing as of `revision` was handed in; leafs it did not name are gone.
  void onListing(const std::vector<std::string>& listedIds, std::uint64_t revision, Moment now);
  /// The operator wants a zone evacuated, or has taken that back.
  void onEvacuation(const std::string& zone, bool evacuated, std::uint64_t revision);
  /// A whole listing as of `revision` named all evacuated zones; the evacuation of others has ended.
  void onEvacuationListing(const std::set<std::string>& zones, std::uint64_t revision);
  /// Removals that were delayed take effect.
  void onTime(Moment now);
  Moment nextRemovalAt() const;

  /// The newest view if it has changed since the last call; else null.
  std::shared_ptr<const ServingView> takeChangedView();
  /// A configuration and a whole listing are known.
  bool complete() const { return configuration_ != nullptr && listed_; }
  std::uint64_t configurationVersion() const { return configuration_ ? configuration_->version : 0; }
  /// How often an entry has told of another life of a leaf than the one that was known.
  std::uint64_t leafsBornAgain() const { return leafsBornAgain_; }
  std::size_t leafCount() const { return leafs_.size(); }
  std::vector<std::string> evacuatedZones() const;

 private:
  struct KnownLeaf {
    LeafEntry entry;
    std::uint64_t revision = 0;
    /// When it is dropped; `kNever` while it is listed.
    Moment removeAt = kNever;
  };

  struct KnownZone {
    bool evacuated = false;
    /// Of the last statement about the zone.
    std::uint64_t revision = 0;
  };

  void beginRemoval(KnownLeaf& leaf, std::uint64_t revision, Moment now);

  KnowledgeSettings settings_;
  std::shared_ptr<const ServingConfiguration> configuration_;
  std::shared_ptr<const RouteTable> routes_;
  std::shared_ptr<const TenantTable> tenants_;
  std::map<std::string, KnownLeaf> leafs_;
  /// Zones that the operator has ever named for evacuation.
  std::map<std::string, KnownZone> zones_;
  std::uint64_t leafsBornAgain_ = 0;
  bool listed_ = false;
  bool changed_ = false;
};

}  // namespace oakpier::serving
