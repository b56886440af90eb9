#pragma once

/// Why a query's answer is worth less than a whole one in time.

#include <array>
#include <cstddef>

namespace oakpier::serving {

enum class LossCause {
  /// The daemon has just started.
  kNoConfiguration,
  /// Refused at once, as the leafs' queues make the answer far too late.
  kLeafsTooBusy,
  /// No leaf of the service is listed, or none was left to ask.
  kNoUsableLeaf,
  /// Every leaf that was asked turned the request away.
  kTurnedAway,
  /// No connection to a leaf could be opened.
  kLeafUnreachable,
  /// A leaf gave a failure of its own.
  kLeafFailed,
  /// The leaf's process ended under the request.
  kLeafCrashed,
  /// Rejected, or to be tried later, as leafs have ended each time that they ran the request.
  kEndsLeafs,
  /// A connection broke under the request, or the answer could not be used.
  kConnectionBroken,
  /// No connection was free until too little time was left.
  kWaitedForConnection,
  /// One leaf was asked and answered late or not at all; no other one was asked.
  kOneLeafSlow,
  /// Several leafs were asked, and all answered late or not at all.
  kEveryLeafSlow,
  /// One leaf was late, and no extra send was left to ask another one.
  kNoExtraSendLeft,
  /// The shard's owner, or the daemon that merges, was not heard any more.
  kOwnerSilent,
  /// The shard's owner had no answer in time; its own log says why.
  kOwnerLate,
  /// The shard's owner said that it has no answer; its own log says why.
  kOwnerFailed,
  /// The caller showed no key, or none that can be read.
  kKeyMissing,
  /// No tenant holds the caller's key.
  kKeyUnknown,
  /// No tenant is known to hold the caller's key, but the key may be new.
  kKeyMaybeNew,
  /// The caller's key may have been taken away: the configuration was not proved fresh for too long.
  kProofTooOld,
  /// The tenant has used up what it may ask of all daemons together.
  kTenantOverLimit,
  /// No daemon that could count for the tenant answered.
  kTenantNotCounted,
  /// A number, not a cause.
  kCount,
};

inline constexpr std::size_t kLossCauses = static_cast<std::size_t>(LossCause::kCount);

/// In plain words, as logs and reports name it.
const char* textOf(LossCause cause);

/// How much was lost for which causes. A request that got nothing, or its answer after the target latency,
/// has lost 1; one that got a share of the shards in time has lost 1 less the square of the share.
class Loss {
 public:
  void add(LossCause cause, double lost) { lost_[static_cast<std::size_t>(cause)] += lost; }
  double of(LossCause cause) const { return lost_[static_cast<std::size_t>(cause)]; }
  double total() const;

 private:
  std::array<double, kLossCauses> lost_{};
};

}  // namespace oakpier::serving
