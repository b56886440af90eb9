#pragma once

/// Order of membership probes: round-robin over a shuffled list, which bounds the time between two probes of
/// a member.

#include <optional>
#include <vector>

#include "state/endpoint.h"
#include "state/member_table.h"
#include "state/random.h"

namespace oakpier {

/// Not thread-safe.
class ProbeOrder {
 public:
  /// Inserts a joined member at a random position in the current round.
  void add(const Endpoint& member, RandomEngine& random);
  /// The next serving member; empty when there is none.
  std::optional<Endpoint> next(const MemberTable& members, RandomEngine& random);

 private:
  std::optional<Endpoint> popServing(const MemberTable& members);

  /// Members not yet probed in this round; the next one is last.
  std::vector<Endpoint> remaining_;
};

/// Members declared dead. They may have restarted, or be alive across a network partition, so one at a time
/// is probed.
class DeadMembers {
 public:
  void add(const Endpoint& member) { dead_.push_back(member); }
  /// A random member that is still recorded as dead; empty when there is none.
  std::optional<Endpoint> draw(const MemberTable& members, RandomEngine& random);

 private:
  std::vector<Endpoint> dead_;
};

}  // namespace oakpier
