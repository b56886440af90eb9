#pragma once

/// What the machine of a daemon allows it, as its settings tell, and the one figure that other daemons are
/// told of it.

#include <cstddef>
#include <string>
#include <vector>

namespace oakpier::serving {

/// 0 where the settings do not tell.
struct MachineLimits {
  /// Cores' worth of processor time, of cores as fast as those that capacities are counted in.
  double processorCores = 0;
  std::size_t memoryMegabytes = 0;
  std::size_t descriptors = 0;
  /// Megabits a second, each way.
  double linkMegabits = 0;
};

/// Megabits a second, each way, that go with one core's work: an owner takes 0.11 ms of a core for a shard's
/// part (docs/CAPACITY.md, the hop's cost), so 9,100 a second, each about 1,400 bytes in and out: an answer
/// of 1,000 bytes and its headers, and the frame that passes it on (arithmetic).
inline constexpr double kMegabitsPerCore = 100;

/// In hundredths of a core: the least of what processor and link allow, at least 1; 0 when neither is told.
unsigned capacityOf(const MachineLimits& limits);

/// Every reason, in plain words, why the limits cannot be; empty when they can.
std::vector<std::string> validationErrors(const MachineLimits& limits);

}  // namespace oakpier::serving
