#pragma once

/// What a daemon believes of configuration and leafs, whoever told it.
///
/// Invariants: the configuration version never goes back within a process's life; a configuration with a
/// problem is never taken over; the state of a leaf, and whether a zone is evacuated, only moves on with the
/// source's position. Of two statements about an id the one of the later position holds, whichever life of
/// the leaf it is of: the source keeps one entry for an id, and a birth is told by a clock that may be set
/// back.
///
/// A source that comes back from an older copy contradicts what was known: its listing may name what had
/// gone, lack what had come, and tell earlier states. What was known holds on for as long as its writers need
/// to write it again, or what they have left needs to lapse; then the source's word holds. Until then a leaf
/// that had gone is not used, one that drained still drains, one that is missing is used on, and a zone that
/// either calls evacuated is. Guards against requests to leafs that have left, and against the loss of those
/// that came since the copy was made; `restored_knowledge_test` brings each about.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/serving/departed_leafs.h"
#include "coordination/serving/source_records.h"

namespace oakpier::serving {

/// Who has written to the source what a copy lacks writes it again within about two seconds of the source's
/// return (its own word); half a second is for the way here.
inline constexpr Duration kWrittenAgainWithin = std::chrono::milliseconds(2500);
/// Leafs write their entries about this often, unless settings say otherwise; after three in a row that were
/// left out the source drops the entry.
inline constexpr Duration kUsualLeafHeartbeat = std::chrono::milliseconds(1200);

/// How long after its return the source may list a leaf that does not write any more.
constexpr Duration lapseWithinFor(Duration leafHeartbeat) { return kWrittenAgainWithin + 3 * leafHeartbeat; }

struct KnowledgeSettings {
  /// A leaf whose record went without notice is used on for this long, as records also go by mistake.
  Duration removalDelay = std::chrono::milliseconds(1000);
  /// After the source has come back from a copy, what was known and is not listed holds on for this long.
  Duration writtenAgainWithin = kWrittenAgainWithin;
  /// What the copy lists of a leaf that had gone is believed when it is still listed after this time.
  Duration lapseWithin = lapseWithinFor(kUsualLeafHeartbeat);
};

/// How long a leaf may be used on after its record went: the operator's bound on use after a leave, less the
/// time that a daemon may take to hear of it, and not more than half of the bound.
Duration removalDelayFor(Duration leaveBound);

class ServingKnowledge {
 public:
  explicit ServingKnowledge(const KnowledgeSettings& settings) : settings_(settings) {}

  /// Returns the problems of a configuration that is refused.
  std::vector<std::string> onConfiguration(std::shared_ptr<const ServingConfiguration> configuration);
  /// The source has come back from a copy. The listing that is handed in next, as of `position`, may tell
  /// what is older than what is known.
  void onRestored(const SourcePosition& position, Moment now);
  /// Returns whether anything but its position has changed.
  bool onLeaf(const LeafEntry& entry, const SourcePosition& position);
  /// The record of the leaf cannot be used, so that it names no leaf: the one that it named is not used any
  /// more, without delay, as no leaf writes such a record of itself. Returns whether the leaf was known.
  bool onLeafUnusable(const std::string& id, const SourcePosition& position);
  /// Returns whether the leaf was known.
  bool onLeafRemoved(const std::string& id, const SourcePosition& position, Moment now);
  /// A whole listing as of `position` was handed in; leafs it did not name are gone.
  void onListing(const std::vector<std::string>& listedIds, const SourcePosition& position, Moment now);
  /// The operator wants a zone evacuated, or has taken that back.
  void onEvacuation(const std::string& zone, bool evacuated, const SourcePosition& position);
  /// A whole listing as of `position` named all evacuated zones; the evacuation of others has ended.
  void onEvacuationListing(const std::set<std::string>& zones, const SourcePosition& position, Moment now);
  /// What was delayed takes effect.
  void onTimer(Moment now);
  /// When `onTimer` has something to do.
  Moment nextDueAt() const;

  /// The newest view if it has changed since the last call; else null. `known`: of the source.
  std::shared_ptr<const ServingView> takeChangedView(const SourcePosition& known = {});
  /// A configuration and a whole listing are known.
  bool complete() const { return configuration_ != nullptr && listed_; }
  std::uint64_t configurationVersion() const { return configuration_ ? configuration_->version : 0; }
  /// How often an entry has told of another life of a leaf than the one that was known.
  std::uint64_t leafsBornAgain() const { return leafsBornAgain_; }
  /// Callers may need a key.
  bool hasTenants() const { return configuration_ && !configuration_->tenants.empty(); }
  /// Leafs of which the source, back from a copy, says something older than what is believed.
  std::size_t leafsDisputed() const { return disputed_.size(); }
  /// Leafs that are used on although the source does not list them.
  std::size_t leafsLeaving() const;
  std::size_t leafCount() const { return leafs_.size(); }
  /// Of all leafs that may be used or are about to be dropped.
  std::set<std::string> leafIds() const;
  std::vector<std::string> evacuatedZones() const;

 private:
  struct KnownLeaf {
    LeafEntry entry;
    SourcePosition position;
    /// When it is dropped; `kNever` while it is listed.
    Moment removeAt = kNever;
  };

  /// What a copy says of a leaf, and when that is believed if the source still says so then.
  struct DisputedLeaf {
    LeafEntry entry;
    SourcePosition position;
    Moment takeAt{};
  };

  struct KnownZone {
    bool evacuated = false;
    /// Of the last statement about the zone.
    SourcePosition position;
    /// When the evacuation ends, as the source came back without it; `kNever` otherwise.
    Moment endAt = kNever;
  };

  /// The record was there when the source came back: it may be of the copy.
  bool maybeOfCopy(const SourcePosition& position) const;
  bool takeLeaf(const LeafEntry& entry, const SourcePosition& position);
  bool takeCopiedLeaf(const LeafEntry& entry, const SourcePosition& position);
  void dispute(const LeafEntry& entry, const SourcePosition& position, Moment takeAt);
  /// A later statement about the leaf has come.
  void endDispute(const std::string& id, const SourcePosition& position);
  void beginRemoval(KnownLeaf& leaf, const SourcePosition& position, Duration delay, Moment now);
  void removeDueLeafs(Moment now);
  void takeDueDisputes(Moment now);
  void endDueEvacuations(Moment now);

  KnowledgeSettings settings_;
  std::shared_ptr<const ServingConfiguration> configuration_;
  std::shared_ptr<const RouteTable> routes_;
  std::shared_ptr<const TenantTable> tenants_;
  std::map<std::string, KnownLeaf> leafs_;
  /// Zones that the operator has ever named for evacuation.
  std::map<std::string, KnownZone> zones_;
  DepartedLeafs departed_;
  /// By id.
  std::map<std::string, DisputedLeaf> disputed_;
  /// As of which the source was first listed after it came back from a copy, and when that was.
  SourcePosition restored_;
  Moment restoredAt_{};
  std::uint64_t leafsBornAgain_ = 0;
  bool listed_ = false;
  bool changed_ = false;
};

}  // namespace oakpier::serving
