#include "serving/support/source_fleet.h"

#include <algorithm>

#include "state/hashing.h"

namespace oakpier::serving {

namespace {

constexpr const char* kConfigurationKey = "configuration";
const std::string kEvacuationPrefix = "evacuation/";
constexpr std::size_t kPageRecords = 500;
constexpr Duration kSourceDelay = std::chrono::milliseconds(4);
/// A call to a source that is silent ends after this, beside the time that the source may wait.
constexpr Duration kCallTimeout = std::chrono::seconds(1);
constexpr Duration kMemberPeriod = std::chrono::milliseconds(250);
/// Daemons hear of one that has started, and of one that has died, within these times.
constexpr Duration kLongestBirthLag = std::chrono::milliseconds(2500);
constexpr Duration kLongestDeathLag = std::chrono::seconds(9);
constexpr Duration kLongestStart = std::chrono::milliseconds(300);
constexpr std::uint64_t kLagSteps = 1000;

SourceStatement interpret(const SourceRecord& record) {
  if (record.key == kConfigurationKey) {
    ServingConfiguration configuration;
    configuration.version = std::stoull(record.value);
    return configuration;
  }
  if (record.key.compare(0, kEvacuationPrefix.size(), kEvacuationPrefix) == 0) {
    const std::string zone = record.key.substr(kEvacuationPrefix.size());
    return record.gone ? SourceStatement{ZoneEvacuationEnd{zone}} : SourceStatement{ZoneEvacuation{zone}};
  }
  if (record.gone) {
    return LeafRemoval{record.key};
  }
  LeafEntry entry;
  entry.id = record.key;
  entry.service = "s";
  return entry;
}

}  // namespace

SourceFleet::SourceFleet(const SourceFleetSettings& settings)
    : settings_(settings), random_(settings.random) {
  change(kConfigurationKey, std::to_string(++version_));
  for (std::size_t leaf = 0; leaf < settings.leafs; ++leaf) {
    changeLeaf(leaf);
  }
  for (std::uint32_t number = 0; number < settings.daemons; ++number) {
    Daemon daemon;
    daemon.address = Endpoint(number + 1, 7020);
    daemon.capacity =
        settings.capacities.empty() ? 0 : settings.capacities[number % settings.capacities.size()];
    numbers_[daemon.address] = number;
    daemons_.push_back(std::move(daemon));
  }
  for (std::size_t seed = 0; seed < std::min(settings.seeds, settings.daemons); ++seed) {
    seeds_.push_back(daemons_[drawBelow(daemons_.size(), random_)].address);
  }
  for (std::size_t number = 0; number < daemons_.size(); ++number) {
    const auto delay = static_cast<std::int64_t>(drawBelow(kLongestStart.count(), random_));
    at(now_ + Duration(delay), [this, number] { start(number); });
  }
  at(now_ + kMemberPeriod, [this] { refreshMembers(); });
}

void SourceFleet::runFor(Duration span) {
  const Moment end = now_ + span;
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto event = events_.begin();
    now_ = std::max(now_, event->first);
    const auto action = std::move(event->second);
    events_.erase(event);
    action();
  }
  now_ = end;
}

void SourceFleet::change(const std::string& key, const std::string& value, bool gone) {
  const SourceRecord record{key, value, ++revision_, gone};
  if (gone) {
    records_.erase(key);
  } else {
    records_[key] = record;
  }
  history_.push_back(record);
  if (sourceDown_) {
    return;
  }
  std::vector<Waiting> told;
  told.swap(waiting_);
  for (const Waiting& waiting : told) {
    answer(waiting.daemon, waiting.life, waiting.call, contentFor(waiting.call), kSourceDelay / 2);
  }
}

std::uint64_t SourceFleet::changeConfiguration() {
  change(kConfigurationKey, std::to_string(++version_));
  return version_;
}

void SourceFleet::changeLeaf(std::size_t number) { change("leaf/" + std::to_string(number), "ready"); }

