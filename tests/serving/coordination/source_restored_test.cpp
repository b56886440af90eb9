/// A configuration source that comes back from an older copy of its records.
///
/// What users saw: requests were handled by a configuration that had been replaced twelve seconds and three
/// versions before, at every daemon alike, and a route that had been added was not served, until the next
/// change made all daemons catch up within 12 ms.
///
/// Order of events: all daemons know version 24 at revision 78; the source answers nobody for 2.7 s; it comes
/// back from a copy some seconds old, so that its revision is below 78; daemons that ask for the changes
/// after 78 are told that it has no such history and list it, and drop the listing, as its revision is below
/// the one that they know; the operator writes again what was lost, then three further versions, of which the
/// last gets revision 78 once more; from then on changes "after 78" are asked for and answered, and hold none
/// of the three.
///
/// Cause: a revision was taken for a number that only rises and names one place in one history. Where the
/// history can begin anew, only the epoch and the revision together do.
///
/// Evidence: all daemons logged "history gone" and "regained" by turns for 6 s with known revision 78
/// throughout; none logged a refused record; the version after 24 that they published was the fourth after
/// it, as revision 79, while the operator's log has three acknowledged versions between.

#include <catch2/catch.hpp>

#include "serving/support/source_fleet.h"

namespace oakpier::serving {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A change is in force at every daemon in touch within this time.
constexpr Duration kConfigurationBound = seconds(3);
/// Writers write again what the source has lost within this time.
constexpr Duration kWrittenAgain = seconds(2);

std::size_t daemonsBelow(const SourceFleet& fleet, std::uint64_t version) {
  std::size_t count = 0;
  for (std::size_t number = 0; number < fleet.size(); ++number) {
    count += fleet.alive(number) && fleet.versionOf(number) < version ? 1 : 0;
  }
  return count;
}

}  // namespace

TEST_CASE("after the source has come back from an older copy each new version is in force in time",
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
  fleet.restoreSource(seconds(11), kWrittenAgain);
  REQUIRE(fleet.sourceRevision() < revisionBefore);
  fleet.setSourceDown(false);
  fleet.runFor(seconds(4));
  std::uint64_t version = 0;
  for (int change = 0; change < 3; ++change) {
    version = fleet.changeConfiguration();
    fleet.runFor(milliseconds(1300));
  }
  fleet.runFor(kConfigurationBound);
  // Far enough that "the changes after the revision before" are asked for and answered again.
  while (fleet.sourceRevision() < revisionBefore) {
    version = fleet.changeConfiguration();
    fleet.runFor(kConfigurationBound);
  }
  REQUIRE(daemonsBelow(fleet, version) == 0);
  version = fleet.changeConfiguration();
  fleet.runFor(kConfigurationBound);
  REQUIRE(daemonsBelow(fleet, version) == 0);
}

}  // namespace oakpier::serving
