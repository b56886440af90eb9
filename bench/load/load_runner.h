#pragma once

/// Sends a planned load and notes how every query ended.

#include <functional>
#include <vector>

#include "load/load_plan.h"
#include "oakpier/history.pb.h"
#include "state/endpoint.h"

namespace oakpier {

struct LoadOptions {
  std::vector<Endpoint> callers;
  /// Queries on the way at once at most; more wait, and the wait counts as latency.
  std::size_t connections = 256;
  std::uint64_t seed = 1;
  /// A query whose daemon could not be connected to is sent to others this often.
  int connectAttempts = 3;
  /// Share of requests not to be repeated that the caller sends a second time all the same, to another
  /// daemon.
  double resendShare = 0;
};

/// Blocks until the last query ended. One record a query, in the plan's order, then
/// those of second sends.
std::vector<QueryRecord> runLoad(const std::vector<PlannedQuery>& plan, const LoadOptions& options);

/// Steady clock of this machine, in microseconds; the same for all processes on it.
std::uint64_t steadyNowUs();

}  // namespace oakpier
