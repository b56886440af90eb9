#pragma once

/// The resource limits of a daemon's machine, as configured, and the capacity derived from them that is
/// announced to other daemons.

#include <cstddef>
#include <string>
#include <vector>

namespace oakpier::serving {

/// A value of 0 means not configured.
struct MachineLimits {
  /// Processor time in cores of the reference speed in which capacities are expressed.
  double processorCores = 0;
  std::size_t memoryMegabytes = 0;
  std::size_t descriptors = 0;
  /// Mbit/s in each direction.
  double linkMegabits = 0;
};

/// Network traffic of one fully used core, in Mbit/s in each direction: 9,100 parts/s, as an owner needs
/// 0.11 ms of a core per part (docs/CAPACITY.md), times about 1,400 bytes in and out per part: an answer of
/// 1,000 bytes, its headers and the frame that forwards it.
inline constexpr double kMegabitsPerCore = 100;

/// The lower of the processor's and the link's capacity, in hundredths of a core, at least 1; 0 if neither is
/// configured.
unsigned capacityOf(const MachineLimits& limits);

/// Validates the processor and link limits. Returns one message per invalid limit, none if they are valid.
std::vector<std::string> validationErrors(const MachineLimits& limits);

}  // namespace oakpier::serving
