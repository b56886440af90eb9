#pragma once

/// Asks, for a request of a limited tenant, whether the fleet's allowance of that tenant lets it through.
/// Runs on the request thread.
///
/// Invariants: one decision a request, at most `kLongestAsk` after the call; a request is only let through on
/// a token; a token that was given back lets another request through.

#include <functional>
#include <string>

#include "state/serving/tenant.h"
#include "state/time.h"

namespace oakpier::serving {

struct QuotaDecision {
  bool granted = true;
  /// When not granted: how long until the tenant may come back.
  Duration retryAfter{};
};

class QuotaLink {
 public:
  using Listener = std::function<void(const QuotaDecision&)>;

  /// Calls `listener` once: at once where a token is at hand or the tenant has no limit, else when the daemon
  /// that counts for the tenant has answered. `tenant` need not outlive the call.
  void take(const Tenant& tenant, Listener listener);
  /// The request for which a token was taken surely ran nowhere.
  void giveBack(const std::string& tenant);
};

}  // namespace oakpier::serving
