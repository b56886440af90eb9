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

/// What one process may use, so that neither its descriptors nor its memory run out.
struct ProcessLimits {
  std::size_t callerConnections = 0;
  /// Peers connected to at a time, each with up to three descriptors.
  std::size_t peers = 0;
  /// Memory of replies on all connections to leafs, in bytes.
  std::size_t replyBytes = 0;
  /// Memory of requests that are being read, in bytes.
  std::size_t requestBytes = 0;
};

/// `descriptorLimit`: the system's limit on open descriptors of the process; the lower of it and the
/// configured one counts. Callers get half of the descriptors and peers three eighths; the rest is for leafs
/// and files.
ProcessLimits processLimitsOf(const MachineLimits& limits, std::size_t descriptorLimit);

/// Validates the processor and link limits. Returns one message per invalid limit, none if they are valid.
std::vector<std::string> validationErrors(const MachineLimits& limits);

}  // namespace oakpier::serving
