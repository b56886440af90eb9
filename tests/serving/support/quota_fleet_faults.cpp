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
  const std::size_t expected =
      daemon.membershipStable ? serving.size() : std::max(serving.size(), kExpectedFleet);
  const std::size_t alive = serving.size() - suspected.size();
  daemon.selector.setDaemons(std::move(serving));
  daemon.selector.setMembershipStable(daemon.membershipStable);
  daemon.selector.setSuspected(suspected, now_);
  daemon.visibility.onDaemons(alive, expected, daemon.membershipStable, now_);
}

void QuotaFleet::scheduleDetection(std::size_t daemon, std::size_t other, bool reachable) {
  if (daemon == other || daemons_[daemon] == nullptr) {
    return;
  }
  const std::uint64_t number = ++detections_[daemon][other];
  const auto later = [this, daemon, other, number, runId = daemons_[daemon]->runId](Moment moment, bool known,
                                                                                    bool suspected) {
    at(moment, [=] {
      if (detections_[daemon][other] == number && daemons_[daemon] != nullptr &&
          daemons_[daemon]->runId == runId) {
        daemons_[daemon]->known[other] = known;
        daemons_[daemon]->suspected[other] = suspected;
        applyMembership(daemon);
      }
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
      if (daemons_[other] != nullptr && together != (previous[one] == previous[other])) {
        scheduleDetection(one, other, together);
      }
    }
  }
}

void QuotaFleet::healNetwork() { partitionNetwork(std::vector<std::size_t>(daemons_.size(), 0)); }

}  // namespace oakpier::serving
