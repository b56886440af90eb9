/// Rate limits over simulated fleets under generated series of faults.

#include <catch2/catch.hpp>
#include <set>

#include "serving/support/quota_fleet.h"
#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

constexpr const char* kTenant = "busy";
/// A tenant sends this many times its limit while faults occur.
constexpr double kOverload = 8;

/// In seconds since the start of the fleet.
constexpr double kLoadBegins = 5;
constexpr double kFaultsBegin = 10;
constexpr double kFaultsEnd = 25;
constexpr double kRunEnds = 32;

Moment second(double seconds) { return Moment(Duration(static_cast<std::int64_t>((100 + seconds) * 1e6))); }

enum class Fault { kKill, kSuspension, kPartition, kRollingRestart };

/// Schedules faults of the given kinds one after the other, overlapping, until `kFaultsEnd`. Half of the
/// kills and suspensions strike one of the tenant's first three quota servers.
class FaultSeries {
 public:
  FaultSeries(QuotaFleet& fleet, std::vector<Fault> kinds, std::uint64_t seed)
      : fleet_(fleet), kinds_(std::move(kinds)), random_(seed), servers_(fleet.serversOf(kTenant)) {}

  void schedule() {
    double begin = kFaultsBegin;
    while (begin < kFaultsEnd) {
      scheduleOne(kinds_[drawBelow(kinds_.size(), random_)], begin);
      begin += drawSeconds(0.1, 2);
    }
  }

 private:
  double drawSeconds(double from, double until) {
    return std::uniform_real_distribution<double>(from, until)(random_);
  }

  std::size_t drawDaemon() {
    const bool isServer = drawBelow(2, random_) == 0;
    const std::size_t candidates = std::min<std::size_t>(3, servers_.size());
    return isServer ? servers_[drawBelow(candidates, random_)] : drawBelow(fleet_.size(), random_);
  }

  void scheduleOne(Fault fault, double begin) {
    switch (fault) {
      case Fault::kKill:
        restart(drawDaemon(), begin, drawSeconds(0.2, 3));
        return;
      case Fault::kSuspension:
        suspend(drawDaemon(), begin, drawSeconds(0.2, 6));
        return;
      case Fault::kPartition:
        partition(begin, drawSeconds(0.5, 6));
        return;
      case Fault::kRollingRestart:
        restartAll(begin);
        return;
    }
  }

  void restart(std::size_t daemon, double begin, double length) {
    fleet_.at(second(begin), [this, daemon, begin, length] {
      if (fleet_.isRunning(daemon)) {
        fleet_.kill(daemon);
        fleet_.at(second(begin + length), [this, daemon] { fleet_.start(daemon); });
      }
    });
  }

  void suspend(std::size_t daemon, double begin, double length) {
    fleet_.at(second(begin), [this, daemon, begin, length] {
      if (fleet_.isRunning(daemon) && suspended_.insert(daemon).second) {
        fleet_.suspend(daemon);
        fleet_.at(second(begin + length), [this, daemon] {
          suspended_.erase(daemon);
          fleet_.resume(daemon);
        });
      }
    });
  }

  void partition(double begin, double length) {
    const std::size_t sideCount = 2 + drawBelow(3, random_);
    std::vector<std::size_t> sides(fleet_.size());
    for (std::size_t& side : sides) {
      side = drawBelow(sideCount, random_);
    }
    fleet_.at(second(begin), [this, sides] { fleet_.partitionNetwork(sides); });
    fleet_.at(second(begin + length), [this] { fleet_.healNetwork(); });
  }

  /// Once a series.
  void restartAll(double begin) {
    if (restartedAll_) {
      return;
    }
    restartedAll_ = true;
    const double pause = drawSeconds(4, 15) / static_cast<double>(fleet_.size());
    for (std::size_t daemon = 0; daemon < fleet_.size(); ++daemon) {
      restart(daemon, begin + pause * static_cast<double>(daemon), drawSeconds(0.05, 0.5));
    }
  }

  QuotaFleet& fleet_;
  std::vector<Fault> kinds_;
  RandomEngine random_;
  std::vector<std::size_t> servers_;
  std::set<std::size_t> suspended_;
  bool restartedAll_ = false;
};

/// The most requests in a window of a tenant that sends `kOverload` times its limit during the faults.
double maxInWindow(const TenantLimit& limit, std::size_t daemons, const std::vector<Fault>& kinds,
                   std::uint64_t seed) {
  QuotaFleetSettings settings;
  settings.daemons = daemons;
  settings.seed = seed;
  QuotaFleet fleet(settings);
  fleet.setLimit(kTenant, limit);
  fleet.addLoad(kTenant, limit.perSecond * kOverload, second(kLoadBegins), second(kRunEnds));
  FaultSeries series(fleet, kinds, seed);
  series.schedule();
  fleet.run(second(kRunEnds));
  return static_cast<double>(fleet.maxInWindow(kTenant));
}

/// Series at each size; fewer of them in large fleets, for the time that these take.
std::uint64_t seriesAt(std::size_t daemons) { return daemons >= 300 ? 2 : 5; }

void checkWindows(const std::vector<Fault>& kinds, const std::vector<std::size_t>& fleets) {
  const QuotaTolerance tolerance = QuotaFleetSettings{}.tolerance;
  for (const std::size_t daemons : fleets) {
    for (const double rate : {1.0, 8.0, 20.0, 100.0}) {
      for (std::uint64_t seed = 1; seed <= seriesAt(daemons); ++seed) {
        const TenantLimit limit{rate, rate};
        CAPTURE(daemons, rate, seed);
        CHECK(maxInWindow(limit, daemons, kinds, seed) <= allowedInWindow(limit, tolerance));
      }
    }
  }
}

}  // namespace

TEST_CASE("the window limit holds in any series of kills", "[quota-fault-series]") {
  checkWindows({Fault::kKill}, {3, 8, 74, 300});
}

TEST_CASE("the window limit holds in any series of suspensions", "[quota-fault-series]") {
  checkWindows({Fault::kSuspension}, {3, 8, 74, 300});
}

TEST_CASE("the window limit holds in a rolling restart", "[quota-fault-series]") {
  checkWindows({Fault::kRollingRestart}, {3, 8, 74, 300});
}

// Guards against a daemon that starts on one side of a network partition and takes that side for the fleet.
TEST_CASE("the window limit holds in any series of kills and suspensions and partitions and rolling restarts",
          "[quota-fault-series]") {
  checkWindows({Fault::kKill, Fault::kSuspension, Fault::kPartition, Fault::kRollingRestart}, {3, 8, 74});
}

TEST_CASE("the window limit holds in any series of faults in a large fleet", "[quota-partition-series]") {
  checkWindows({Fault::kKill, Fault::kSuspension, Fault::kPartition, Fault::kRollingRestart}, {300});
}

TEST_CASE("the window limit holds in any series of network partitions", "[quota-partition-series]") {
  checkWindows({Fault::kPartition}, {3, 8, 74, 300});
}

}  // namespace oakpier::serving
