#pragma once

/// Members that did not answer, until they refute it or their time is up.

#include <vector>

#include "state/endpoint.h"
#include "state/member_table.h"
#include "state/time.h"

namespace oakpier {

/// Not thread-safe.
class SuspicionList {
 public:
  void add(const Endpoint& subject, Moment expiresAt) { suspicions_.push_back({subject, expiresAt}); }
  /// Gives every suspicion until then.
  void restart(Moment expiresAt);
  /// Drops what was refuted and what has expired; returns the subjects that did not refute in time.
  std::vector<Endpoint> takeExpired(const MemberTable& members, Moment now);

 private:
  struct Suspicion {
    Endpoint subject;
    Moment expiresAt{};
  };
  std::vector<Suspicion> suspicions_;
};

}  // namespace oakpier
