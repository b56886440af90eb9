/// Rate limits over simulated fleets whose quota servers are suspended.

#include <catch2/catch.hpp>

#include "serving/support/quota_fleet.h"
#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

Moment second(double seconds) { return Moment(Duration(static_cast<std::int64_t>((100 + seconds) * 1e6))); }

/// How often and for how long a tenant's primary quota server is suspended, in seconds.
struct Suspensions {
  unsigned count = 0;
  double length = 0;
  double pause = 0;
};

/// The most requests in a window of a tenant that sends 4.7 times its limit meanwhile.
double maxInWindow(const TenantLimit& limit, const Suspensions& suspensions, std::size_t daemons,
                   std::uint64_t seed) {
  QuotaFleetSettings settings;
  settings.daemons = daemons;
  settings.seed = seed;
  QuotaFleet fleet(settings);
  fleet.setLimit("busy", limit);
  fleet.addLoad("busy", limit.perSecond * 0.6, second(0), second(10));
  fleet.addLoad("busy", limit.perSecond * 4.7, second(10), second(25));
  const std::size_t primary = fleet.primaryOf("busy");
  for (unsigned number = 0; number < suspensions.count; ++number) {
    const double begin = 11 + number * (suspensions.length + suspensions.pause);
    fleet.at(second(begin), [&fleet, primary] { fleet.suspend(primary); });
    fleet.at(second(begin + suspensions.length), [&fleet, primary] { fleet.resume(primary); });
  }
  fleet.run(second(26));
  return static_cast<double>(fleet.maxInWindow("busy"));
}

}  // namespace

// Guards against a quota server that refills its buckets for the time in which it was suspended, while its
// successor granted the same refill.
TEST_CASE("the window limit holds while a quota server is suspended again and again",
          "[serving][suspension]") {
  const QuotaTolerance tolerance = QuotaFleetSettings{}.tolerance;
  for (const Suspensions& suspensions : {Suspensions{4, 1.2, 0.4}, Suspensions{12, 0.3, 0.2},
                                         Suspensions{2, 4, 0.5}, Suspensions{8, 0.6, 0.1}}) {
    for (const double rate : {1.0, 8.0, 20.0, 100.0}) {
      for (const std::size_t daemons : {3, 8, 74}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
          const TenantLimit limit{rate, rate};
          CAPTURE(suspensions.count, suspensions.length, rate, daemons, seed);
          CHECK(maxInWindow(limit, suspensions, daemons, seed) <= allowedInWindow(limit, tolerance));
        }
      }
    }
  }
}

}  // namespace oakpier::serving
