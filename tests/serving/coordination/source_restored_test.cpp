/// A configuration source that is restored from a backup assigns revisions again. Guards against daemons that
/// skip versions because they compare revisions of different epochs: those written between the restored
/// revision and the known one would never be requested.

#include <catch2/catch.hpp>

#include "serving/support/source_fleet.h"

namespace oakpier::serving {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The time until a change is in effect at every connected daemon.
constexpr Duration kConfigurationBound = seconds(3);
/// Time in which writers rewrite what the source has lost.
constexpr Duration kRewriteTime = seconds(2);

std::size_t outdatedDaemons(const SourceFleet& fleet, std::uint64_t version) {
  std::size_t count = 0;
  for (std::size_t number = 0; number < fleet.size(); ++number) {
    count += fleet.alive(number) && fleet.versionOf(number) < version ? 1 : 0;
  }
  return count;
}

}  // namespace

TEST_CASE("after the source is restored from a backup, new versions are in effect within the bound",
          "[restored]") {
  SourceFleetSettings settings;
  settings.daemons = GENERATE(1U, 8U, 74U);
  settings.firstEpoch = GENERATE(0U, 5U);
  CAPTURE(settings.daemons, settings.firstEpoch);
  SourceFleet fleet(settings);
  fleet.runFor(seconds(10));
  for (int change = 0; change < 6; ++change) {
    fleet.changeConfiguration();
    fleet.runFor(seconds(2));
  }
  fleet.setSourceDown(true);
  fleet.runFor(milliseconds(2700));
  const std::uint64_t revisionBefore = fleet.sourceRevision();
  fleet.restoreSource(seconds(11), kRewriteTime);
  REQUIRE(fleet.sourceRevision() < revisionBefore);
  fleet.setSourceDown(false);
  fleet.runFor(seconds(4));
  std::uint64_t version = 0;
  for (int change = 0; change < 3; ++change) {
    version = fleet.changeConfiguration();
    fleet.runFor(milliseconds(1300));
  }
  fleet.runFor(kConfigurationBound);
  // Until the changes after the revision from before can be requested again.
  while (fleet.sourceRevision() < revisionBefore) {
    version = fleet.changeConfiguration();
    fleet.runFor(kConfigurationBound);
  }
  REQUIRE(outdatedDaemons(fleet, version) == 0);
  version = fleet.changeConfiguration();
  fleet.runFor(kConfigurationBound);
  REQUIRE(outdatedDaemons(fleet, version) == 0);
}

}  // namespace oakpier::serving
