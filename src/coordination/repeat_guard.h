#pragma once

/// Keeps a request not to be repeated from running twice when its caller sends it again, to this daemon or
/// another. Before such a request runs, most of its guardians must remember its id: the three daemons that
/// rank first for the id by rendezvous hashing.
///
/// A guardian abstains whenever an earlier reservation could exist that it does not know of:
///  - it started lately and has not yet heard from every member what they hold for it;
///  - a daemon that ranks before it went within the window, so the reservation may have gone with that one;
///  - it does not hold the voters' lease, so it may be on the smaller side of a cut.
/// Reservations are remembered for the window; a caller that sends an id again later is not protected.

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "oakpier/peer.pb.h"
#include "state/member_table.h"

namespace oakpier {

inline constexpr std::size_t kGuardiansPerId = 3;

/// The daemons of `members` that guard `requestId`, first rank first; fewer when there are fewer members.
std::vector<Endpoint> guardiansOf(const std::string& requestId, const std::vector<Endpoint>& members);

struct RepeatGuardSettings {
  Duration window = std::chrono::seconds(30);
  /// Added to the window for daemons that went: a cut-off one may grant on until its lease ends.
  Duration leaseLength = std::chrono::seconds(15);
  /// A starting daemon is not sure to know all members before this.
  Duration shortestSettling = std::chrono::seconds(5);
  Duration askPeriod = std::chrono::seconds(1);
};

class RepeatGuard {
 public:
  RepeatGuard(const Endpoint& self, const RepeatGuardSettings& settings) : self_(self), settings_(settings) {}

  ReserveReply onReserve(const Reserve& reserve, const MemberTable& members, bool leaseHeld, Moment now);
  void onRelease(const ReserveRelease& release);

  /// What is held here that `asker` guards too.
  ReservationsReply reservationsFor(const Endpoint& asker, const MemberTable& members, Moment now) const;
  void onReservations(const Endpoint& sender, const ReservationsReply& reply, Moment now);

  /// Members to ask for their reservations now; forgets what is past its window.
  std::vector<Endpoint> onTimer(const MemberTable& members, Moment now);

  /// Everything reserved before this daemon started is known here, or too old to matter.
  bool settled() const { return settled_; }

 private:
  struct Holding {
    std::string workId;
    Moment until{};
  };

  std::vector<Endpoint> rankedMembers(const MemberTable& members, Moment now) const;
  bool guards(const std::string& requestId, const MemberTable& members, Moment now) const;
  void settle(const MemberTable& members, Moment now);

  Endpoint self_;
  RepeatGuardSettings settings_;
  std::unordered_map<std::string, Holding> held_;
  std::unordered_set<Endpoint> heardFrom_;
  bool settled_ = false;
  Moment startedAt_{};
  Moment nextAskAt_{};
};

/// The entry's side: counts the guardians' verdicts for one request.
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