void SourceFleet::setEvacuated(const std::string& zone, bool evacuated) {
  change(kEvacuationPrefix + zone, "", !evacuated);
}

void SourceFleet::start(std::size_t number) {
  Daemon& daemon = daemons_[number];
  if (daemon.alive) {
    return;
  }
  daemon.alive = true;
  ++daemon.life;
  daemon.startedAt = now_;
  daemon.versions.clear();
  daemon.wakeAt = kNever;
  daemon.follower = std::make_unique<SourceFollower>(daemon.address, FollowerSettings{}, interpret,
                                                     RandomEngine(random_()));
  daemon.follower->start(seeds_, now_);
  pump(number);
}

void SourceFleet::kill(std::size_t number) {
  daemons_[number].alive = false;
  daemons_[number].endedAt = now_;
}

void SourceFleet::setSourceDown(bool down) {
  sourceDown_ = down;
  if (down) {
    for (const Waiting& waiting : waiting_) {
      answer(waiting.daemon, waiting.life, waiting.call, SourceFailure::kNoAnswer, Duration(0));
    }
    waiting_.clear();
  }
}

std::uint64_t SourceFleet::versionOf(std::size_t number) const {
  return daemons_[number].follower->configurationVersion();
}

Moment SourceFleet::versionSeenAt(std::size_t number, std::uint64_t version) const {
  const auto seen = daemons_[number].versions.lower_bound(version);
  return seen == daemons_[number].versions.end() ? kNever : seen->second;
}

void SourceFleet::pump(std::size_t number) {
  Daemon& daemon = daemons_[number];
  if (!daemon.alive) {
    return;
  }
  carryOut(number, daemon.follower->onTime(now_));
  if (const auto due = daemon.follower->takeCall(now_)) {
    call(number, *due);
  }
  daemon.versions.try_emplace(daemon.follower->configurationVersion(), now_);
  const Moment next = daemon.follower->nextDueAt();
  if (next != kNever && (daemon.wakeAt <= now_ || next < daemon.wakeAt)) {
    daemon.wakeAt = std::max(next, now_);
    at(daemon.wakeAt, [this, number, life = daemon.life, planned = daemon.wakeAt] {
      Daemon& woken = daemons_[number];
      if (woken.alive && woken.life == life && woken.wakeAt == planned) {
        woken.wakeAt = kNever;
        pump(number);
      }
    });
  }
}

void SourceFleet::carryOut(std::size_t number, const FollowerActions& actions) {
  const Endpoint sender = daemons_[number].address;
  for (const OutgoingNews& outgoing : actions.news) {
    deliver(number, outgoing.to, [this, sender, news = outgoing.news](std::size_t receiver) {
      carryOut(receiver, daemons_[receiver].follower->onNews(sender, news, now_));
    });
  }
  if (actions.ask) {
    SourceNewsRequest request;
    request.set_known_revision(daemons_[number].follower->knownRevision());
    deliver(number, *actions.ask, [this, number, sender, request](std::size_t receiver) {
      if (const auto told = daemons_[receiver].follower->onNewsRequest(sender, request, now_)) {
        FollowerActions reply;
        reply.news.push_back(*told);
        carryOut(receiver, reply);
      }
    });
  }
}

void SourceFleet::deliver(std::size_t from, const Endpoint& to,
                          std::function<void(std::size_t receiver)> action) {
  const auto receiver = numbers_.find(to);
  if (receiver == numbers_.end() || receiver->second == from ||
      std::bernoulli_distribution(settings_.frameLoss)(random_)) {
    return;
  }
  const Duration spread = settings_.longestFrame - settings_.shortestFrame;
  const auto extra = static_cast<std::int64_t>(drawBelow(spread.count() + 1, random_));
  const std::size_t number = receiver->second;
  at(now_ + settings_.shortestFrame + Duration(extra), [this, number, action = std::move(action)] {
    if (daemons_[number].alive) {
      action(number);
      pump(number);
    }
  });
}

