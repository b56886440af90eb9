#pragma once

/// One checker a promise. Each reads a history alone and names what breaks its promise. docs/PROOFS.md lists
/// them.

#include <string>
#include <vector>

#include "oakpier/history.pb.h"

namespace oakpier {

struct Violation {
  std::string promise;
  /// Request id, leaf or daemon that it concerns.
  std::string subject;
  std::string text;
};

using Violations = std::vector<Violation>;

/// Every row and covered shard of an answer is of the one snapshot that the answer names.
Violations checkOneSnapshot(const History& history);
/// Covered and lacking shards are disjoint and make up the shards asked of the snapshot's partition; rows
/// come from covered shards only, and no row twice; an answer not marked as cut off has every row of each
/// covered shard.
Violations checkTruthfulCoverage(const History& history);
/// An answer and all its rows belong to the request they were given for.
Violations checkOwnAnswer(const History& history);
/// No leaf executed a request that was answered as not run.
Violations checkNotRun(const History& history);
/// No shard executed a request not to be repeated more than once, over all leafs and all sends of its id.
Violations checkAtMostOnce(const History& history);
/// A leaf that left got no new work after its bound.
Violations checkLeaving(const History& history);
/// No query was cut off by a planned stop of its daemon.
Violations checkPlannedStop(const History& history);
/// A daemon process never falls back to a lower revision, one revision has one content, and an accepted one
/// is in force at every connected daemon after its bound.
Violations checkConfiguration(const History& history);

Violations checkAll(const History& history);

}  // namespace oakpier
