#include "coordination/serving/machine_limits.h"

#include <algorithm>
#include <cmath>

#include "coordination/serving/weighted_rendezvous.h"

namespace oakpier::serving {

namespace {

constexpr double kHundredths = 100;
/// Beyond any machine: a figure in another unit.
constexpr double kMostCores = kMostCapacity / kHundredths;
constexpr double kMostMegabits = 1e7;

bool within(double figure, double most) { return std::isfinite(figure) && figure >= 0 && figure <= most; }

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
  return static_cast<unsigned>(std::lround(std::clamp(cores * kHundredths, 1.0, double{kMostCapacity})));
}

std::vector<std::string> validationErrors(const MachineLimits& limits) {
  std::vector<std::string> problems;
  if (!within(limits.processorCores, kMostCores)) {
    problems.emplace_back("the processor share of the machine is not within 0 and 256 cores");
  }
  if (!within(limits.linkMegabits, kMostMegabits)) {
    problems.emplace_back("the link of the machine is not within 0 and 10,000,000 Mbit/s");
  }
  return problems;
}

}  // namespace oakpier::serving
