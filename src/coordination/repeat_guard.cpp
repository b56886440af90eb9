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
  const auto known = held_.find(reserve.request_id());
  if (known != held_.end() && known->second.until > now) {
    const bool sameRun = known->second.workId == reserve.work_id();
    reply.set_verdict(sameRun ? RESERVE_GRANTED : RESERVE_DUPLICATE);
    return reply;
  }
  if (!settled_ || !leaseHeld || !guards(reserve.request_id(), members, now)) {
    reply.set_verdict(RESERVE_ABSTAINED);
    return reply;
  }
  held_[reserve.request_id()] = Holding{reserve.work_id(), now + settings_.window};
  reply.set_verdict(RESERVE_GRANTED);
  return reply;
}

void RepeatGuard::onRelease(const ReserveRelease& release) {
  const auto known = held_.find(release.request_id());
  if (known != held_.end() && known->second.workId == release.work_id()) {
    held_.erase(known);
  }
}

/// This daemon, the serving members, and departed ones whose reservations may not have expired.
std::vector<Endpoint> RepeatGuard::rankedMembers(const MemberTable& members, Moment now) const {
  std::vector<Endpoint> ranked{self_};
  for (const auto& record : members.records()) {
    const bool wentLately =
        !record.serving() && now - record.changedAt < settings_.window + settings_.leaseLength;
    if (record.serving() || wentLately) {
      ranked.push_back(record.address);
    }
  }
  return ranked;
}

bool RepeatGuard::guards(const std::string& requestId, const MemberTable& members, Moment now) const {
  const auto guardians = guardiansOf(requestId, rankedMembers(members, now));
  return std::find(guardians.begin(), guardians.end(), self_) != guardians.end();
}

ReservationsReply RepeatGuard::reservationsFor(const Endpoint& asker, const MemberTable& members,
                                               Moment now) const {
  ReservationsReply reply;
  std::vector<Endpoint> ranked = rankedMembers(members, now);
  if (std::find(ranked.begin(), ranked.end(), asker) == ranked.end()) {
    ranked.push_back(asker);
  }
  for (const auto& [id, holding] : held_) {
    const auto guardians = guardiansOf(id, ranked);
    if (holding.until > now && std::find(guardians.begin(), guardians.end(), asker) != guardians.end()) {
      Reserve& reserve = *reply.add_reservations();
      reserve.set_request_id(id);
      reserve.set_work_id(holding.workId);
    }
  }
  return reply;
}

void RepeatGuard::onReservations(const Endpoint& sender, const ReservationsReply& reply, Moment now) {
  heardFrom_.insert(sender);
  for (const auto& reserve : reply.reservations()) {
    held_.emplace(reserve.request_id(), Holding{reserve.work_id(), now + settings_.window});
  }
}

std::vector<Endpoint> RepeatGuard::onTime(const MemberTable& members, Moment now) {
  if (startedAt_ == Moment{}) {
    startedAt_ = now;
  }
  if (now < nextAskAt_) {
    return {};
  }
  nextAskAt_ = now + settings_.askPeriod;
  for (auto holding = held_.begin(); holding != held_.end();) {
    holding = holding->second.until <= now ? held_.erase(holding) : std::next(holding);
  }
  settle(members, now);
  std::vector<Endpoint> unheard;
  for (const auto& record : members.records()) {
    if (!settled_ && record.serving() && heardFrom_.count(record.address) == 0) {
      unheard.push_back(record.address);
    }
  }
  return unheard;
}

void RepeatGuard::settle(const MemberTable& members, Moment now) {
  if (settled_) {
    return;
  }
  const Duration age = now - startedAt_;
  const bool heardAll = std::all_of(
      members.records().begin(), members.records().end(),
      [&](const MemberRecord& record) { return !record.serving() || heardFrom_.count(record.address) != 0; });
  const bool knowsOthers = members.servingCount() > 0;
  settled_ = (heardAll && knowsOthers && age >= settings_.shortestSettling) ||
             age >= settings_.window + settings_.leaseLength;
  if (settled_) {
    heardFrom_.clear();
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
