#include "coordination/serving/forwarding_tree.h"

#include <algorithm>

namespace oakpier::serving {

std::vector<Endpoint> forwardTo(std::vector<Endpoint> members, const Endpoint& root, const Endpoint& self) {
  for (const Endpoint& needed : {root, self}) {
    const auto place = std::lower_bound(members.begin(), members.end(), needed);
    if (place == members.end() || *place != needed) {
      members.insert(place, needed);
    }
  }
  // Places are counted from the root on.
  const std::size_t count = members.size();
  const auto placeOf = [&](const Endpoint& member) {
    return static_cast<std::size_t>(std::lower_bound(members.begin(), members.end(), member) -
                                    members.begin());
  };
  const std::size_t first = placeOf(root);
  const std::size_t own = (placeOf(self) + count - first) % count;
  std::vector<Endpoint> children;
  for (std::size_t child = own * kForwardingDegree + 1;
       child <= (own + 1) * kForwardingDegree && child < count; ++child) {
    children.push_back(members[(first + child) % count]);
  }
  return children;
}

}  // namespace oakpier::serving
