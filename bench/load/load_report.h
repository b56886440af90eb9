#pragma once

/// Sums up a load run: latency from the intended send time, coverage, outcomes, and extra leaf work.

#include <nlohmann/json.hpp>
#include <vector>

#include "load/load_plan.h"
#include "oakpier/history.pb.h"

namespace oakpier {

/// Totals of the leafs' own logs before and after a run.
struct LeafWork {
  std::uint64_t executions = 0;
  std::uint64_t cancelled = 0;
};

/// One object a stream: count, outcomes, latency percentiles in milliseconds (answered queries that are
/// complete or partial), mean coverage, and extra leaf requests as a share of needed ones.
nlohmann::ordered_json reportStreams(const std::vector<LoadStream>& streams,
                                     const std::vector<PlannedQuery>& plan,
                                     const std::vector<QueryRecord>& records);

/// Leaf executions over what the answered queries needed: 1.0 = no extra work.
nlohmann::ordered_json reportLeafWork(const std::vector<QueryRecord>& records, const LeafWork& work);

}  // namespace oakpier
