#include "coordination/membership.h"

#include <algorithm>
#include <cmath>

#include "state/erase.h"

namespace oakpier {

namespace {

constexpr int kMostOwnTrouble = 5;
constexpr Duration kForgetPeriod = std::chrono::seconds(30);
/// A probe is given up after this many time-outs, the indirect ones included.
constexpr int kProbeLifetimeTimeouts = 3;
/// Members told directly of a planned leave.
constexpr int kLeaveNotices = 5;
/// Records exchanged in one comparison, about; and the fewest parts.
constexpr std::size_t kRecordsPerComparison = 200;
constexpr std::size_t kLeastPartsPerComparison = 2;

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

MembershipActions Membership::onProbe(const Endpoint& sender, const Probe& probe, Moment now) {
  MembershipActions actions;
  const bool bulk = probe.compared_parts_size() > 0;
  receive(probe, bulk, now);
  if (!probe.target().empty()) {
    const auto target = Endpoint::parse(probe.target());
    if (target && *target != self_) {
      PendingProbe onBehalf;
      onBehalf.askedBy = sender;
      onBehalf.askedSequence = probe.sequence();
      sendProbe(*target, now, actions, &onBehalf);
    }
    return actions;
  }
  OutgoingProbeReply outgoing{sender, {}};
  outgoing.reply.set_sequence(probe.sequence());
  outgoing.reply.set_subject(self_.text());
  if (bulk) {
    outgoing.reply.set_bulk(true);
    attachParts(outgoing.reply, {probe.compared_parts().begin(), probe.compared_parts().end()});
  } else {
    outgoing.reply.set_bulk(probe.joining());
    attachUpdates(sender, outgoing.reply, probe.joining());
    if (!probe.joining() && probe.digest() != wholeDigest() && (updates_.empty() || probe.settling())) {
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
  ownTrouble_ = std::max(0, ownTrouble_ - 1);
  if (pending.askedBy) {
    OutgoingProbeReply outgoing{*pending.askedBy, {}};
    outgoing.reply.set_sequence(pending.askedSequence);
    outgoing.reply.set_subject(reply.subject());
    attachUpdates(*pending.askedBy, outgoing.reply);
    actions.replies.push_back(std::move(outgoing));
  }
  return actions;
}

MembershipActions Membership::onTime(Moment now) {
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
    nextProbeAt_ = now + probePeriod(now) * (1 + ownTrouble_);
    probeNext(now, actions);
  }
  if (now >= nextReconnectAt_) {
    nextReconnectAt_ = now + (joined_ ? settings_.reconnectPeriod : settings_.probePeriod / 4);
    reconnect(now, actions);
  }
  if (now >= nextForgetAt_) {
    nextForgetAt_ = now + kForgetPeriod;
    forgetTombstones(now);
  }
  return actions;
}

ProbeReply Membership::introduction(const Endpoint& receiver) {
  ProbeReply reply;
  reply.set_subject(self_.text());
  reply.set_bulk(true);
  attachUpdates(receiver, reply, true);
  return reply;
}

void Membership::onPause(Moment now) {
  updates_.clear();
  pending_.clear();
  // Suspicions start again: during the pause nobody could refute them here.
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
                           const PendingProbe* special) {
  PendingProbe pending = special == nullptr ? PendingProbe{} : *special;
  pending.target = target;
  pending.sentAt = now;
  const std::uint64_t sequence = nextSequence_++;
  OutgoingProbe outgoing{target, {}};
  outgoing.probe.set_sequence(sequence);
  outgoing.probe.set_joining(!joined_);
  outgoing.probe.set_digest(wholeDigest());
  outgoing.probe.set_settling(settling(now));
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
      if (!pending.askedBy && !pending.reconnecting) {
        ownTrouble_ = std::min(kMostOwnTrouble, ownTrouble_ + 1);
        suspect(pending.target, now);
      }
      entry = pending_.erase(entry);
      continue;
    }
    const bool ordinary = !pending.askedBy && !pending.reconnecting;
    if (age >= settings_.probeTimeout && !pending.indirectSent && ordinary) {
      pending.indirectSent = true;
      askOthers(entry->first, pending, actions);
    }
    ++entry;
  }
}

void Membership::askOthers(std::uint64_t sequence, PendingProbe& pending, MembershipActions& actions) {
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

/// Tries one seed and one dead member: only so do two sides of a healed cut hear of each other again.
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

void Membership::forgetTombstones(Moment now) {
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

template <typename Message>
void Membership::receive(const Message& message, bool bulk, Moment now) {
  joined_ = true;
  for (const auto& update : message.updates()) {
    merge(update, bulk, now);
  }
}

void Membership::merge(const MemberUpdate& update, bool bulk, Moment now) {
  const auto address = Endpoint::parse(update.address());
  if (!address) {
    return;
  }
  if (*address == self_) {
    mergeSelf(update);
    return;
  }
  MemberRecord record;
  record.address = *address;
  record.incarnation = update.incarnation();
  record.refutation = update.refutation();
  record.zone = members_.zoneNumber(update.zone());
  record.condition = update.condition();
  mergeRecord(record, bulk, now);
}

/// News about this process: anything but alive is refuted, unless it is true.
void Membership::mergeSelf(const MemberUpdate& update) {
  if (settings_.adoptHigherIncarnation && update.incarnation() > incarnation_) {
    incarnation_ = update.incarnation() + 1;
    return;
  }
  const bool aboutThisProcess = update.incarnation() == incarnation_;
  if (!aboutThisProcess || update.condition() == MEMBER_ALIVE || leaving_) {
    return;
  }
  if (update.refutation() >= selfRefutation_) {
    selfRefutation_ = update.refutation() + 1;
    ownTrouble_ = std::min(kMostOwnTrouble, ownTrouble_ + 1);
    ++counters_.refutations;
  }
}

void Membership::mergeRecord(const MemberRecord& update, bool bulk, Moment now) {
  const MemberRecord* known = members_.find(update.address);
  if (known != nullptr && !supersedes(update, *known)) {
    return;
  }
  const bool servedBefore = known != nullptr && known->serving();
  const bool sameProcess = known != nullptr && known->incarnation == update.incarnation;
  MemberRecord record = update;
  record.changedAt = now;
  members_.put(record);
  if (servedBefore != record.serving() || !sameProcess) {
    ++version_;
  }
  if (record.condition == MEMBER_SUSPECT) {
    suspicions_.add(record.address, now + suspicionTime());
  }
  if (record.serving() && !servedBefore) {
    probeOrder_.add(record.address, random_);
  }
  if (record.condition == MEMBER_DEAD) {
    dead_.add(record.address);
  }
  if (!bulk) {
    spread(record.address);
  }
}

Duration Membership::suspicionTime() const {
  const double periods = settings_.suspicionPeriods * logMembers() * (1 + ownTrouble_);
  return std::chrono::duration_cast<Duration>(settings_.probePeriod * periods);
}

/// Queues what is now believed of `subject` to be sent a bounded number of times.
void Membership::spread(const Endpoint& subject) {
  const int transmissions = static_cast<int>(std::ceil(settings_.updateTransmissions * logMembers()));
  updates_.add(subject, transmissions);
}

/// The sender's own record always rides along, so the receiver knows whom it hears; and what is believed of
/// the receiver, when that is bad, so that it can refute it.
template <typename Message>
void Membership::attachUpdates(const Endpoint& receiver, Message& message, bool everything) {
  *message.add_updates() = describeSelf();
  const MemberRecord* receiverRecord = members_.find(receiver);
  if (receiverRecord != nullptr && receiverRecord->condition != MEMBER_ALIVE) {
    *message.add_updates() = describe(*receiverRecord);
  }
  if (everything) {
    for (const auto& record : members_.records()) {
      *message.add_updates() = describe(record);
    }
    return;
  }
  for (const Endpoint& subject : updates_.take()) {
    const MemberRecord* record = members_.find(subject);
    if (record != nullptr) {
      *message.add_updates() = describe(*record);
    }
  }
}

/// News can be lost. A daemon whose table differs in some parts is sent our records of them and answers with
/// its own; both then hold the newer of each.
void Membership::compareTables(const Endpoint& sender, const ProbeReply& reply, Moment now,
                               MembershipActions& actions) {
  if (reply.part_digests_size() != static_cast<int>(kTableParts) || now < nextCompareAt_) {
    return;
  }
  std::vector<std::uint32_t> differing;
  for (std::uint32_t part = 0; part < kTableParts; ++part) {
    if (reply.part_digests(static_cast<int>(part)) != partDigest(part)) {
      differing.push_back(part);
    }
  }
  if (differing.empty()) {
    return;
  }
  nextCompareAt_ = now + (settling(now) ? settings_.settlingProbePeriod : settings_.comparePeriod);
  ++counters_.tableComparisons;
  std::shuffle(differing.begin(), differing.end(), random_);
  const std::size_t recordsPerPart = members_.records().size() / kTableParts + 1;
  const std::size_t most = std::max(kLeastPartsPerComparison, kRecordsPerComparison / recordsPerPart);
  differing.resize(std::min(differing.size(), most));
  OutgoingProbe outgoing{sender, {}};
  outgoing.probe.set_sequence(nextSequence_++);
  outgoing.probe.set_digest(wholeDigest());
  for (const std::uint32_t part : differing) {
    outgoing.probe.add_compared_parts(part);
  }
  attachParts(outgoing.probe, differing);
  actions.probes.push_back(std::move(outgoing));
}

template <typename Message>
void Membership::attachParts(Message& message, const std::vector<std::uint32_t>& parts) const {
  *message.add_updates() = describeSelf();
  for (const auto& record : members_.records()) {
    if (std::find(parts.begin(), parts.end(), partOf(record.address)) != parts.end()) {
      *message.add_updates() = describe(record);
    }
  }
}

/// Of the serving members and this daemon itself.
std::uint64_t Membership::partDigest(std::size_t part) const {
  MemberRecord own;
  own.address = self_;
  own.incarnation = incarnation_;
  return members_.partDigest(part) ^ (partOf(self_) == part ? digestOf(own) : 0);
}

std::uint64_t Membership::wholeDigest() const {
  std::uint64_t digest = 0;
  for (std::size_t part = 0; part < kTableParts; ++part) {
    digest ^= partDigest(part);
  }
  return digest;
}

MemberUpdate Membership::describe(const MemberRecord& record) const {
  MemberUpdate update;
  update.set_address(record.address.text());
  update.set_zone(members_.zoneName(record.zone));
  update.set_incarnation(record.incarnation);
  update.set_refutation(record.refutation);
  update.set_condition(record.condition);
  return update;
}

MemberUpdate Membership::describeSelf() const {
  MemberUpdate update;
  update.set_address(self_.text());
  update.set_zone(zone_);
  update.set_incarnation(incarnation_);
  update.set_refutation(selfRefutation_);
  update.set_condition(leaving_ ? MEMBER_LEFT : MEMBER_ALIVE);
  return update;
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

double Membership::logMembers() const {
  return std::max(1.0, std::log10(static_cast<double>(members_.servingCount()) + 2));
}

}  // namespace oakpier
