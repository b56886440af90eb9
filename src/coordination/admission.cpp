#include "coordination/admission.h"

#include <algorithm>

namespace oakpier {

bool Admission::admit(const ClassEntry& entry) {
  const std::lock_guard<std::mutex> guard(mutex_);
  std::uint32_t& classInFlight = byClass_[entry.name];
  const std::uint32_t total = inFlight_.load(std::memory_order_relaxed);
  const bool full =
      enabled_ ? (classInFlight >= entry.maxInFlight || total >= limitOf(entry)) : total >= maxQueries_;
  if (full) {
    return false;
  }
  ++classInFlight;
  inFlight_.fetch_add(1, std::memory_order_relaxed);
  return true;
}

void Admission::release(const ClassEntry& entry, Duration elapsed) {
  const std::lock_guard<std::mutex> guard(mutex_);
  --byClass_[entry.name];
  inFlight_.fetch_sub(1, std::memory_order_relaxed);
  const std::int64_t previous = queryTimeUs_.load(std::memory_order_relaxed);
  queryTimeUs_.store(previous + (elapsed.count() - previous) / kSmoothing, std::memory_order_relaxed);
}

Duration Admission::retryAfter() const {
  return std::max(Duration(1000), Duration(queryTimeUs_.load(std::memory_order_relaxed)));
}

std::uint32_t Admission::limitOf(const ClassEntry& entry) const {
  const double share = std::max(kMinShare, 1.0 - kReservePerPriority * entry.priority);
  return std::max(1U, static_cast<std::uint32_t>(share * maxQueries_));
}

}  // namespace oakpier
