#include "hollow/fleet_run.h"

#include <malloc.h>

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <iostream>
#include <set>

#include "simulation/simulated_fleet.h"

namespace oakpier {

namespace {

namespace accumulators = boost::accumulators;

constexpr Duration kTick = std::chrono::milliseconds(100);
/// Daemons started a second while the fleet boots.
constexpr std::int64_t kStartsPerSecond = 200;
constexpr Duration kSettleTime = std::chrono::seconds(30);
constexpr Duration kNewsLimit = std::chrono::seconds(60);
constexpr Duration kChangeInterval = std::chrono::seconds(2);
constexpr Duration kDeathLimit = std::chrono::seconds(120);
constexpr Duration kMergeLimit = std::chrono::minutes(10);
/// Letter 1: a day at 7,100 daemons. Smaller fleets get their share.
constexpr double kDaemonsAtTarget = 7100;
constexpr double kRestartsADay = 7200;
constexpr double kMachineFailuresADay = 130;
constexpr std::size_t kRackSize = 20;

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
double round3(double value) { return std::round(value * 1000) / 1000; }

std::size_t heapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

/// Percentiles of durations in seconds.
class Spread {
 public:
  void add(Duration duration) { values_.push_back(seconds(duration)); }
  nlohmann::ordered_json summary() const {
    nlohmann::ordered_json result;
    result["count"] = values_.size();
    if (values_.empty()) {
      return result;
    }
    accumulators::accumulator_set<double,
                                  accumulators::stats<accumulators::tag::tail_quantile<accumulators::right>>>
        sorted(accumulators::right_tail_cache_size = values_.size() + 1);
    for (const double value : values_) {
      sorted(value);
    }
    const auto quantile = [&](double probability) {
      return round3(accumulators::quantile(sorted, accumulators::quantile_probability = probability));
    };
    result["median_s"] = quantile(0.5);
    result["p99_s"] = quantile(0.99);
    result["worst_s"] = round3(*std::max_element(values_.begin(), values_.end()));
    return result;
  }

 private:
  std::vector<double> values_;
};

class HollowRun {
 public:
  explicit HollowRun(const HollowOptions& options)
      : options_(options),
        heapBefore_(heapBytes()),
        fleet_(simulationOptions(options)),
        random_(options.seed) {}

  nlohmann::ordered_json run() {
    nlohmann::ordered_json report;
    report["daemons"] = options_.daemons;
    report["seed"] = options_.seed;
    report["boot"] = boot();
    report["steady"] = steady();
    report["changes"] = changes();
    report["deaths"] = deaths();
    if (options_.day.count() > 0) {
      report["day"] = day();
    }
    if (options_.cut.count() > 0) {
      report["cut"] = cut();
    }
    return report;
  }

 private:
  static SimulationOptions simulationOptions(const HollowOptions& options) {
    SimulationOptions simulation;
    simulation.daemons = options.daemons;
    simulation.zones = options.zones;
    simulation.seed = options.seed;
    simulation.tick = kTick;
    simulation.startInterval = Duration(1'000'000 / kStartsPerSecond);
    return simulation;
  }

  bool viewsComplete() const {
    std::size_t running = 0;
    for (std::size_t daemon = 0; daemon < fleet_.size(); ++daemon) {
      running += fleet_.running(daemon) ? 1 : 0;
    }
    for (std::size_t daemon = 0; daemon < fleet_.size(); ++daemon) {
      if (fleet_.running(daemon) && fleet_.plane(daemon).membership().servingCount() + 1 != running) {
        return false;
      }
    }
    return true;
  }

  bool inForceEverywhere(std::uint64_t revision) const {
    for (std::size_t daemon = 0; daemon < fleet_.size(); ++daemon) {
      if (fleet_.running(daemon) && fleet_.plane(daemon).store().revision() < revision) {
        return false;
      }
    }
    return true;
  }

  nlohmann::ordered_json boot() {
    const Moment began = fleet_.now();
    const bool settled =
        fleet_.runUntil([this] { return viewsComplete() && inForceEverywhere(1); }, kMergeLimit);
    nlohmann::ordered_json report;
    report["views_complete"] = settled;
    report["seconds_after_last_start"] = round3(seconds(fleet_.now() - began));
    fleet_.runFor(kSettleTime);
    return report;
  }

  SimulatedTraffic totalTraffic() const {
    SimulatedTraffic total;
    for (std::size_t daemon = 0; daemon < fleet_.size(); ++daemon) {
      total.messages += fleet_.traffic(daemon).messages;
      total.bytes += fleet_.traffic(daemon).bytes;
    }
    return total;
  }

