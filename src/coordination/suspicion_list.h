#pragma once

/// Suspected members and when each suspicion expires, unless the member refutes it first.

#include <vector>

#include "state/endpoint.h"
#include "state/member_table.h"
#include "state/time.h"

namespace oakpier {

/// Not thread-safe.
class SuspicionList {
 public:
  void add(const Endpoint& subject, Moment expiresAt) { suspicions_.push_back({subject, expiresAt}); }
  /// Sets the expiry of every suspicion to `expiresAt`.
  void restart(Moment expiresAt);
  /// Removes refuted and expired suspicions; returns the members that are still suspected at expiry.
  std::vector<Endpoint> takeExpired(const MemberTable& members, Moment now);

 private:
  struct Suspicion {
    Endpoint subject;
    Moment expiresAt{};
  };
  std::vector<Suspicion> suspicions_;
};

}  // namespace oakpier
