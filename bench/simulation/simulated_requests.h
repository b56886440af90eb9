#pragma once

/// Queries under a simulated clock and network: the real state machines of entry and owner daemons against
/// modelled leafs, under loss, delay, crashes, pauses, crossed answers and changing snapshots. It writes a
/// history that the checkers read.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "coordination/entry_query.h"
#include "coordination/leaf_dispatcher.h"
#include "oakpier/history.pb.h"

namespace oakpier {

struct RequestSimulationOptions {
  std::uint64_t seed = 1;
  std::size_t owners = 3;
  std::size_t shards = 4;
  std::size_t replicas = 2;
  std::size_t queries = 30;
  /// Shares, 0 to 1, for each frame or exchange.
  double frameLoss = 0;
  double exchangeBroken = 0;
  double exchangeRefused = 0;
  double crossedAnswers = 0;
  double slowExecutions = 0;
  double notRepeatable = 0.3;
  double shedding = 0;
  /// Whether owners crash and pause, and leafs move to the next snapshot and partition, while queries run.
  bool ownerFaults = false;
  bool snapshotChanges = false;
  /// For proofs that the checkers see a fault: as if the owner's check of answers were missing.
  bool trustAnswers = false;
};

/// Runs all queries to their end.
History simulateRequests(const RequestSimulationOptions& options);

}  // namespace oakpier
