#include "coordination/serving/machine_limits.h"

#include <algorithm>
#include <cmath>

#include "coordination/serving/weighted_rendezvous.h"

namespace oakpier::serving {

namespace {

constexpr double kHundredths = 100;
/// Upper bounds for validation, in cores and Mbit/s; higher values indicate a wrong unit.
constexpr double kMaxCores = kMaxCapacity / kHundredths;
constexpr double kMaxMegabits = 1e7;

constexpr std::size_t kMaxFileDescriptors = 200;
constexpr std::size_t kBytesPerMegabyte = std::size_t{1024} * 1024;
/// Assumed if no limit is configured.
constexpr std::size_t kDefaultMemoryMegabytes = 256;
constexpr std::size_t kReplyMemoryDivisor = 4;
constexpr std::size_t kRequestMemoryDivisor = 8;

bool within(double figure, double max) { return std::isfinite(figure) && figure >= 0 && figure <= max; }

}  // namespace

unsigned capacityOf(const MachineLimits& limits) {
  double cores = limits.processorCores;
  if (limits.linkMegabits > 0) {
    const double byLink = limits.linkMegabits / kMegabitsPerCore;
    cores = cores > 0 ? std::min(cores, byLink) : byLink;
  }
  if (cores <= 0) {
    return 0;
  }
  return static_cast<unsigned>(std::lround(std::clamp(cores * kHundredths, 1.0, double{kMaxCapacity})));
}

ProcessLimits processLimitsOf(const MachineLimits& limits, std::size_t descriptorLimit) {
  const std::size_t descriptors =
      limits.descriptors == 0 ? descriptorLimit : std::min(limits.descriptors, descriptorLimit);
  const std::size_t files = std::min(kMaxFileDescriptors, descriptors / 4);
  const std::size_t connections = descriptors - files;
  const std::size_t megabytes =
      limits.memoryMegabytes == 0 ? kDefaultMemoryMegabytes : limits.memoryMegabytes;
  ProcessLimits process;
  process.callerConnections = std::max<std::size_t>(1, connections / 2);
  process.peers = std::max<std::size_t>(1, connections / 8);
  process.replyBytes = megabytes * kBytesPerMegabyte / kReplyMemoryDivisor;
  process.requestBytes = megabytes * kBytesPerMegabyte / kRequestMemoryDivisor;
  return process;
}

std::vector<std::string> validationErrors(const MachineLimits& limits) {
  std::vector<std::string> problems;
  if (!within(limits.processorCores, kMaxCores)) {
    problems.emplace_back("the processor share of the machine is not within 0 and 256 cores");
  }
  if (!within(limits.linkMegabits, kMaxMegabits)) {
    problems.emplace_back("the link of the machine is not within 0 and 10,000,000 Mbit/s");
  }
  return problems;
}

}  // namespace oakpier::serving
