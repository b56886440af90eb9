#include "coordination/suspicion_list.h"

namespace oakpier {

void SuspicionList::restart(Moment expiresAt) {
  for (Suspicion& suspicion : suspicions_) {
    suspicion.expiresAt = expiresAt;
  }
}

std::vector<Endpoint> SuspicionList::takeExpired(const MemberTable& members, Moment now) {
  std::vector<Endpoint> expired;
  for (std::size_t position = 0; position < suspicions_.size();) {
    const Suspicion suspicion = suspicions_[position];
    const MemberRecord* record = members.find(suspicion.subject);
    const bool open = record != nullptr && record->condition == MEMBER_SUSPECT;
    if (open && now < suspicion.expiresAt) {
      ++position;
      continue;
    }
    suspicions_[position] = suspicions_.back();
    suspicions_.pop_back();
    if (open) {
      expired.push_back(suspicion.subject);
    }
  }
  return expired;
}

}  // namespace oakpier
