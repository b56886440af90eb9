/// Dissemination of member records: updates piggybacked on probes and replies, and anti-entropy by comparing
/// member tables.

#include <algorithm>
#include <cmath>

#include "coordination/membership.h"

namespace oakpier {

namespace {

/// Approximate number of records sent in one table comparison, and the minimum number of table parts.
constexpr std::size_t kRecordsPerComparison = 200;
constexpr std::size_t kMinPartsPerComparison = 2;

}  // namespace

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
  record.capacity = update.capacity();
  mergeRecord(record, bulk, now);
}

/// Handles an update about this daemon: refutes any condition but alive, unless the daemon is leaving.
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
    localHealthMultiplier_ = std::min(kMaxLocalHealthMultiplier, localHealthMultiplier_ + 1);
    ++counters_.refutations;
  }
}

void Membership::mergeRecord(const MemberRecord& update, bool bulk, Moment now) {
  const MemberRecord* known = members_.find(update.address);
  if (known != nullptr && !supersedes(update, *known)) {
    learnCapacity(update, *known, bulk);
    return;
  }
  const bool servedBefore = known != nullptr && known->serving();
  const bool sameProcess = known != nullptr && known->incarnation == update.incarnation;
  const std::uint32_t knownCapacity = known != nullptr ? known->capacity : 0;
  MemberRecord record = update;
  record.changedAt = now;
  if (record.capacity == 0 && sameProcess && known->refutation == update.refutation) {
    record.capacity = knownCapacity;
  }
  members_.put(record);
  if (servedBefore != record.serving() || !sameProcess || record.capacity != knownCapacity) {
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
    enqueueUpdate(record.address);
  }
}

void Membership::learnCapacity(const MemberRecord& update, const MemberRecord& known, bool bulk) {
  const bool sameVersion = known.incarnation == update.incarnation && known.refutation == update.refutation;
  if (!sameVersion || known.capacity != 0 || update.capacity == 0) {
    return;
  }
  MemberRecord record = known;
  record.capacity = update.capacity;
  members_.put(record);
  ++version_;
  if (!bulk) {
    enqueueUpdate(record.address);
  }
}

/// Queues the record of `subject` to be sent a bounded number of times.
void Membership::enqueueUpdate(const Endpoint& subject) {
  const int transmissions = static_cast<int>(std::ceil(settings_.updateTransmissions * logMemberCount()));
  updates_.add(subject, transmissions);
}

/// Always adds the sender's own record, so that the receiver knows the sender's state, and the record of the
/// receiver if it is not alive, so that the receiver can refute it. `everything` adds the complete table
/// instead of queued updates.
template <typename Message>
void Membership::attachUpdates(const Endpoint& receiver, Message& message, bool everything) {
  *message.add_updates() = selfUpdate();
  const MemberRecord* receiverRecord = members_.find(receiver);
  if (receiverRecord != nullptr && receiverRecord->condition != MEMBER_ALIVE) {
    *message.add_updates() = updateFor(*receiverRecord);
  }
  if (everything) {
    for (const auto& record : members_.records()) {
      *message.add_updates() = updateFor(record);
    }
    return;
  }
  for (const Endpoint& subject : updates_.take()) {
    const MemberRecord* record = members_.find(subject);
    if (record != nullptr) {
      *message.add_updates() = updateFor(*record);
    }
  }
}

/// Anti-entropy, because updates can be lost: sends the records of some table parts whose digests differ. The
/// peer replies with its own, and both keep the newer record of each member.
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
  nextCompareAt_ = now + (startingUp(now) ? settings_.startupProbePeriod : settings_.comparePeriod);
  ++counters_.tableComparisons;
  std::shuffle(differing.begin(), differing.end(), random_);
  const std::size_t recordsPerPart = members_.records().size() / kTableParts + 1;
  const std::size_t maxParts = std::max(kMinPartsPerComparison, kRecordsPerComparison / recordsPerPart);
  differing.resize(std::min(differing.size(), maxParts));
  OutgoingProbe outgoing{sender, {}};
  outgoing.probe.set_sequence(nextSequence_++);
  outgoing.probe.set_digest(tableDigest());
  for (const std::uint32_t part : differing) {
    outgoing.probe.add_compared_parts(part);
  }
  attachTableParts(outgoing.probe, differing);
  actions.probes.push_back(std::move(outgoing));
}

template <typename Message>
void Membership::attachTableParts(Message& message, const std::vector<std::uint32_t>& parts) const {
  *message.add_updates() = selfUpdate();
  for (const auto& record : members_.records()) {
    if (std::find(parts.begin(), parts.end(), partOf(record.address)) != parts.end()) {
      *message.add_updates() = updateFor(record);
    }
  }
}

/// Covers the serving members and this daemon, which is not in its own table.
std::uint64_t Membership::partDigest(std::size_t part) const {
  MemberRecord own;
  own.address = self_;
  own.incarnation = incarnation_;
  own.capacity = capacity_;
  return members_.partDigest(part) ^ (partOf(self_) == part ? digestOf(own) : 0);
}

std::uint64_t Membership::tableDigest() const {
  std::uint64_t digest = 0;
  for (std::size_t part = 0; part < kTableParts; ++part) {
    digest ^= partDigest(part);
  }
  return digest;
}

MemberUpdate Membership::updateFor(const MemberRecord& record) const {
  MemberUpdate update;
  update.set_address(record.address.text());
  update.set_zone(members_.zoneName(record.zone));
  update.set_incarnation(record.incarnation);
  update.set_refutation(record.refutation);
  update.set_condition(record.condition);
  update.set_capacity(record.capacity);
  return update;
}

MemberUpdate Membership::selfUpdate() const {
  MemberUpdate update;
  update.set_address(self_.text());
  update.set_zone(zone_);
  update.set_incarnation(incarnation_);
  update.set_refutation(selfRefutation_);
  update.set_condition(leaving_ ? MEMBER_LEFT : MEMBER_ALIVE);
  update.set_capacity(capacity_);
  return update;
}

template void Membership::receive(const Probe& message, bool bulk, Moment now);
template void Membership::receive(const ProbeReply& message, bool bulk, Moment now);
template void Membership::attachUpdates(const Endpoint& receiver, Probe& message, bool everything);
template void Membership::attachUpdates(const Endpoint& receiver, ProbeReply& message, bool everything);
template void Membership::attachTableParts(Probe& message, const std::vector<std::uint32_t>& parts) const;
template void Membership::attachTableParts(ProbeReply& message,
                                           const std::vector<std::uint32_t>& parts) const;

}  // namespace oakpier
