#include "coordination/repeat_guard.h"

#include <algorithm>

#include "state/hashing.h"

namespace oakpier {

std::vector<Endpoint> guardiansOf(const std::string& requestId, const std::vector<Endpoint>& members) {
  struct Ranked {
    std::uint64_t weight = 0;
    Endpoint address;
  };
  const std::uint64_t id = hashText(requestId);
  std::vector<Ranked> ranked;
  ranked.reserve(members.size());
  for (const auto& member : members) {
    ranked.push_back({hashPair(id, member.packed()), member});
  }
  const std::size_t count = std::min(kGuardiansPerId, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                    [](const Ranked& left, const Ranked& right) { return left.weight > right.weight; });
  std::vector<Endpoint> guardians;
  for (std::size_t rank = 0; rank < count; ++rank) {
    guardians.push_back(ranked[rank].address);
  }
  return guardians;
}

ReserveReply RepeatGuard::onReserve(const Reserve& reserve, const MemberTable& members, bool leaseHeld,
                                    Moment now) {
  ReserveReply reply;
  reply.set_request_id(reserve.request_id());
  reply.set_work_id(reserve.work_id());
  const auto known = reservations_.find(reserve.request_id());
  if (known != reservations_.end() && known->second.until > now) {
    const bool sameRun = known->second.workId == reserve.work_id();
    reply.set_verdict(sameRun ? RESERVE_GRANTED : RESERVE_DUPLICATE);
    return reply;
  }
  if (!synchronized_ || !leaseHeld || !guards(reserve.request_id(), members, now)) {
    reply.set_verdict(RESERVE_ABSTAINED);
    return reply;
  }
  reservations_[reserve.request_id()] = HeldReservation{reserve.work_id(), now + settings_.window};
  reply.set_verdict(RESERVE_GRANTED);
  return reply;
}

void RepeatGuard::onRelease(const ReserveRelease& release) {
  const auto known = reservations_.find(release.request_id());
  if (known != reservations_.end() && known->second.workId == release.work_id()) {
    reservations_.erase(known);
  }
}

/// This daemon, the serving members, and departed ones whose reservations may not have expired.
std::vector<Endpoint> RepeatGuard::rankedMembers(const MemberTable& members, Moment now) const {
  std::vector<Endpoint> ranked{self_};
  for (const auto& record : members.records()) {
    const bool departedRecently =
        !record.serving() && now - record.changedAt < settings_.window + settings_.leaseLength;
    if (record.serving() || departedRecently) {
      ranked.push_back(record.address);
    }
  }
  return ranked;
}

bool RepeatGuard::guards(const std::string& requestId, const MemberTable& members, Moment now) const {
  const auto guardians = guardiansOf(requestId, rankedMembers(members, now));
  return std::find(guardians.begin(), guardians.end(), self_) != guardians.end();
}

ReservationsReply RepeatGuard::reservationsFor(const Endpoint& requester, const MemberTable& members,
                                               Moment now) const {
  ReservationsReply reply;
  std::vector<Endpoint> ranked = rankedMembers(members, now);
  if (std::find(ranked.begin(), ranked.end(), requester) == ranked.end()) {
    ranked.push_back(requester);
  }
  for (const auto& [id, reservation] : reservations_) {
    const auto guardians = guardiansOf(id, ranked);
    if (reservation.until > now &&
        std::find(guardians.begin(), guardians.end(), requester) != guardians.end()) {
      Reserve& reserve = *reply.add_reservations();
      reserve.set_request_id(id);
      reserve.set_work_id(reservation.workId);
    }
  }
  return reply;
}

void RepeatGuard::onReservations(const Endpoint& sender, const ReservationsReply& reply, Moment now) {
  synchronizedPeers_.insert(sender);
  for (const auto& reserve : reply.reservations()) {
    reservations_.emplace(reserve.request_id(), HeldReservation{reserve.work_id(), now + settings_.window});
  }
}

std::vector<Endpoint> RepeatGuard::onTimer(const MemberTable& members, Moment now) {
  if (startedAt_ == Moment{}) {
    startedAt_ = now;
  }
  if (now < nextSyncAt_) {
    return {};
  }
  nextSyncAt_ = now + settings_.syncPeriod;
  for (auto reservation = reservations_.begin(); reservation != reservations_.end();) {
    reservation =
        reservation->second.until <= now ? reservations_.erase(reservation) : std::next(reservation);
  }
  updateSynchronized(members, now);
  std::vector<Endpoint> unsynchronized;
  for (const auto& record : members.records()) {
    if (!synchronized_ && record.serving() && synchronizedPeers_.count(record.address) == 0) {
      unsynchronized.push_back(record.address);
    }
  }
  return unsynchronized;
}

void RepeatGuard::updateSynchronized(const MemberTable& members, Moment now) {
  if (synchronized_) {
    return;
  }
  const Duration age = now - startedAt_;
  const bool synchronizedAll =
      std::all_of(members.records().begin(), members.records().end(), [&](const MemberRecord& record) {
        return !record.serving() || synchronizedPeers_.count(record.address) != 0;
      });
  const bool knowsPeers = members.servingCount() > 0;
  synchronized_ = (synchronizedAll && knowsPeers && age >= settings_.minStartupPeriod) ||
                  age >= settings_.window + settings_.leaseLength;
  if (synchronized_) {
    synchronizedPeers_.clear();
  }
}

void Reservation::onVerdict(const Endpoint& guardian, ReserveVerdict verdict) {
  if (verdict == RESERVE_GRANTED) {
    granted_.insert(guardian);
  } else if (verdict == RESERVE_DUPLICATE) {
    duplicate_ = true;
  } else {
    abstained_.insert(guardian);
  }
}

Reservation::State Reservation::state() const {
  const std::size_t quorum = guardians_ / 2 + 1;
  if (duplicate_) {
    return State::kDuplicate;
  }
  if (granted_.size() >= quorum) {
    return State::kGranted;
  }
  return guardians_ - abstained_.size() < quorum ? State::kRefused : State::kWaiting;
}

}  // namespace oakpier
