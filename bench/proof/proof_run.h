#pragma once

/// The proof over real processes: a small fleet under load while faults drawn from a seed strike it, alone
/// and together; everything seen goes into one history for the checkers.

#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "oakpier/history.pb.h"
#include "state/time.h"

namespace oakpier {

/// What may strike. Each is named in the report with the number of times it did.
enum class FaultKind {
  kKillLeaf,
  kFreezeLeaf,
  kKillDaemon,
  kFreezeDaemon,
  kStopDaemon,
  kCutZone,
  kPlatformOutage,
  kLeafLeaves,
  kNextSnapshot,
  kRepartition,
  kOperatorRace,
  kUnrulyLeaf,
};

const std::vector<FaultKind>& allFaultKinds();
const char* nameOf(FaultKind kind);

struct ProofOptions {
  std::string example;
  std::string workFolder;
  std::string binaries;
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(30);
  /// Queries a second of each of the two services.
  double perSecond = 60;
  /// Faults that overlap.
  std::size_t concurrentFaults = 2;
  std::vector<FaultKind> kinds = allFaultKinds();
  std::vector<std::string> daemonFlags;
};

struct ProofResult {
  History history;
  std::map<FaultKind, std::size_t> faults;
  std::map<std::string, std::size_t> outcomes;
  /// Empty, or why the fleet did not come back to full service after the last fault.
  std::string afterwards;
};

ProofResult runProof(const ProofOptions& options);

}  // namespace oakpier
