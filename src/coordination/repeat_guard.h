#pragma once

/// Prevents a non-repeatable request from running twice when its caller resends it, to this daemon or
/// another. Before such a request runs, a majority of its guardians must reserve its id. The guardians of an
/// id are the three daemons that rank first for it by rendezvous hashing.
///
/// A guardian abstains whenever an earlier reservation may exist that it does not know of:
///  - it restarted recently and has not yet received the reservations of every member;
///  - it is not among the id's guardians when daemons that departed less than the window plus a lease ago,
///    and may have held the reservation, are counted too;
///  - it does not hold the voters' lease, so it may be on the minority side of a network partition.
/// Reservations expire after the window; an id that is resent later is not protected.

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "oakpier/peer.pb.h"
#include "state/member_table.h"

namespace oakpier {

inline constexpr std::size_t kGuardiansPerId = 3;

/// The guardians of `requestId` among `members`, in order of rank; fewer than `kGuardiansPerId` if there are
/// fewer members.
std::vector<Endpoint> guardiansOf(const std::string& requestId, const std::vector<Endpoint>& members);

struct RepeatGuardSettings {
  Duration window = std::chrono::seconds(30);
  /// Added to the window for departed daemons: a partitioned one may grant until its lease expires.
  Duration leaseLength = std::chrono::seconds(15);
  /// Minimum time after the start before the member table is assumed to be complete.
  Duration minStartupPeriod = std::chrono::seconds(5);
  Duration syncPeriod = std::chrono::seconds(1);
};

class RepeatGuard {
 public:
  RepeatGuard(const Endpoint& self, const RepeatGuardSettings& settings) : self_(self), settings_(settings) {}

  ReserveReply onReserve(const Reserve& reserve, const MemberTable& members, bool leaseHeld, Moment now);
  void onRelease(const ReserveRelease& release);

  /// The unexpired reservations held here whose guardians include `requester`.
  ReservationsReply reservationsFor(const Endpoint& requester, const MemberTable& members, Moment now) const;
  void onReservations(const Endpoint& sender, const ReservationsReply& reply, Moment now);

  /// Returns the members to request reservations from; removes expired reservations.
  std::vector<Endpoint> onTimer(const MemberTable& members, Moment now);

  /// All unexpired reservations from before this daemon's start are known here.
  bool synchronized() const { return synchronized_; }

 private:
  struct HeldReservation {
    std::string workId;
    Moment until{};
  };

  std::vector<Endpoint> rankedMembers(const MemberTable& members, Moment now) const;
  bool guards(const std::string& requestId, const MemberTable& members, Moment now) const;
  void updateSynchronized(const MemberTable& members, Moment now);

  Endpoint self_;
  RepeatGuardSettings settings_;
  std::unordered_map<std::string, HeldReservation> reservations_;
  std::unordered_set<Endpoint> synchronizedPeers_;
  bool synchronized_ = false;
  Moment startedAt_{};
  Moment nextSyncAt_{};
};

/// Counts the guardians' verdicts for one request, at its entry daemon.
class Reservation {
 public:
  enum class State { kWaiting, kGranted, kDuplicate, kRefused };

  explicit Reservation(std::size_t guardians) : guardians_(guardians) {}

  void onVerdict(const Endpoint& guardian, ReserveVerdict verdict);
  State state() const;

 private:
  std::size_t guardians_;
  std::unordered_set<Endpoint> granted_;
  std::unordered_set<Endpoint> abstained_;
  bool duplicate_ = false;
};

}  // namespace oakpier
