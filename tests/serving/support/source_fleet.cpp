#include "serving/support/source_fleet.h"

#include <algorithm>

#include "state/hashing.h"

namespace oakpier::serving {

namespace {

constexpr const char* kConfigurationKey = "configuration";
const std::string kEvacuationPrefix = "evacuation/";
const std::string kLeafPrefix = "leaf/";
constexpr std::size_t kPageRecords = 500;
constexpr Duration kSourceDelay = std::chrono::milliseconds(4);
/// Timeout of a call that gets no answer, beyond the time for which the source may hold it open.
constexpr Duration kCallTimeout = std::chrono::seconds(1);
constexpr Duration kMemberPeriod = std::chrono::milliseconds(250);
/// Maximum delays until daemons learn that a peer has started or crashed.
constexpr Duration kLongestBirthLag = std::chrono::milliseconds(2500);
constexpr Duration kLongestDeathLag = std::chrono::seconds(9);
constexpr Duration kLongestStart = std::chrono::milliseconds(300);
constexpr std::uint64_t kLagSteps = 1000;

/// The clocks of daemons differ by up to this.
constexpr Duration kClockSpread = std::chrono::seconds(1000);

SourceStatement interpret(const SourceRecord& record, bool tenants) {
  if (record.key == kConfigurationKey) {
    ServingConfiguration configuration;
    configuration.version = std::stoull(record.value);
    if (tenants) {
      configuration.tenants.push_back(Tenant{"tenant", {"key"}, {}, {}});
    }
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
    : settings_(settings), random_(settings.random), epoch_(settings.firstEpoch) {
  changeConfiguration();
  for (std::size_t leaf = 0; leaf < settings.leafs; ++leaf) {
    changeLeaf(leaf);
  }
  for (std::uint32_t number = 0; number < settings.daemons; ++number) {
    Daemon daemon;
    daemon.address = Endpoint(number + 1, 7020);
    daemon.capacity =
        settings.capacities.empty() ? 0 : settings.capacities[number % settings.capacities.size()];
    daemon.ahead = Duration(static_cast<std::int64_t>(drawBelow(kClockSpread.count(), random_)));
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
  written_[key] = record;
  if (gone) {
    records_.erase(key);
  } else {
    records_[key] = record;
  }
  history_.push_back(Change{record, now_});
  if (sourceDown_) {
    return;
  }
  std::vector<Waiting> ended;
  ended.swap(waiting_);
  for (const Waiting& waiting : ended) {
    answer(waiting.daemon, waiting.life, waiting.call, told(contentFor(waiting.call)), kSourceDelay / 2);
  }
}

SourceAnswer SourceFleet::told(SourceAnswer::Content content) const {
  return epoch_ == 0 ? SourceAnswer(std::move(content), ToldEpoch{})
                     : SourceAnswer(std::move(content), ToldEpoch::of(epoch_));
}

void SourceFleet::restoreSource(Duration age, Duration writtenAgainWithin) {
  for (const Waiting& waiting : waiting_) {
    answer(waiting.daemon, waiting.life, waiting.call, SourceFailure::kNoAnswer, Duration(0));
  }
  waiting_.clear();
  while (!history_.empty() && history_.back().madeAt > now_ - age) {
    history_.pop_back();
  }
  records_.clear();
  revision_ = std::min(revision_, historyFrom_);
  for (const Change& change : history_) {
    revision_ = change.record.revision;
    if (change.record.gone) {
      records_.erase(change.record.key);
    } else {
      records_[change.record.key] = change.record;
    }
  }
  historyFrom_ = std::min(historyFrom_, revision_);
  ++epoch_;
  for (const auto& [key, written] : written_) {
    const auto delay = static_cast<std::int64_t>(drawBelow(writtenAgainWithin.count() + 1, random_));
    at(now_ + Duration(delay), [this, key = key] { writeAgain(key); });
  }
}

void SourceFleet::writeAgain(const std::string& key) {
  const SourceRecord& written = written_.at(key);
  const auto listed = records_.find(key);
  const bool asWritten =
      listed == records_.end() ? written.gone : !written.gone && listed->second.value == written.value;
  if (!asWritten) {
    change(key, written.value, written.gone);
  }
}

std::uint64_t SourceFleet::changeConfiguration() {
  change(kConfigurationKey, std::to_string(++version_));
  acknowledged_[version_] = now_;
  return version_;
}

void SourceFleet::changeLeaf(std::size_t number) { change("leaf/" + std::to_string(number), "ready"); }

void SourceFleet::removeLeaf(std::size_t number) { change("leaf/" + std::to_string(number), "", true); }

std::size_t SourceFleet::wrongAboutLeafs() const {
  std::set<std::string> listed;
  for (const auto& [key, record] : records_) {
    if (key.compare(0, kLeafPrefix.size(), kLeafPrefix) == 0) {
      listed.insert(key);
    }
  }
  std::size_t wrong = 0;
  for (const Daemon& daemon : daemons_) {
    if (daemon.alive) {
      const auto believed = daemon.follower->leafIds();
      wrong += believed == listed ? 0 : 1;
    }
  }
  return wrong;
}

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
  daemon.suspended = false;
  daemon.lying.clear();
  const auto interpreter = [tenants = settings_.tenants](const SourceRecord& record) {
    return interpret(record, tenants);
  };
  daemon.follower = std::make_unique<SourceFollower>(daemon.address, FollowerSettings{}, interpreter,
                                                     RandomEngine(random_()));
  daemon.follower->start(seeds_, clockOf(number));
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
  if (!daemon.alive || daemon.suspended) {
    return;
  }
  carryOut(number, daemon.follower->onTime(clockOf(number)));
  if (const auto due = daemon.follower->takeCall(clockOf(number))) {
    call(number, *due);
  }
  const std::uint64_t version = daemon.follower->configurationVersion();
  versionsBack_ += !daemon.versions.empty() && version < daemon.versions.rbegin()->first ? 1 : 0;
  daemon.versions.try_emplace(version, now_);
  checkProof(number);
  const Moment due = daemon.follower->nextDueAt();
  const Moment next = due == kNever ? kNever : due - daemon.ahead;
  if (next != kNever && (daemon.wakeAt <= now_ || next < daemon.wakeAt)) {
    daemon.wakeAt = std::max(next, now_);
    at(daemon.wakeAt, [this, number, life = daemon.life, planned = daemon.wakeAt] {
      runIn(number, life, [this, number, planned] {
        if (daemons_[number].wakeAt == planned) {
          daemons_[number].wakeAt = kNever;
          pump(number);
        }
      });
    });
  }
}

void SourceFleet::carryOut(std::size_t number, const FollowerActions& actions) {
  const Endpoint sender = daemons_[number].address;
  for (const OutgoingNews& outgoing : actions.news) {
    deliver(number, outgoing.to, [this, sender, news = outgoing.news](std::size_t receiver) {
      carryOut(receiver, daemons_[receiver].follower->onNews(sender, news, clockOf(receiver)));
    });
  }
  if (actions.ask) {
    SourceNewsRequest request;
    request.set_known_revision(daemons_[number].follower->known().revision);
    request.set_known_epoch(daemons_[number].follower->known().epoch);
    deliver(number, *actions.ask, [this, number, sender, request](std::size_t receiver) {
      if (const auto told = daemons_[receiver].follower->onNewsRequest(sender, request, clockOf(receiver))) {
        FollowerActions reply;
        reply.news.push_back(*told);
        carryOut(receiver, reply);
      }
    });
  }
  carryOutProofs(number, actions.proofs);
}

void SourceFleet::carryOutProofs(std::size_t number, const ProofActions& actions) {
  const Endpoint sender = daemons_[number].address;
  for (const OutgoingProofRequest& outgoing : actions.requests) {
    ++proofQuestions_;
    deliver(number, outgoing.to, [this, sender, request = outgoing.request](std::size_t receiver) {
      carryOut(receiver, daemons_[receiver].follower->onProofRequest(sender, request, clockOf(receiver)));
    });
  }
  for (const OutgoingProofReply& outgoing : actions.replies) {
    deliver(number, outgoing.to, [this, sender, reply = outgoing.reply](std::size_t receiver) {
      carryOut(receiver, daemons_[receiver].follower->onProofReply(sender, reply, clockOf(receiver)));
    });
  }
}

void SourceFleet::setCut(std::size_t from, std::size_t to, bool cut) {
  if (cut) {
    cuts_.emplace(from, to);
  } else {
    cuts_.erase({from, to});
  }
}

void SourceFleet::runIn(std::size_t number, std::uint64_t life, std::function<void()> action) {
  Daemon& daemon = daemons_[number];
  if (!daemon.alive || daemon.life != life) {
    return;
  }
  if (daemon.suspended) {
    daemon.lying.push_back(std::move(action));
  } else {
    action();
  }
}

void SourceFleet::resume(std::size_t number) {
  daemons_[number].suspended = false;
  std::vector<std::function<void()>> lying;
  lying.swap(daemons_[number].lying);
  for (const auto& action : lying) {
    action();
  }
  pump(number);
}

bool SourceFleet::covers(std::size_t number, Duration bound) const {
  const Daemon& daemon = daemons_[number];
  return daemon.follower->proof().covers(daemon.follower->configurationVersion(), clockOf(number), bound);
}

Duration SourceFleet::proofAge(std::size_t number) const {
  return clockOf(number) - daemons_[number].follower->proof().provenAt;
}

bool SourceFleet::outdatedBy(std::size_t number, Duration bound) const {
  const auto newer = acknowledged_.upper_bound(versionOf(number));
  return newer != acknowledged_.end() && now_ - newer->second > bound;
}

std::size_t SourceFleet::proofReads() const {
  std::size_t reads = 0;
  for (const Daemon& daemon : daemons_) {
    reads += daemon.alive ? daemon.follower->counters().proofs.readWishes : 0;
  }
  return reads;
}

void SourceFleet::checkProof(std::size_t number) {
  const ConfigurationProof& proof = daemons_[number].follower->proof();
  const auto newer = acknowledged_.upper_bound(proof.version);
  if (proof.version != 0 && newer != acknowledged_.end()) {
    unsoundProofs_ += newer->second < proof.provenAt - daemons_[number].ahead ? 1 : 0;
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
  if (cuts_.count({from, number}) > 0) {
    return;
  }
  const auto arrive = [this, number, action = std::move(action)] {
    runIn(number, daemons_[number].life, [this, number, action] {
      action(number);
      pump(number);
    });
  };
  const auto drawLateness = [this] {
    return Duration(static_cast<std::int64_t>(drawBelow(settings_.longestLateness.count(), random_)));
  };
  const auto drawn = [this](double share) {
    return share > 0 && std::bernoulli_distribution(share)(random_);
  };
  const Moment arrival = now_ + settings_.shortestFrame + Duration(extra);
  at(drawn(settings_.lateFrames) ? arrival + drawLateness() : arrival, arrive);
  if (drawn(settings_.replayedFrames)) {
    at(arrival + drawLateness(), arrive);
  }
}

void SourceFleet::call(std::size_t number, const SourceCall& call) {
  at(now_ + kSourceDelay / 2,
     [this, number, life = daemons_[number].life, call] { onCall(number, life, call); });
}

void SourceFleet::onCall(std::size_t number, std::uint64_t life, const SourceCall& call) {
  ++calls_;
  listings_ += call.kind == SourceCall::Kind::kList && call.afterKey.empty() ? 1 : 0;
  if (sourceDown_) {
    answer(number, life, call, SourceFailure::kNoAnswer, call.wait + kCallTimeout);
    return;
  }
  if (daemons_[number].refused) {
    answer(number, life, call, told(SourceFailure::kUnavailable), kSourceDelay / 2);
    return;
  }
  if (call.kind == SourceCall::Kind::kList || hasChangesFor(call) || call.wait.count() == 0) {
    answer(number, life, call, told(contentFor(call)), kSourceDelay / 2);
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
      answer(ended.daemon, ended.life, ended.call, told(contentFor(ended.call)), kSourceDelay / 2);
    }
  });
}

void SourceFleet::answer(std::size_t number, std::uint64_t life, const SourceCall& call,
                         const SourceAnswer& answer, Duration delay) {
  at(now_ + delay, [this, number, life, call, answer] {
    const bool lost = daemons_[number].answersLost;
    const auto take = [this, number, life, call](const SourceAnswer& taken) {
      runIn(number, life, [this, number, call, taken] {
        carryOut(number, daemons_[number].follower->onAnswer(call, taken, clockOf(number)));
        pump(number);
      });
    };
    if (lost) {
      at(now_ + kCallTimeout, [take] { take(SourceFailure::kNoAnswer); });
    } else {
      take(answer);
    }
  });
}

bool SourceFleet::hasChangesFor(const SourceCall& call) const {
  return call.afterRevision < historyFrom_ || call.afterRevision > revision_ ||
         revision_ > call.afterRevision;
}

SourceAnswer::Content SourceFleet::contentFor(const SourceCall& call) const {
  SourcePage page;
  page.revision = revision_;
  if (call.kind == SourceCall::Kind::kChanges) {
    if (call.afterRevision < historyFrom_ || call.afterRevision > revision_) {
      return SourceFailure::kHistoryGone;
    }
    for (const Change& change : history_) {
      if (change.record.revision > call.afterRevision) {
        page.records.push_back(change.record);
      }
    }
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