  /// What a daemon costs a second over `action`.
  template <typename Action>
  nlohmann::ordered_json costDuring(Action action) {
    const SimulatedTraffic before = totalTraffic();
    const Duration processorBefore = fleet_.processorTime();
    const Moment began = fleet_.now();
    action();
    const SimulatedTraffic after = totalTraffic();
    const double daemonSeconds = seconds(fleet_.now() - began) * static_cast<double>(options_.daemons);
    nlohmann::ordered_json report;
    report["seconds"] = round3(seconds(fleet_.now() - began));
    report["messages_per_daemon_s"] =
        round3(static_cast<double>(after.messages - before.messages) / daemonSeconds);
    report["bytes_per_daemon_s"] = round3(static_cast<double>(after.bytes - before.bytes) / daemonSeconds);
    report["processor_us_per_daemon_s"] =
        round3(static_cast<double>((fleet_.processorTime() - processorBefore).count()) / daemonSeconds);
    return report;
  }

  nlohmann::ordered_json steady() {
    nlohmann::ordered_json report = costDuring([this] { fleet_.runFor(options_.steady); });
    report["heap_bytes_per_daemon"] = (heapBytes() - heapBefore_) / options_.daemons;
    report["suspicions"] = suspicions();
    return report;
  }

  std::uint64_t suspicions() const {
    std::uint64_t total = 0;
    for (std::size_t daemon = 0; daemon < fleet_.size(); ++daemon) {
      total += fleet_.running(daemon) ? fleet_.plane(daemon).membership().counters().suspicionsRaised : 0;
    }
    return total;
  }

  std::size_t drawRunning() {
    std::size_t daemon = drawBelow(fleet_.size(), random_);
    while (!fleet_.running(daemon)) {
      daemon = drawBelow(fleet_.size(), random_);
    }
    return daemon;
  }

  /// Changes one after the other; for each daemon the time from the submission until it is in force there.
  nlohmann::ordered_json changes() {
    Spread perDaemon;
    Spread last;
    Spread acknowledged;
    std::size_t accepted = 0;
    Moment submittedAt = fleet_.now();
    std::uint64_t revision = 0;
    fleet_.onResult = [&](std::size_t, const ChangeResult& result) {
      if (result.end == ChangeEnd::kAccepted) {
        ++accepted;
        revision = result.revision;
        acknowledged.add(fleet_.now() - submittedAt);
      }
    };
    std::set<std::size_t> reached;
    fleet_.onStep = [&](std::size_t daemon) {
      if (revision != 0 && fleet_.running(daemon) && fleet_.plane(daemon).store().revision() >= revision &&
          reached.insert(daemon).second) {
        perDaemon.add(fleet_.now() - submittedAt);
      }
    };
    nlohmann::ordered_json report = costDuring([&] {
      for (std::size_t change = 0; change < options_.changes; ++change) {
        reached.clear();
        revision = 0;
        submittedAt = fleet_.now();
        fleet_.submit(drawRunning(), markedChange(static_cast<std::uint32_t>(change + 1)), 0);
        const std::size_t before = accepted;
        fleet_.runUntil([&] { return accepted > before && inForceEverywhere(revision); }, kNewsLimit);
        last.add(fleet_.now() - submittedAt);
        const Moment next = submittedAt + kChangeInterval;
        fleet_.runFor(std::max(Duration(0), next - fleet_.now()));
      }
    });
    fleet_.onStep = nullptr;
    fleet_.onResult = nullptr;
    report["accepted"] = accepted;
    report["acknowledged"] = acknowledged.summary();
    report["in_force_each_daemon"] = perDaemon.summary();
    report["in_force_last_daemon"] = last.summary();
    return report;
  }

  bool heldServing(std::size_t observer, std::size_t subject) const {
    const MemberRecord* record = fleet_.plane(observer).membership().members().find(fleet_.address(subject));
    return record != nullptr && record->serving();
  }

  /// Kills daemons one by one and watches until all others hold them dead.
  nlohmann::ordered_json deaths() {
    Spread first;
    Spread all;
    for (std::size_t death = 0; death < options_.deaths; ++death) {
      const std::size_t dead = drawRunning();
      const Moment killedAt = fleet_.now();
      fleet_.kill(dead);
      bool firstSeen = false;
      const bool known = fleet_.runUntil(
          [&] {
            bool everybody = true;
            for (std::size_t observer = 0; observer < fleet_.size(); ++observer) {
              if (!fleet_.running(observer)) {
                continue;
              }
              const bool serving = heldServing(observer, dead);
              everybody = everybody && !serving;
              if (!serving && !firstSeen) {
                firstSeen = true;
                first.add(fleet_.now() - killedAt);
              }
            }
            return everybody;
          },
          kDeathLimit);
      if (known) {
        all.add(fleet_.now() - killedAt);
      }
      fleet_.start(dead);
      fleet_.runUntil([this] { return viewsComplete(); }, kMergeLimit);
    }
    nlohmann::ordered_json report;
    report["first_daemon"] = first.summary();
    report["last_daemon"] = all.summary();
    return report;
  }

