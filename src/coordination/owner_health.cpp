#include "coordination/owner_health.h"

namespace oakpier {

void OwnerHealth::recordSent(const Endpoint& owner, Moment now) {
  const std::lock_guard<std::mutex> guard(mutex_);
  Record& record = records_[owner];
  if (record.unanswered == 0) {
    record.unansweredSince = now;
  }
  ++record.unanswered;
}

void OwnerHealth::recordReply(const Endpoint& owner) {
  const std::lock_guard<std::mutex> guard(mutex_);
  records_[owner].unanswered = 0;
}

bool OwnerHealth::unresponsive(const Endpoint& owner, Moment now) {
  const std::lock_guard<std::mutex> guard(mutex_);
  const auto found = records_.find(owner);
  if (found == records_.end()) {
    return false;
  }
  Record& record = found->second;
  const bool overdue =
      record.unanswered >= kUnansweredLimit && now - record.unansweredSince > kUnresponsiveAfter;
  if (overdue && now - record.probedAt > kProbePeriod) {
    record.probedAt = now;
    return false;
  }
  return overdue;
}

}  // namespace oakpier
