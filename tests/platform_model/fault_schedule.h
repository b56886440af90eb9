#pragma once

/// Random fault schedules. The same seed gives the same schedule, so that a run can be repeated.

#include <cstdint>
#include <ostream>
#include <vector>

#include "state/time.h"

namespace oakpier::serving::model {

enum class FaultKind {
  /// SIGTERM; restarted after it has exited.
  kStopGateway,
  /// SIGKILL; restarted after the duration.
  kKillGateway,
  /// SIGSTOP, and SIGCONT after the duration.
  kPauseGateway,
  /// SIGHUP with unchanged settings.
  kReloadGateway,
  /// The leaf's process crashes and restarts as a new instance.
  kCrashLeaf,
  /// The leaf stops answering and keeps its connections; it restarts as a new instance after the duration.
  kHangLeaf,
  /// The store answers 503 for the duration.
  kStoreDown,
  /// The store compacts its history: changes so far can no longer be watched.
  kStoreCompactsHistory,
  /// The operator writes a new version of the configuration.
  kNewConfiguration,
  /// A client sends a request that crashes each leaf that runs it, either a repeated or a new one.
  kCrashingRequest,
  /// The number of kinds.
  kCount,
};

const char* textOf(FaultKind kind);

struct Fault {
  /// Since the start of the traffic.
  Duration at{};
  FaultKind kind = FaultKind::kStopGateway;
  /// Index of the gateway, leaf or request, modulo their number.
  std::size_t target = 0;
  Duration duration{};
};

/// Ordered by time; faults come in series and may overlap. None begins in the last seconds of the run.
std::vector<Fault> generateFaults(Duration length, std::uint64_t seed);

/// The store becomes unavailable and is restored from a backup.
struct Restoration {
  /// Since the start of the traffic.
  Duration at{};
  /// Time until it is restored.
  Duration down{};
  /// Age of the backup.
  Duration backupAge{};
};

/// Ordered by time, some in quick succession. Drawn from another random engine than the faults, so that a
/// seed's faults are the same with and without them. None begins in the last seconds of the run.
std::vector<Restoration> generateRestorations(Duration length, std::uint64_t seed);

void printFaults(const std::vector<Fault>& faults, std::ostream& out);
/// What a gateway that is killed and started again finds in its environment.
enum class ProcessFaultKind {
  /// Whoever collects its output has gone; for as long as the process runs.
  kLogReaderGone,
  /// Another process listens at its address for callers.
  kAddressTaken,
  /// Its settings file holds only the first half.
  kSettingsIncomplete,
  /// Few descriptors may be open; for as long as the process runs.
  kFewDescriptors,
  kCount,
};

struct ProcessFault {
  Duration at{};
  ProcessFaultKind kind = ProcessFaultKind::kLogReaderGone;
  /// Selects the gateway, modulo their number.
  std::size_t target = 0;
  Duration duration{};
};

/// Drawn apart from the other faults, so that a seed has the same ones with and without these.
std::vector<ProcessFault> generateProcessFaults(Duration length, std::uint64_t seed);
void printProcessFaults(const std::vector<ProcessFault>& faults, std::ostream& out);
void printRestorations(const std::vector<Restoration>& restorations, std::ostream& out);

}  // namespace oakpier::serving::model
