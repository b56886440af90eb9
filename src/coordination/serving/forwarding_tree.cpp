#include "coordination/serving/forwarding_tree.h"

namespace oakpier::serving {

std::vector<Endpoint> forwardingChildren(DaemonOrder members, const Endpoint& root, const Endpoint& self) {
  members.add(root);
  members.add(self);
  // Ranks are counted from the root.
  const std::size_t count = members.size();
  const std::size_t first = members.rankOf(root);
  const std::size_t own = (members.rankOf(self) + count - first) % count;
  std::vector<Endpoint> children;
  for (std::size_t child = own * kForwardingDegree + 1;
       child <= (own + 1) * kForwardingDegree && child < count; ++child) {
    children.push_back(members.daemons()[(first + child) % count].address);
  }
  return children;
}

}  // namespace oakpier::serving