void SourceFleet::call(std::size_t number, const SourceCall& call) {
  at(now_ + kSourceDelay / 2,
     [this, number, life = daemons_[number].life, call] { onCall(number, life, call); });
}

void SourceFleet::onCall(std::size_t number, std::uint64_t life, const SourceCall& call) {
  ++calls_;
  if (sourceDown_) {
    answer(number, life, call, SourceFailure::kNoAnswer, call.wait + kCallTimeout);
    return;
  }
  if (daemons_[number].refused) {
    answer(number, life, call, SourceFailure::kUnavailable, kSourceDelay / 2);
    return;
  }
  if (call.kind == SourceCall::Kind::kList || hasChangesFor(call) || call.wait.count() == 0) {
    answer(number, life, call, contentFor(call), kSourceDelay / 2);
    return;
  }
  const std::uint64_t held = nextWaiting_++;
  waiting_.push_back(Waiting{number, life, call, held});
  at(now_ + call.wait, [this, held] {
    const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                    [&](const Waiting& waiting) { return waiting.number == held; });
    if (found != waiting_.end()) {
      const Waiting ended = *found;
      waiting_.erase(found);
      answer(ended.daemon, ended.life, ended.call, contentFor(ended.call), kSourceDelay / 2);
    }
  });
}

void SourceFleet::answer(std::size_t number, std::uint64_t life, const SourceCall& call,
                         const SourceAnswer& answer, Duration delay) {
  at(now_ + delay, [this, number, life, call, answer] {
    Daemon& daemon = daemons_[number];
    if (daemon.alive && daemon.life == life) {
      carryOut(number, daemon.follower->onAnswer(call, answer, now_));
      pump(number);
    }
  });
}

bool SourceFleet::hasChangesFor(const SourceCall& call) const {
  return call.afterRevision < historyFrom_ ||
         (!history_.empty() && history_.back().revision > call.afterRevision);
}

SourceAnswer SourceFleet::contentFor(const SourceCall& call) const {
  SourcePage page;
  page.revision = revision_;
  if (call.kind == SourceCall::Kind::kChanges) {
    if (call.afterRevision < historyFrom_) {
      return SourceFailure::kHistoryGone;
    }
    std::copy_if(history_.begin(), history_.end(), std::back_inserter(page.records),
                 [&](const SourceRecord& record) { return record.revision > call.afterRevision; });
    return page;
  }
  for (auto record = records_.upper_bound(call.afterKey); record != records_.end(); ++record) {
    if (page.records.size() == kPageRecords) {
      page.more = true;
      break;
    }
    page.records.push_back(record->second);
  }
  return page;
}

Duration SourceFleet::lag(const Daemon& daemon, const Daemon& other, Duration longest) const {
  const std::uint64_t drawn =
      hashPair(hashPair(daemon.address.packed(), daemon.life), hashPair(other.address.packed(), other.life));
  return longest * static_cast<int>(drawn % kLagSteps) / static_cast<int>(kLagSteps);
}

bool SourceFleet::knows(const Daemon& daemon, const Daemon& other) const {
  if (other.life == 0) {
    return false;
  }
  const Moment since = std::max(daemon.startedAt, other.startedAt);
  const bool heard = now_ >= since + lag(daemon, other, kLongestBirthLag);
  const bool knownDead = !other.alive && now_ >= other.endedAt + lag(daemon, other, kLongestDeathLag);
  return heard && !knownDead;
}

void SourceFleet::refreshMembers() {
  for (std::size_t number = 0; number < daemons_.size(); ++number) {
    Daemon& daemon = daemons_[number];
    if (!daemon.alive) {
      continue;
    }
    std::vector<ServingDaemon> members;
    for (const Daemon& other : daemons_) {
      if (&other == &daemon || knows(daemon, other)) {
        members.emplace_back(other.address, other.capacity);
      }
    }
    daemon.follower->setMembers(std::move(members));
    pump(number);
  }
  at(now_ + kMemberPeriod, [this] { refreshMembers(); });
}

}  // namespace oakpier::serving
