#pragma once

/// Settings of one gateway process, independent of the format that a deployment uses for them.

#include <optional>
#include <string>
#include <vector>

#include "coordination/serving/machine_limits.h"
#include "coordination/serving/quota_plan.h"
#include "coordination/serving/retry_budget.h"
#include "coordination/serving/serving_state.h"
#include "coordination/serving/warmup_allowance.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier::serving {

struct GatewaySettings {
  std::string name;
  std::string zone;
  /// Listens for caller requests.
  Endpoint callerAddress;
  /// Listens for readiness checks (answered with 200 or 503) and for `/metrics`.
  Endpoint readinessAddress;
  /// Receives frames from peers.
  Endpoint peerAddress;
  /// Peer addresses of some daemons, for joining the fleet; they may be stale or down.
  std::vector<Endpoint> seeds;
  /// Address of the configuration source.
  Endpoint sourceAddress;
  /// Time from the stop signal until the process is killed.
  Duration stopGrace = std::chrono::seconds(6);
  /// How long a leaf may receive new requests after the source lists it as leaving.
  Duration leaveBound = std::chrono::seconds(3);
  /// Interval at which leafs rewrite their entries; the source drops an entry after three missed writes.
  Duration leafHeartbeat = kDefaultLeafHeartbeat;
  /// Time within which a new configuration takes effect at every reachable daemon.
  Duration configurationBound = std::chrono::seconds(5);
  /// No daemon, not even an unreachable one, may accept a request that is sent later than this after its key
  /// was removed. If unset, key removals take effect like any other configuration change.
  std::optional<Duration> keyRevocationBound;
  /// Retry budget of a service, shared by all daemons.
  FleetRetryLimit retryLimit;
  /// What all daemons together may send to a cold leaf beyond the warm-up rate of its service.
  WarmupTolerance warmup;
  /// Resource limits of this daemon's machine; peers place work by them.
  MachineLimits machine;
  /// What all daemons together may admit beyond a tenant's limit.
  QuotaTolerance quota;
};

/// Why settings cannot be used, for operators.
struct SettingsError {
  std::string text;
  /// The settings are missing or incomplete, so that their writer may not be done with them.
  bool mayBeIncomplete = false;
};

/// One line per setting; the unit is part of the name.
std::string describe(const GatewaySettings& settings);
/// Returns all validation errors as readable messages; empty if the settings are valid.
std::vector<std::string> validationErrors(const GatewaySettings& settings);

}  // namespace oakpier::serving
