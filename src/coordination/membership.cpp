#include "coordination/membership.h"

#include <algorithm>
#include <cmath>

#include "state/erase.h"

namespace oakpier {

namespace {

constexpr Duration kTombstoneSweepPeriod = std::chrono::seconds(30);
/// A probe fails after this many probe timeouts; indirect probes are sent after the first.
constexpr int kProbeLifetimeTimeouts = 3;
/// Number of probes that report a planned stop.
constexpr int kLeaveNotices = 5;

}  // namespace

Membership::Membership(const Endpoint& self, const std::string& zone, std::uint64_t incarnation,
                       const MembershipSettings& settings, RandomEngine random)
    : self_(self),
      zone_(zone),
      incarnation_(incarnation),
      settings_(settings),
      random_(random),
      updates_(settings.updates) {}

void Membership::setSeeds(std::vector<Endpoint> seeds) {
  eraseValue(seeds, self_);
  seeds_ = std::move(seeds);
}

void Membership::setCapacity(std::uint32_t capacity) {
  if (capacity == 0 || capacity == capacity_) {
    return;
  }
  selfRefutation_ += capacity_ == 0 ? 0 : 1;
  capacity_ = capacity;
  ++version_;
}

MembershipActions Membership::onProbe(const Endpoint& sender, const Probe& probe, Moment now) {
  MembershipActions actions;
  const bool bulk = probe.compared_parts_size() > 0;
  receive(probe, bulk, now);
  if (!probe.target().empty()) {
    const auto target = Endpoint::parse(probe.target());
    if (target && *target != self_) {
      PendingProbe onBehalf;
      onBehalf.requester = sender;
      onBehalf.requesterSequence = probe.sequence();
      sendProbe(*target, now, actions, &onBehalf);
    }
    return actions;
  }
  OutgoingProbeReply outgoing{sender, {}};
  outgoing.reply.set_sequence(probe.sequence());
  outgoing.reply.set_subject(self_.text());
  if (bulk) {
    outgoing.reply.set_bulk(true);
    attachTableParts(outgoing.reply, {probe.compared_parts().begin(), probe.compared_parts().end()});
  } else {
    outgoing.reply.set_bulk(probe.joining());
    attachUpdates(sender, outgoing.reply, probe.joining());
    if (!probe.joining() && probe.digest() != tableDigest() && (updates_.empty() || probe.settling())) {
      for (std::size_t part = 0; part < kTableParts; ++part) {
        outgoing.reply.add_part_digests(partDigest(part));
      }
    }
  }
  actions.replies.push_back(std::move(outgoing));
  return actions;
}

MembershipActions Membership::onReply(const Endpoint& sender, const ProbeReply& reply, Moment now) {
  MembershipActions actions;
  receive(reply, reply.bulk(), now);
  compareTables(sender, reply, now, actions);
  const auto found = pending_.find(reply.sequence());
  if (found == pending_.end() || found->second.target.text() != reply.subject()) {
    return actions;
  }
  const PendingProbe pending = found->second;
  pending_.erase(found);
  localHealthMultiplier_ = std::max(0, localHealthMultiplier_ - 1);
  if (pending.requester) {
    OutgoingProbeReply outgoing{*pending.requester, {}};
    outgoing.reply.set_sequence(pending.requesterSequence);
    outgoing.reply.set_subject(reply.subject());
    attachUpdates(*pending.requester, outgoing.reply);
    actions.replies.push_back(std::move(outgoing));
  }
  return actions;
}

MembershipActions Membership::onTimer(Moment now) {
  MembershipActions actions;
  if (leaving_) {
    return actions;
  }
  if (startedAt_ == Moment{}) {
    startedAt_ = now;
  }
  checkPending(now, actions);
  expireSuspicions(now);
  if (now >= nextProbeAt_) {
    nextProbeAt_ = now + probePeriod(now) * (1 + localHealthMultiplier_);
    probeNext(now, actions);
  }
  if (now >= nextReconnectAt_) {
    nextReconnectAt_ = now + (joined_ ? settings_.reconnectPeriod : settings_.probePeriod / 4);
    reconnect(now, actions);
  }
  if (now >= nextTombstoneSweepAt_) {
    nextTombstoneSweepAt_ = now + kTombstoneSweepPeriod;
    removeExpiredTombstones(now);
  }
  return actions;
}

ProbeReply Membership::fullTable(const Endpoint& receiver) {
  ProbeReply reply;
  reply.set_subject(self_.text());
  reply.set_bulk(true);
  attachUpdates(receiver, reply, true);
  return reply;
}

void Membership::onPause(Moment now) {
  updates_.clear();
  pending_.clear();
  // Refutations could not be received during the pause.
  suspicions_.restart(now + suspicionTime());
  nextProbeAt_ = now;
  nextReconnectAt_ = now;
}

MembershipActions Membership::leave(Moment now) {
  MembershipActions actions;
  leaving_ = true;
  for (int notice = 0; notice < kLeaveNotices; ++notice) {
    if (const auto target = randomServing()) {
      sendProbe(*target, now, actions);
    }
  }
  return actions;
}

void Membership::probeNext(Moment now, MembershipActions& actions) {
  if (const auto target = probeOrder_.next(members_, random_)) {
    sendProbe(*target, now, actions);
  }
}

void Membership::sendProbe(const Endpoint& target, Moment now, MembershipActions& actions,
                           const PendingProbe* initial) {
  PendingProbe pending = initial == nullptr ? PendingProbe{} : *initial;
  pending.target = target;
  pending.sentAt = now;
  const std::uint64_t sequence = nextSequence_++;
  OutgoingProbe outgoing{target, {}};
  outgoing.probe.set_sequence(sequence);
  outgoing.probe.set_joining(!joined_);
  outgoing.probe.set_digest(tableDigest());
  outgoing.probe.set_settling(startingUp(now));
  attachUpdates(target, outgoing.probe);
  actions.probes.push_back(std::move(outgoing));
  pending_.emplace(sequence, pending);
  ++counters_.probesSent;
}

void Membership::checkPending(Moment now, MembershipActions& actions) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    PendingProbe& pending = entry->second;
    const Duration age = now - pending.sentAt;
    const bool ended = age >= settings_.probeTimeout * kProbeLifetimeTimeouts;
    if (ended) {
      if (!pending.requester && !pending.reconnecting) {
        localHealthMultiplier_ = std::min(kMaxLocalHealthMultiplier, localHealthMultiplier_ + 1);
        suspect(pending.target, now);
      }
      entry = pending_.erase(entry);
      continue;
    }
    const bool ordinary = !pending.requester && !pending.reconnecting;
    if (age >= settings_.probeTimeout && !pending.indirectSent && ordinary) {
      pending.indirectSent = true;
      sendIndirectProbes(entry->first, pending, actions);
    }
    ++entry;
  }
}

