#pragma once

/// Settings of one gateway process, whatever form a deployment gives them in. Durations in microseconds.

#include <optional>
#include <string>
#include <vector>

#include "coordination/serving/extra_send_budget.h"
#include "coordination/serving/machine_limits.h"
#include "coordination/serving/quota_plan.h"
#include "coordination/serving/serving_state.h"
#include "coordination/serving/warmup_allowance.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier::serving {

struct GatewaySettings {
  std::string name;
  std::string zone;
  /// Callers' requests.
  Endpoint callerAddress;
  /// Tells whether callers should be sent here: 200 or 503 to any request.
  Endpoint readinessAddress;
  /// Frames of other daemons.
  Endpoint peerAddress;
  /// Some daemons' peer addresses, which may be stale or down.
  std::vector<Endpoint> seeds;
  /// The configuration source.
  Endpoint sourceAddress;
  /// From a request to stop until the process is killed.
  Duration stopGrace = std::chrono::seconds(6);
  /// A leaf may get new requests for this long after the source says that it leaves.
  Duration leaveBound = std::chrono::seconds(3);
  /// Leafs write their entries about this often; the source drops an entry after three that were left out.
  Duration leafHeartbeat = kDefaultLeafHeartbeat;
  /// A new configuration is in force at every daemon that is in touch within this time.
  Duration configurationBound = std::chrono::seconds(5);
  /// No request that was sent later than this after a key was taken away may use it, at any daemon; none: as
  /// other changes of the configuration.
  std::optional<Duration> keyRevocationBound;
  /// Extra sends that all daemons together may make to a service.
  OperatorExtraSends extraSends;
  /// What all daemons together may send to a cold leaf beyond the rate that its service tells.
  WarmupTolerance warmup;
  /// What this daemon's machine allows; other daemons place work by it.
  MachineLimits machine;
  /// What all daemons together may let through beyond a tenant's limit.
  QuotaTolerance quota;
};

/// One line a setting, with its unit.
std::string describe(const GatewaySettings& settings);
/// Every reason, in plain words, why the settings cannot be used; empty when they can.
std::vector<std::string> problemsOf(const GatewaySettings& settings);

}  // namespace oakpier::serving
