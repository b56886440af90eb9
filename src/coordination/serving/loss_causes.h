#pragma once

/// Causes of missing, incomplete and late answers, with the loss of answer quality that each accounts for.

#include <array>
#include <cstddef>

namespace oakpier::serving {

enum class LossCause {
  /// The daemon has not received a configuration since its start.
  kNoConfiguration,
  /// Refused on arrival because the leafs' queues would delay the answer far beyond the target latency.
  kLeafsTooBusy,
  /// The service has no leaf, or no eligible one was left.
  kNoUsableLeaf,
  /// Every leaf that was asked rejected the request without executing it.
  kRejectedByLeafs,
  /// No connection to a leaf could be established.
  kLeafUnreachable,
  /// A leaf answered with an error.
  kLeafFailed,
  /// The leaf's process crashed while it executed the request.
  kLeafCrashed,
  /// Rejected or deferred because leafs have crashed each time they executed the request.
  kCrashesLeafs,
  /// The connection failed during the request, or the answer was invalid.
  kConnectionBroken,
  /// No connection became free early enough for the request to be sent.
  kWaitedForConnection,
  /// The only leaf that was asked answered late or not at all.
  kOneLeafSlow,
  /// Several leafs were asked and all answered late or not at all.
  kEveryLeafSlow,
  /// One leaf was late and the retry budget did not allow another attempt.
  kRetryBudgetExhausted,
  /// The shard's owner or the merge server became unresponsive.
  kOwnerUnresponsive,
  /// The shard's owner did not answer in time; its log has the cause.
  kOwnerLate,
  /// The shard's owner reported that it has no answer; its log has the cause.
  kOwnerFailed,
  /// The request carries no key or a malformed one.
  kKeyMissing,
  /// The key belongs to no tenant.
  kKeyUnknown,
  /// The key belongs to no known tenant but may have been added since the configuration was last verified.
  kKeyMaybeNew,
  /// The key may have been revoked: the configuration has not been verified as current for too long.
  kProofTooOld,
  /// The tenant has exhausted its fleet-wide request quota.
  kTenantOverLimit,
  /// None of the daemons that count the tenant's requests answered.
  kQuotaUnavailable,
  kCount,
};

inline constexpr std::size_t kLossCauseCount = static_cast<std::size_t>(LossCause::kCount);

/// The name of the cause in logs and reports.
const char* textOf(LossCause cause);

/// Accumulated loss by cause. A request without an answer within the target latency counts as 1; one that got
/// the fraction f of its shards in time counts as 1 - f².
class Loss {
 public:
  void add(LossCause cause, double lost) { lost_[static_cast<std::size_t>(cause)] += lost; }
  double of(LossCause cause) const { return lost_[static_cast<std::size_t>(cause)]; }
  double total() const;

 private:
  std::array<double, kLossCauseCount> lost_{};
};

}  // namespace oakpier::serving