  /// The failures of a day in compressed time: restarts, machines that fail for good for a while, a rack, a
  /// zone.
  nlohmann::ordered_json day() {
    const double share = static_cast<double>(options_.daemons) / kDaemonsAtTarget;
    const auto restarts = static_cast<std::size_t>(std::ceil(kRestartsADay * share));
    const auto failures = static_cast<std::size_t>(std::ceil(kMachineFailuresADay * share));
    const std::uint64_t suspicionsBefore = suspicions();
    std::size_t falselyDead = 0;
    nlohmann::ordered_json report = costDuring([&] {
      const std::size_t steps = restarts + failures;
      std::vector<std::size_t> down;
      for (std::size_t step = 0; step < steps; ++step) {
        const std::size_t daemon = drawRunning();
        if (step % (steps / failures) == 0) {
          fleet_.kill(daemon);
          down.push_back(daemon);
        } else {
          fleet_.leave(daemon, true);
        }
        if (step == steps / 3) {
          setRack(true);
        } else if (step == steps / 2) {
          setRack(false);
        }
        fleet_.runFor(options_.day / static_cast<std::int64_t>(steps));
        if (down.size() > 10) {
          fleet_.start(down.front());
          down.erase(down.begin());
        }
      }
      for (const std::size_t daemon : down) {
        fleet_.start(daemon);
      }
    });
    for (std::size_t daemon = 0; daemon < fleet_.size(); ++daemon) {
      falselyDead += fleet_.plane(daemon).membership().counters().refutations;
    }
    const Moment ended = fleet_.now();
    report["restarts"] = restarts;
    report["machine_failures"] = failures;
    report["suspicions"] = suspicions() - suspicionsBefore;
    report["refutations_of_running_daemons"] = falselyDead;
    report["views_complete_after"] = fleet_.runUntil([this] { return viewsComplete(); }, kMergeLimit)
                                         ? round3(seconds(fleet_.now() - ended))
                                         : -1;
    return report;
  }

  void setRack(bool cut) {
    for (std::size_t daemon = 0; daemon < std::min(kRackSize, fleet_.size() / 5); ++daemon) {
      fleet_.setSide(daemon * options_.zones % fleet_.size(), cut ? 2 : 0);
    }
  }

  /// A third of the zones loses the rest for a while. Before and after the heal: does each side serve, how
  /// long until views and configuration are one again.
  nlohmann::ordered_json cut() {
    const std::size_t cutZones = std::max<std::size_t>(1, options_.zones / 3);
    const auto setRegion = [&](int side) {
      for (std::size_t daemon = 0; daemon < fleet_.size(); ++daemon) {
        if (fleet_.zoneOf(daemon) < cutZones) {
          fleet_.setSide(daemon, side);
        }
      }
    };
    nlohmann::ordered_json report;
    report["during"] = costDuring([&] {
      setRegion(1);
      fleet_.runFor(options_.cut);
    });
    std::uint64_t newest = 0;
    fleet_.onResult = [&](std::size_t, const ChangeResult& result) {
      newest = result.end == ChangeEnd::kAccepted ? result.revision : newest;
    };
    std::size_t submitter = drawRunning();
    while (fleet_.zoneOf(submitter) < cutZones) {
      submitter = drawRunning();
    }
    fleet_.submit(submitter, markedChange(4242), 0);
    fleet_.runFor(std::chrono::seconds(20));
    report["majority_side_accepted_a_change"] = newest != 0;
    const Moment healed = fleet_.now();
    setRegion(0);
    const bool informed = fleet_.runUntil([&] { return inForceEverywhere(newest); }, kMergeLimit);
    report["change_in_force_everywhere_after_heal_s"] =
        informed ? round3(seconds(fleet_.now() - healed)) : -1;
    report["healing"] = costDuring([&] { fleet_.runUntil([this] { return viewsComplete(); }, kMergeLimit); });
    report["views_complete_after_heal_s"] = viewsComplete() ? round3(seconds(fleet_.now() - healed)) : -1;
    return report;
  }

  HollowOptions options_;
  std::size_t heapBefore_;
  SimulatedFleet fleet_;
  RandomEngine random_;
};

}  // namespace

nlohmann::ordered_json runHollowFleet(const HollowOptions& options) { return HollowRun(options).run(); }

}  // namespace oakpier
