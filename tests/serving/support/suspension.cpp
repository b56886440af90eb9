#include "serving/support/suspension.h"

#include <ctime>

namespace {

std::chrono::seconds suspended{};

}  // namespace

extern "C" {

int __real_clock_gettime(clockid_t clock, std::timespec* time);  // NOLINT

int __wrap_clock_gettime(clockid_t clock, std::timespec* time) {  // NOLINT
  const int result = __real_clock_gettime(clock, time);
  if (clock == CLOCK_BOOTTIME) {
    time->tv_sec += suspended.count();
  }
  return result;
}
}

namespace oakpier::serving {

Suspension::Suspension() { suspended += kSuspensionTime; }

Suspension::~Suspension() { suspended -= kSuspensionTime; }

}  // namespace oakpier::serving
