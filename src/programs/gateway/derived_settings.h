#pragma once

/// Settings of the gateway's parts, derived from those of the process.

#include <optional>

#include "coordination/serving/caller_authorization.h"
#include "coordination/serving/source_follower.h"
#include "programs/gateway/gateway_settings.h"

namespace oakpier::serving {

/// Maximum age of the proof under which a key is accepted; empty if unbounded.
std::optional<Duration> proofBoundFor(const GatewaySettings& settings);
ProverSettings proverSettings(const GatewaySettings& settings);
AuthorizationSettings authorizationSettings(const GatewaySettings& settings);
FollowerSettings followerSettings(const GatewaySettings& settings);

}  // namespace oakpier::serving
