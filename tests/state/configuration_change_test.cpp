#include "state/configuration_change.h"

#include "support/property.h"

namespace oakpier {

namespace {

/// A random subset of five leafs with random numbers of slots.
Configuration drawConfiguration() {
  Configuration configuration;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    if (*rc::gen::arbitrary<bool>()) {
      Leaf& leaf = *configuration.add_leaves();
      leaf.set_name(name);
      leaf.set_slots(*rc::gen::inRange(1U, 4U));
    }
  }
  return configuration;
}

}  // namespace

TEST_CASE("applying the difference of two configurations to the first yields the second", "[state]") {
  OAKPIER_PROPERTY("apply(from, difference(from, to)) == to", [] {
    Configuration from = drawConfiguration();
    Configuration to = drawConfiguration();
    ConfigurationChange change = differenceBetween(from, to);
    RC_ASSERT(isEmpty(change) == (from.SerializeAsString() == to.SerializeAsString()));
    change.set_revision(7);
    to.set_revision(7);
    applyChange(change, from);
    RC_ASSERT(from.SerializeAsString() == to.SerializeAsString());
  });
}

}  // namespace oakpier
