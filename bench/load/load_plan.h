#pragma once

/// What a load run sends and when: open-loop arrivals, so that a slow system does not slow its callers.

#include <cstdint>
#include <string>
#include <vector>

#include "oakpier/caller.pb.h"
#include "state/time.h"

namespace oakpier {

/// One stream of queries: a Poisson process of its own rate.
struct LoadStream {
  std::string service;
  std::string priorityClass;
  double perSecond = 0;
  std::uint32_t deadlineMs = 0;
  std::uint32_t maxRows = 0;
  double minimumCoverage = 0;
  /// Share of requests marked as not to be repeated, 0 to 1.
  double notRepeatable = 0;
  /// Ask one shard by key instead of all.
  bool byKey = false;
};

struct PlannedQuery {
  /// From the start of the run.
  Duration at{0};
  std::size_t stream = 0;
  QueryRequest request;
};

/// Reads "service:class:rate[:key=value...]"; keys: deadline, rows, coverage, once, bykey. A text when it
/// cannot.
std::string parseStream(const std::string& text, LoadStream& stream);

/// All queries of a run in order of time; the same for the same seed.
std::vector<PlannedQuery> planLoad(const std::vector<LoadStream>& streams, Duration length,
                                   std::uint64_t seed);

}  // namespace oakpier
