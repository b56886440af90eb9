#pragma once

/// A random series of faults for a day: drawn from a seed, so that a day can be played again.

#include <cstdint>
#include <ostream>
#include <vector>

#include "state/time.h"

namespace oakpier::serving::model {

enum class FaultKind {
  /// SIGTERM; started again once it has ended.
  kStopGateway,
  /// SIGKILL; started again after the duration.
  kKillGateway,
  /// SIGSTOP, and SIGCONT after the duration.
  kPauseGateway,
  /// SIGHUP, with the settings as they were.
  kReloadGateway,
  /// The leaf's process ends; it is back as a new instance.
  kEndLeaf,
  /// The leaf answers nothing and keeps its connections; back as a new instance after the duration.
  kSilenceLeaf,
  /// The store answers 503 for the duration.
  kStoreDown,
  /// The store forgets its history.
  kStoreForgets,
  /// The operator writes a new version of the configuration.
  kNewConfiguration,
  /// A request comes that ends each leaf that runs it; the same one as before, or a new one.
  kEndingRequest,
  /// A number, not a kind.
  kCount,
};

const char* textOf(FaultKind kind);

struct Fault {
  /// Since the start of the traffic.
  Duration at{};
  FaultKind kind = FaultKind::kStopGateway;
  /// Which gateway, leaf or request, modulo how many there are.
  std::size_t target = 0;
  Duration duration{};
};

/// In rising order; they come in series and overlap. The last part of the day is left calm.
std::vector<Fault> drawFaults(Duration length, std::uint64_t seed);

/// The store goes away and comes back from an older copy of its records.
struct Restoration {
  /// Since the start of the traffic.
  Duration at{};
  /// Between its end and its return.
  Duration down{};
  /// Of the copy.
  Duration age{};
};

/// In rising order, some in quick succession; drawn apart from the faults, so that a seed's faults are the
/// same with and without them. The last part of the day is left calm.
std::vector<Restoration> drawRestorations(Duration length, std::uint64_t seed);

void printFaults(const std::vector<Fault>& faults, std::ostream& out);
void printRestorations(const std::vector<Restoration>& restorations, std::ostream& out);

}  // namespace oakpier::serving::model
