#include <algorithm>
#include <utility>

#include "serving/support/quota_fleet.h"

namespace oakpier::serving {

namespace {

/// Delays of the membership protocol, which probes once a second: until an unreachable daemon is suspected,
/// from then until it is removed, and until a joining daemon is found.
constexpr int kSuspectedFromMilliseconds = 300;
constexpr int kSuspectedUntilMilliseconds = 2000;
constexpr int kDeadAfterMilliseconds = 6000;
constexpr int kJoinedFromMilliseconds = 200;
constexpr int kJoinedUntilMilliseconds = 1500;
/// Until a started daemon receives the first member table, and between its attempts to get one.
constexpr int kTableFromMilliseconds = 2;
constexpr int kTableUntilMilliseconds = 250;
constexpr Duration kTableRetryInterval = std::chrono::milliseconds(250);
/// Time until the membership is stable after a start; see `MembershipStabilization`.
constexpr Duration kStabilizationTime = std::chrono::milliseconds(1500);
constexpr std::size_t kExpectedFleet = 12;

}  // namespace

void QuotaFleet::applyMembership(std::size_t number) {
  Daemon& daemon = *daemons_[number];
  std::vector<ServingDaemon> serving;
  std::vector<Endpoint> suspected;
  for (std::size_t other = 0; other < daemons_.size(); ++other) {
    if (daemon.known[other]) {
      serving.emplace_back(addressOf(other));
      if (daemon.suspected[other]) {
        suspected.push_back(addressOf(other));
      }
    }
  }
  const bool stable = membershipStable(daemon);
  const std::size_t known = serving.size();
  const std::size_t expected = stable ? known : std::max(known, kExpectedFleet);
  daemon.selector.setDaemons(std::move(serving));
  daemon.selector.setMembershipStable(stable);
  daemon.selector.setSuspected(suspected, now_);
  daemon.visibility.onDaemons(FleetCount{known - suspected.size(), known, expected, stable}, now_);
}

bool QuotaFleet::membershipStable(const Daemon& daemon) const {
  const auto known = std::count(daemon.known.begin(), daemon.known.end(), true);
  return daemon.membershipStable && (known > 1 || daemons_.size() == 1);
}

void QuotaFleet::scheduleDetection(std::size_t daemon, std::size_t other, bool reachable) {
  if (daemon == other || daemons_[daemon] == nullptr) {
    return;
  }
  const std::uint64_t number = ++detections_[daemon][other];
  const auto later = [this, daemon, other, number, runId = daemons_[daemon]->runId](Moment moment, bool known,
                                                                                    bool suspected) {
    at(moment, [=] {
      runIn(daemon, runId, [=] {
        if (detections_[daemon][other] == number) {
          daemons_[daemon]->known[other] = known;
          daemons_[daemon]->suspected[other] = suspected;
          applyMembership(daemon);
        }
      });
    });
  };
  if (reachable) {
    later(now_ + drawBetween(kJoinedFromMilliseconds, kJoinedUntilMilliseconds), true, false);
  } else {
    const Moment suspected = now_ + drawBetween(kSuspectedFromMilliseconds, kSuspectedUntilMilliseconds);
    later(suspected, true, true);
    later(suspected + std::chrono::milliseconds(kDeadAfterMilliseconds), false, false);
  }
}

void QuotaFleet::scheduleJoin(std::size_t number, Duration delay) {
  at(now_ + delay, [this, number, runId = daemons_[number]->runId] {
    runIn(number, runId, [this, number] {
      std::vector<std::size_t> senders;
      for (std::size_t other = 0; other < daemons_.size(); ++other) {
        if (other != number && reaches(number, other) && !daemons_[other]->suspended) {
          senders.push_back(other);
        }
      }
      if (senders.empty()) {
        scheduleJoin(number, kTableRetryInterval);
        return;
      }
      receiveMemberTable(number, senders[drawBelow(senders.size(), random_)]);
    });
  });
}

void QuotaFleet::receiveMemberTable(std::size_t number, std::size_t sender) {
  Daemon& daemon = *daemons_[number];
  for (std::size_t other = 0; other < daemons_.size(); ++other) {
    if (daemon.known[other] || !daemons_[sender]->known[other]) {
      continue;
    }
    daemon.known[other] = true;
    daemon.suspected[other] = daemons_[sender]->suspected[other];
    if (!reaches(number, other) || daemons_[other]->suspended) {
      scheduleDetection(number, other, false);
    }
  }
  applyMembership(number);
}

void QuotaFleet::kill(std::size_t daemon) {
  for (const auto& [ticket, request] : daemons_[daemon]->waiting) {
    requests_[request.first][request.second].granted =
        true;  // The connection breaks; the caller gets no refusal.
  }
  daemons_[daemon].reset();
  for (std::size_t other = 0; other < daemons_.size(); ++other) {
    scheduleDetection(other, daemon, false);
  }
}

void QuotaFleet::start(std::size_t number) {
  daemons_[number] = std::make_unique<Daemon>(addressOf(number), settings_, random_);
  Daemon& daemon = *daemons_[number];
  daemon.runId = ++lastRunId_;
  daemon.known.assign(daemons_.size(), false);
  daemon.known[number] = true;
  daemon.suspected.assign(daemons_.size(), false);
  applyMembership(number);
  for (std::size_t other = 0; other < daemons_.size(); ++other) {
    if (reaches(number, other)) {
      scheduleDetection(number, other, true);
      scheduleDetection(other, number, true);
    }
  }
  scheduleJoin(number, drawBetween(kTableFromMilliseconds, kTableUntilMilliseconds));
  showActivity(number, daemon.runId);
  at(now_ + kStabilizationTime, [this, number, runId = daemon.runId] {
    if (daemons_[number] != nullptr && daemons_[number]->runId == runId) {
      daemons_[number]->membershipStable = true;
      applyMembership(number);
    }
  });
}

void QuotaFleet::suspend(std::size_t number) {
  daemons_[number]->suspended = true;
  for (std::size_t other = 0; other < daemons_.size(); ++other) {
    scheduleDetection(other, number, false);
  }
}

void QuotaFleet::resume(std::size_t number) {
  if (daemons_[number] == nullptr) {
    return;
  }
  daemons_[number]->suspended = false;
  for (std::size_t other = 0; other < daemons_.size(); ++other) {
    if (reaches(number, other)) {
      scheduleDetection(other, number, true);
    }
  }
  const std::vector<std::function<void()>> deferred = std::exchange(daemons_[number]->deferred, {});
  for (const auto& action : deferred) {
    action();
  }
}

void QuotaFleet::partitionNetwork(const std::vector<std::size_t>& sides) {
  const std::vector<std::size_t> previous = std::exchange(sides_, sides);
  for (std::size_t one = 0; one < daemons_.size(); ++one) {
    for (std::size_t other = 0; other < daemons_.size(); ++other) {
      const bool together = sides_[one] == sides_[other];
      const bool responds = daemons_[other] != nullptr && !daemons_[other]->suspended;
      if (responds && together != (previous[one] == previous[other])) {
        scheduleDetection(one, other, together);
      }
    }
  }
}

void QuotaFleet::healNetwork() { partitionNetwork(std::vector<std::size_t>(daemons_.size(), 0)); }

}  // namespace oakpier::serving
