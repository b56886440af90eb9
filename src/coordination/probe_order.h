#pragma once

/// Whom membership probes next: round-robin over a shuffled list, so that every member is probed within a
/// bounded time.

#include <optional>
#include <vector>

#include "state/endpoint.h"
#include "state/member_table.h"
#include "state/random.h"

namespace oakpier {

/// Not thread-safe.
class ProbeOrder {
 public:
  /// A member that has joined; it takes a random place in the current round.
  void add(const Endpoint& member, RandomEngine& random);
  /// The next serving member; empty when there is none.
  std::optional<Endpoint> next(const MemberTable& members, RandomEngine& random);

 private:
  std::optional<Endpoint> takeServing(const MemberTable& members);

  /// Those still to be probed in this round, the next one last.
  std::vector<Endpoint> remaining_;
};

/// Members that were declared dead. Some may be back, or alive behind a cut, so one at a time is tried.
class DeadMembers {
 public:
  void add(const Endpoint& member) { dead_.push_back(member); }
  /// One that is still held to be dead, at random; empty when there is none.
  std::optional<Endpoint> draw(const MemberTable& members, RandomEngine& random);

 private:
  std::vector<Endpoint> dead_;
};

}  // namespace oakpier
