#pragma once

/// The configuration, leafs and evacuations in effect at a daemon, whether read from the source or received
/// from peers. Not thread-safe.
///
/// Invariants: the configuration version never decreases within a process; an invalid configuration is never
/// applied; leafs and evacuations change only with a later position of the source. Of two records of one leaf
/// id, that of the later position wins, whichever incarnation it is of: the source keeps one entry per id,
/// and start times are taken from a clock that may be set back.
///
/// A source that is restored from an older backup contradicts the known state: its listing may contain
/// deleted records, lack new ones, and hold earlier versions. The known state has priority until its writers
/// had time to rewrite it, or entries without a writer had time to expire; then the source's records apply.
/// Until then a deleted leaf is not used, a draining one still drains, one that the backup lacks stays in
/// use, and a zone is evacuated if either says so. This prevents requests to leafs that have left, and the
/// loss of leafs that were added after the backup.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/serving/leaf_tombstones.h"
#include "coordination/serving/source_records.h"

namespace oakpier::serving {

/// Writers rewrite what a backup lacks within 2 s of the source's return, as the source guarantees; 500 ms
/// are for the way to this daemon.
inline constexpr Duration kRewriteWindow = std::chrono::milliseconds(2500);
/// The default period at which leafs write their entries. The source drops an entry after three missed
/// writes.
inline constexpr Duration kDefaultLeafHeartbeat = std::chrono::milliseconds(1200);

/// How long after its return the source may list a leaf that does not write any more.
constexpr Duration expiryWindowFor(Duration leafHeartbeat) { return kRewriteWindow + 3 * leafHeartbeat; }

struct ServingStateSettings {
  /// A leaf whose record is deleted without draining first stays in use for this long, because records are
  /// also deleted by mistake.
  Duration removalDelay = std::chrono::milliseconds(1000);
  /// The operator's bound on the use of a leaf after its departure. If a deletion is learned of late, the
  /// removal delay is shortened to keep it.
  Duration leaveBound = std::chrono::seconds(3);
  /// After the source was restored, known records that the backup lacks stay in effect for this long.
  Duration rewriteWindow = kRewriteWindow;
  /// A deleted leaf that the backup lists is used if it is still listed after this time.
  Duration expiryWindow = expiryWindowFor(kDefaultLeafHeartbeat);
};

/// The removal delay for the operator's bound on use after a leaf's departure: the bound less the time until
/// a daemon receives the deletion, clamped between a sixth and a half of the bound.
Duration removalDelayFor(Duration leaveBound);

/// `leaveBound`: the operator's bound; `leafHeartbeat`: the period at which leafs write their entries.
ServingStateSettings stateSettingsFor(Duration leaveBound, Duration leafHeartbeat);

class ServingState {
 public:
  explicit ServingState(const ServingStateSettings& settings) : settings_(settings) {}

  /// What is applied from now on was changed at the source after `moment`. `kNever`: unknown, as the source
  /// was unavailable and may have dropped records by mistake meanwhile.
  void setChangedAfter(Moment moment) { changedAfter_ = moment; }
  /// Returns why the configuration was rejected; empty if it was applied or is not newer.
  std::vector<std::string> onConfiguration(std::shared_ptr<const ServingConfiguration> configuration);
  /// The source was restored from a backup. The next listing, as of `position`, may contain older records
  /// than the known ones.
  void onRestored(const SourcePosition& position, Moment now);
  /// Returns whether the entry changed anything but its position.
  bool onLeaf(const LeafEntry& entry, const SourcePosition& position);
  /// The leaf's record is invalid: a known leaf of that id is removed without delay, because no leaf writes
  /// such a record itself. Returns whether the leaf was known.
  bool onLeafUnusable(const std::string& id, const SourcePosition& position);
  /// Returns whether the leaf was known.
  bool onLeafRemoved(const std::string& id, const SourcePosition& position, Moment now);
  /// All records of a listing as of `position` were applied: removes leafs that it does not name.
  void onListing(const std::vector<std::string>& listedIds, const SourcePosition& position, Moment now);
  /// The operator has started or ended the evacuation of a zone.
  void onEvacuation(const std::string& zone, bool evacuated, const SourcePosition& position);
  /// A complete listing as of `position` named all evacuated zones: ends other evacuations.
  void onEvacuationListing(const std::set<std::string>& zones, const SourcePosition& position, Moment now);
  /// Applies changes whose delay is over.
  void onTimer(Moment now);
  /// When `onTimer` next changes what is in effect; the expiry of tombstones does not count.
  Moment nextDueAt() const;