void Membership::sendIndirectProbes(std::uint64_t sequence, PendingProbe& pending,
                                    MembershipActions& actions) {
  for (std::size_t count = 0; count < settings_.indirectProbes; ++count) {
    const auto helper = randomServing();
    if (!helper || *helper == pending.target) {
      continue;
    }
    OutgoingProbe outgoing{*helper, {}};
    outgoing.probe.set_sequence(sequence);
    outgoing.probe.set_target(pending.target.text());
    attachUpdates(*helper, outgoing.probe);
    actions.probes.push_back(std::move(outgoing));
    ++counters_.indirectProbesSent;
  }
}

void Membership::suspect(const Endpoint& subject, Moment now) {
  const MemberRecord* record = members_.find(subject);
  if (record == nullptr || record->condition != MEMBER_ALIVE) {
    return;
  }
  ++counters_.suspicionsRaised;
  MemberRecord update = *record;
  update.condition = MEMBER_SUSPECT;
  mergeRecord(update, false, now);
}

void Membership::expireSuspicions(Moment now) {
  for (const Endpoint& subject : suspicions_.takeExpired(members_, now)) {
    ++counters_.deathsDeclared;
    MemberRecord update = *members_.find(subject);
    update.condition = MEMBER_DEAD;
    mergeRecord(update, false, now);
  }
}

/// Probes one seed that is not a serving member and one dead member. Without this the sides of a healed
/// network partition would not probe each other again.
void Membership::reconnect(Moment now, MembershipActions& actions) {
  std::vector<Endpoint> candidates;
  if (!seeds_.empty()) {
    const Endpoint seed = seeds_[drawBelow(seeds_.size(), random_)];
    const MemberRecord* record = members_.find(seed);
    if (record == nullptr || !record->serving()) {
      candidates.push_back(seed);
    }
  }
  if (const auto dead = dead_.draw(members_, random_)) {
    candidates.push_back(*dead);
  }
  for (const auto& candidate : candidates) {
    PendingProbe reconnecting;
    reconnecting.reconnecting = true;
    sendProbe(candidate, now, actions, &reconnecting);
  }
}

void Membership::removeExpiredTombstones(Moment now) {
  std::vector<Endpoint> old;
  for (const auto& record : members_.records()) {
    if (!record.serving() && now - record.changedAt > settings_.tombstoneLifetime) {
      old.push_back(record.address);
    }
  }
  for (const auto& address : old) {
    members_.remove(address);
  }
}

Duration Membership::suspicionTime() const {
  const double periods = settings_.suspicionPeriods * logMemberCount() * (1 + localHealthMultiplier_);
  return std::chrono::duration_cast<Duration>(settings_.probePeriod * periods);
}

std::optional<Endpoint> Membership::randomServing() {
  const auto& records = members_.records();
  constexpr int kDraws = 20;
  for (int attempt = 0; attempt < kDraws && !records.empty(); ++attempt) {
    const MemberRecord& record = records[drawBelow(records.size(), random_)];
    if (record.serving()) {
      return record.address;
    }
  }
  return std::nullopt;
}

double Membership::logMemberCount() const {
  return std::max(1.0, std::log10(static_cast<double>(members_.servingCount()) + 2));
}

}  // namespace oakpier
