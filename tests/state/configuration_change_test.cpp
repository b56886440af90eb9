#include "state/configuration_change.h"

#include "support/property.h"

namespace oakpier {

namespace {

/// A configuration with a subset of a few leafs, each with drawn slots.
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

TEST_CASE("a difference applied to its origin gives its target", "[state]") {
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
