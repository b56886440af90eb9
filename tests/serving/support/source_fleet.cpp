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
constexpr Duration kMaxJoinDelay = std::chrono::milliseconds(2500);
constexpr Duration kMaxCrashDelay = std::chrono::seconds(9);
constexpr Duration kMaxStartDelay = std::chrono::milliseconds(300);
constexpr std::uint64_t kDelaySteps = 1000;

/// The clocks of daemons differ by up to this.
constexpr Duration kMaxClockOffset = std::chrono::seconds(1000);

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
    return record.deleted ? SourceStatement{ZoneEvacuationEnd{zone}} : SourceStatement{ZoneEvacuation{zone}};
  }
  if (record.deleted) {
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
    daemon.clockOffset = Duration(static_cast<std::int64_t>(drawBelow(kMaxClockOffset.count(), random_)));
    numbers_[daemon.address] = number;
    daemons_.push_back(std::move(daemon));
  }
  for (std::size_t seed = 0; seed < std::min(settings.seeds, settings.daemons); ++seed) {
    seeds_.push_back(daemons_[drawBelow(daemons_.size(), random_)].address);
  }
  for (std::size_t number = 0; number < daemons_.size(); ++number) {
    const auto delay = static_cast<std::int64_t>(drawBelow(kMaxStartDelay.count(), random_));
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

void SourceFleet::change(const std::string& key, const std::string& value, bool deleted) {
  const SourceRecord record{key, value, ++revision_, deleted};
  lastWrites_[key] = record;
  if (deleted) {
    records_.erase(key);
  } else {
    records_[key] = record;
  }
  history_.push_back(Change{record, now_});
  if (sourceDown_) {
    return;
  }
  std::vector<HeldCall> ended;
  ended.swap(heldCalls_);
  for (const HeldCall& heldCall : ended) {
    answer(heldCall.daemon, heldCall.incarnation, heldCall.call, withEpoch(contentFor(heldCall.call)),
           kSourceDelay / 2);
  }
}

SourceAnswer SourceFleet::withEpoch(SourceAnswer::Content content) const {
  return epoch_ == 0 ? SourceAnswer(std::move(content), ReportedEpoch{})
                     : SourceAnswer(std::move(content), ReportedEpoch::of(epoch_));
}

void SourceFleet::restoreSource(Duration age, Duration rewriteWindow) {
  for (const HeldCall& heldCall : heldCalls_) {
    answer(heldCall.daemon, heldCall.incarnation, heldCall.call, SourceFailure::kNoAnswer, Duration(0));
  }
  heldCalls_.clear();
  while (!history_.empty() && history_.back().madeAt > now_ - age) {
    history_.pop_back();
  }
  records_.clear();
  revision_ = std::min(revision_, historyFrom_);
  for (const Change& change : history_) {
    revision_ = change.record.revision;
    if (change.record.deleted) {
      records_.erase(change.record.key);
    } else {
      records_[change.record.key] = change.record;
    }
  }
  historyFrom_ = std::min(historyFrom_, revision_);
  ++epoch_;
  for (const auto& [key, lastWrite] : lastWrites_) {
    const auto delay = static_cast<std::int64_t>(drawBelow(rewriteWindow.count() + 1, random_));
    at(now_ + Duration(delay), [this, key = key] { rewrite(key); });
  }
}

void SourceFleet::rewrite(const std::string& key) {
  const SourceRecord& lastWrite = lastWrites_.at(key);
  const auto listed = records_.find(key);
  const bool unchanged = listed == records_.end()
                             ? lastWrite.deleted
                             : !lastWrite.deleted && listed->second.value == lastWrite.value;
  if (!unchanged) {
    change(key, lastWrite.value, lastWrite.deleted);
  }
}

std::uint64_t SourceFleet::changeConfiguration() {
  change(kConfigurationKey, std::to_string(++version_));
  acknowledged_[version_] = now_;
  return version_;
}

void SourceFleet::changeLeaf(std::size_t number) { change("leaf/" + std::to_string(number), "ready"); }

void SourceFleet::removeLeaf(std::size_t number) { change("leaf/" + std::to_string(number), "", true); }

std::size_t SourceFleet::daemonsWithWrongLeafs() const {
  std::set<std::string> listed;
  for (const auto& [key, record] : records_) {
    if (key.compare(0, kLeafPrefix.size(), kLeafPrefix) == 0) {
      listed.insert(key);
    }
  }
  std::size_t wrong = 0;
  for (const Daemon& daemon : daemons_) {
    if (daemon.alive) {
      const auto known = daemon.follower->leafIds();
      wrong += known == listed ? 0 : 1;
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
  ++daemon.incarnation;
  daemon.startedAt = now_;
  daemon.versions.clear();
  daemon.wakeAt = kNever;
  daemon.suspended = false;
  daemon.deferred.clear();
  const auto interpreter = [tenants = settings_.tenants](const SourceRecord& record) {
    return interpret(record, tenants);
  };
  FollowerSettings follower;
  follower.state = stateSettingsFor(settings_.leaveBound, kDefaultLeafHeartbeat);
  daemon.follower =
      std::make_unique<SourceFollower>(daemon.address, follower, interpreter, RandomEngine(random_()));
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
    for (const HeldCall& heldCall : heldCalls_) {
      answer(heldCall.daemon, heldCall.incarnation, heldCall.call, SourceFailure::kNoAnswer, Duration(0));
    }
    heldCalls_.clear();
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
  apply(number, daemon.follower->onTimer(clockOf(number)));
  if (const auto due = daemon.follower->takeCall(clockOf(number))) {
    call(number, *due);
  }
  const std::uint64_t version = daemon.follower->configurationVersion();
  versionDecreases_ += !daemon.versions.empty() && version < daemon.versions.rbegin()->first ? 1 : 0;
  daemon.versions.try_emplace(version, now_);
  checkProof(number);
  const Moment due = daemon.follower->nextDueAt();
  const Moment next = due == kNever ? kNever : due - daemon.clockOffset;
  if (next != kNever && (daemon.wakeAt <= now_ || next < daemon.wakeAt)) {
    daemon.wakeAt = std::max(next, now_);
    at(daemon.wakeAt, [this, number, incarnation = daemon.incarnation, planned = daemon.wakeAt] {
      runIn(number, incarnation, [this, number, planned] {
        if (daemons_[number].wakeAt == planned) {
          daemons_[number].wakeAt = kNever;
          pump(number);
        }
      });
    });
  }
}

void SourceFleet::apply(std::size_t number, const FollowerActions& actions) {
  const Endpoint sender = daemons_[number].address;
  for (const OutgoingUpdate& outgoing : actions.updates) {
    deliver(number, outgoing.to, [this, sender, update = outgoing.update](std::size_t receiver) {
      apply(receiver, daemons_[receiver].follower->onUpdate(sender, update, clockOf(receiver)));
    });
  }
  if (actions.requestFrom) {
    SourceNewsRequest request;
    request.set_known_revision(daemons_[number].follower->known().revision);
    request.set_known_epoch(daemons_[number].follower->known().epoch);
    deliver(number, *actions.requestFrom, [this, number, sender, request](std::size_t receiver) {
      if (const auto update =
              daemons_[receiver].follower->onUpdateRequest(sender, request, clockOf(receiver))) {
        FollowerActions reply;
        reply.updates.push_back(*update);
        apply(receiver, reply);
      }
    });
  }
  applyProofs(number, actions.proofs);
}

void SourceFleet::applyProofs(std::size_t number, const ProofActions& actions) {
  const Endpoint sender = daemons_[number].address;
  for (const OutgoingProofRequest& outgoing : actions.requests) {
    ++proofRequests_;
    deliver(number, outgoing.to, [this, sender, request = outgoing.request](std::size_t receiver) {
      apply(receiver, daemons_[receiver].follower->onProofRequest(sender, request, clockOf(receiver)));
    });
  }
  for (const OutgoingProofReply& outgoing : actions.replies) {
    deliver(number, outgoing.to, [this, sender, reply = outgoing.reply](std::size_t receiver) {
      apply(receiver, daemons_[receiver].follower->onProofReply(sender, reply, clockOf(receiver)));
    });
  }
}

void SourceFleet::setLinkDown(std::size_t from, std::size_t to, bool down) {
  if (down) {
    linksDown_.emplace(from, to);
  } else {
    linksDown_.erase({from, to});
  }
}

void SourceFleet::runIn(std::size_t number, std::uint64_t incarnation, std::function<void()> action) {
  Daemon& daemon = daemons_[number];
  if (!daemon.alive || daemon.incarnation != incarnation) {
    return;
  }
  if (daemon.suspended) {
    daemon.deferred.push_back(std::move(action));
  } else {
    action();
  }
}

void SourceFleet::resume(std::size_t number) {
  daemons_[number].suspended = false;
  std::vector<std::function<void()>> deferred;
  deferred.swap(daemons_[number].deferred);
  for (const auto& action : deferred) {
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

std::size_t SourceFleet::proofReadRequests() const {
  std::size_t reads = 0;
  for (const Daemon& daemon : daemons_) {
    reads += daemon.alive ? daemon.follower->counters().proofs.readRequests : 0;
  }
  return reads;
}

void SourceFleet::checkProof(std::size_t number) {
  const ConfigurationProof& proof = daemons_[number].follower->proof();
  const auto newer = acknowledged_.upper_bound(proof.version);
  if (proof.version != 0 && newer != acknowledged_.end()) {
    unsoundProofs_ += newer->second < proof.provenAt - daemons_[number].clockOffset ? 1 : 0;
  }
}

void SourceFleet::deliver(std::size_t from, const Endpoint& to,
                          std::function<void(std::size_t receiver)> action) {
  const auto receiver = numbers_.find(to);
  if (receiver == numbers_.end() || receiver->second == from ||
      std::bernoulli_distribution(settings_.frameLoss)(random_)) {
    return;
  }
  const Duration spread = settings_.maxFrameDelay - settings_.minFrameDelay;
  const auto extra = static_cast<std::int64_t>(drawBelow(spread.count() + 1, random_));
  const std::size_t number = receiver->second;
  if (linksDown_.count({from, number}) > 0) {
    return;
  }
  const auto arrive = [this, number, action = std::move(action)] {
    runIn(number, daemons_[number].incarnation, [this, number, action] {
      action(number);
      pump(number);
    });
  };
  const auto drawExtraDelay = [this] {
    return Duration(static_cast<std::int64_t>(drawBelow(settings_.maxExtraDelay.count(), random_)));
  };
  const auto drawn = [this](double share) {
    return share > 0 && std::bernoulli_distribution(share)(random_);
  };
  const Moment arrival = now_ + settings_.minFrameDelay + Duration(extra);
  at(drawn(settings_.delayedFrames) ? arrival + drawExtraDelay() : arrival, arrive);
  if (drawn(settings_.duplicatedFrames)) {
    at(arrival + drawExtraDelay(), arrive);
  }
}

void SourceFleet::call(std::size_t number, const SourceCall& call) {
  at(now_ + kSourceDelay / 2,
     [this, number, incarnation = daemons_[number].incarnation, call] { onCall(number, incarnation, call); });
}

void SourceFleet::onCall(std::size_t number, std::uint64_t incarnation, const SourceCall& call) {
  ++calls_;
  listings_ += call.kind == SourceCall::Kind::kList && call.afterKey.empty() ? 1 : 0;
  if (sourceDown_) {
    answer(number, incarnation, call, SourceFailure::kNoAnswer, call.wait + kCallTimeout);
    return;
  }
  if (daemons_[number].refused) {
    answer(number, incarnation, call, withEpoch(SourceFailure::kUnavailable), kSourceDelay / 2);
    return;
  }
  if (call.kind == SourceCall::Kind::kList || hasChangesFor(call) || call.wait.count() == 0) {
    answer(number, incarnation, call, withEpoch(contentFor(call)), kSourceDelay / 2);
    return;
  }
  const std::uint64_t held = nextHeldCall_++;
  heldCalls_.push_back(HeldCall{number, incarnation, call, held});
  at(now_ + call.wait, [this, held] {
    const auto found = std::find_if(heldCalls_.begin(), heldCalls_.end(),
                                    [&](const HeldCall& heldCall) { return heldCall.number == held; });
    if (found != heldCalls_.end()) {
      const HeldCall ended = *found;
      heldCalls_.erase(found);
      answer(ended.daemon, ended.incarnation, ended.call, withEpoch(contentFor(ended.call)),
             kSourceDelay / 2);
    }
  });
}

void SourceFleet::answer(std::size_t number, std::uint64_t incarnation, const SourceCall& call,
                         const SourceAnswer& answer, Duration delay) {
  at(now_ + delay, [this, number, incarnation, call, answer] {
    const bool lost = daemons_[number].answersLost;
    const auto take = [this, number, incarnation, call](const SourceAnswer& taken) {
      runIn(number, incarnation, [this, number, call, taken] {
        apply(number, daemons_[number].follower->onAnswer(call, taken, clockOf(number)));
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
      return SourceFailure::kHistoryUnavailable;
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

Duration SourceFleet::learningDelay(const Daemon& daemon, const Daemon& other, Duration longest) const {
  const std::uint64_t drawn = hashPair(hashPair(daemon.address.packed(), daemon.incarnation),
                                       hashPair(other.address.packed(), other.incarnation));
  return longest * static_cast<int>(drawn % kDelaySteps) / static_cast<int>(kDelaySteps);
}

bool SourceFleet::knows(const Daemon& daemon, const Daemon& other) const {
  if (other.incarnation == 0) {
    return false;
  }
  const Moment since = std::max(daemon.startedAt, other.startedAt);
  const bool joined = now_ >= since + learningDelay(daemon, other, kMaxJoinDelay);
  const bool knownDead = !other.alive && now_ >= other.endedAt + learningDelay(daemon, other, kMaxCrashDelay);
  return joined && !knownDead;
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
