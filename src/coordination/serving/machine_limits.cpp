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
