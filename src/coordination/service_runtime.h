#pragma once

/// What a daemon learns about a service while it serves it; shared by all queries of that service.

#include "coordination/budget.h"
#include "coordination/latency_tracker.h"

namespace oakpier {

struct ServiceRuntime {
  explicit ServiceRuntime(double hedgeQuantile) : latencies(hedgeQuantile) {}

  LatencyTracker latencies;
  ShareBudget hedges;
  ShareBudget retries;
};

}  // namespace oakpier
