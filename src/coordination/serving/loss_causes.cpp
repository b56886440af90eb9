#include "coordination/serving/loss_causes.h"

#include <numeric>

namespace oakpier::serving {

const char* textOf(LossCause cause) {
  switch (cause) {
    case LossCause::kNoConfiguration:
      return "no configuration known yet";
    case LossCause::kLeafsTooBusy:
      return "leafs too busy";
    case LossCause::kNoUsableLeaf:
      return "no usable leaf";
    case LossCause::kRejectedByLeafs:
      return "turned away by leafs";
    case LossCause::kLeafUnreachable:
      return "leaf unreachable";
    case LossCause::kLeafFailed:
      return "leaf's own failure";
    case LossCause::kLeafCrashed:
      return "leaf ended under the request";
    case LossCause::kCrashesLeafs:
      return "leafs end under the request";
    case LossCause::kConnectionBroken:
      return "connection broken";
    case LossCause::kWaitedForConnection:
      return "waited for a connection";
    case LossCause::kOneLeafSlow:
      return "one leaf slow, no other asked";
    case LossCause::kEveryLeafSlow:
      return "every leaf asked slow";
    case LossCause::kRetryBudgetExhausted:
      return "no extra send left";
    case LossCause::kOwnerUnresponsive:
      return "owner silent";
    case LossCause::kOwnerLate:
      return "owner late";
    case LossCause::kOwnerFailed:
      return "owner has no answer";
    case LossCause::kKeyMissing:
      return "no readable key";
    case LossCause::kKeyUnknown:
      return "key unknown";
    case LossCause::kKeyMaybeNew:
      return "key unknown, configuration not proved fresh";
    case LossCause::kProofTooOld:
      return "configuration not proved fresh";
    case LossCause::kTenantOverLimit:
      return "tenant over its limit";
    case LossCause::kQuotaUnavailable:
      return "no daemon counted for the tenant";
    default:
      return "unknown";
  }
}

double Loss::total() const { return std::accumulate(lost_.begin(), lost_.end(), 0.0); }

}  // namespace oakpier::serving