  /// The current view if it has changed since the last call; else null. `known`: the source's position to
  /// store in the view.
  std::shared_ptr<const ServingView> takeChangedView(const SourcePosition& known = {});
  /// A configuration and a complete listing are known.
  bool complete() const { return configuration_ != nullptr && listed_; }
  std::uint64_t configurationVersion() const { return configuration_ ? configuration_->version : 0; }
  /// Number of entries of another incarnation than the known one.
  std::uint64_t leafsRestarted() const { return leafsRestarted_; }
  /// The configuration has tenants, so that requests may need a key.
  bool hasTenants() const { return configuration_ && !configuration_->tenants.empty(); }
  /// Leafs for which the backup holds an older entry that is not applied yet.
  std::size_t leafsConflicting() const { return conflicts_.size(); }
  /// Leafs in use although the source does not list them.
  std::size_t leafsPendingRemoval() const;
  std::size_t leafCount() const { return leafs_.size(); }
  /// Ids of all leafs in use, including those about to be removed.
  std::set<std::string> leafIds() const;
  std::vector<std::string> evacuatedZones() const;

 private:
  struct KnownLeaf {
    LeafEntry entry;
    SourcePosition position;
    /// When it is removed; `kNever` while the source lists it.
    Moment removeAt = kNever;
  };

  /// A leaf's entry from the backup, and when it is applied unless a newer one is written.
  struct ConflictingLeaf {
    LeafEntry entry;
    SourcePosition position;
    Moment applyAt{};
  };

  struct KnownZone {
    bool evacuated = false;
    /// The position of the last record about the zone.
    SourcePosition position;
    /// When an evacuation ends that the backup lacks; else `kNever`.
    Moment endAt = kNever;
  };

  /// The record existed when the source was restored, so that it may be from the backup.
  bool mayBeFromBackup(const SourcePosition& position) const;
  bool applyLeaf(const LeafEntry& entry, const SourcePosition& position);
  bool applyLeafFromBackup(const LeafEntry& entry, const SourcePosition& position);
  void addConflict(const LeafEntry& entry, const SourcePosition& position, Moment applyAt);
  /// Drops the backup's entry of a leaf when a later record of it is received.
  void resolveConflict(const std::string& id, const SourcePosition& position);
  /// When a leaf is removed whose deletion is learned of now.
  Moment removalTime(Moment now) const;
  void beginRemoval(KnownLeaf& leaf, const SourcePosition& position, Moment removeAt, Moment now);
  void removeDueLeafs(Moment now);
  void applyDueConflicts(Moment now);
  void endDueEvacuations(Moment now);

  ServingStateSettings settings_;
  std::shared_ptr<const ServingConfiguration> configuration_;
  std::shared_ptr<const RouteTable> routes_;
  std::shared_ptr<const TenantTable> tenants_;
  std::map<std::string, KnownLeaf> leafs_;
  /// All zones for which an evacuation or its end was received, by name.
  std::map<std::string, KnownZone> zones_;
  LeafTombstones tombstones_;
  /// By leaf id.
  std::map<std::string, ConflictingLeaf> conflicts_;
  /// The position of the first listing after the source was restored, and when it was read.
  SourcePosition restoredPosition_;
  Moment restoredAt_{};
  Moment changedAfter_ = kNever;
  std::uint64_t leafsRestarted_ = 0;
  bool listed_ = false;
  bool changed_ = false;
};

}  // namespace oakpier::serving
