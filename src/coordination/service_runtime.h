#pragma once

/// Latency statistics and budgets of one service, shared by all of its queries at a daemon.

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
