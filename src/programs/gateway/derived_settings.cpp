#include "programs/gateway/derived_settings.h"

namespace oakpier::serving {

namespace {

/// An unknown key is answered with 401 only under a proof that is younger than this fraction (1/n) of the
/// time within which new keys take effect everywhere.
constexpr int kFinalRefusalDivisor = 2;

}  // namespace

std::optional<Duration> proofBoundFor(const GatewaySettings& settings) {
  return settings.keyRevocationBound ? std::optional(*settings.keyRevocationBound - kProofMargin)
                                     : std::nullopt;
}

ProverSettings proverSettings(const GatewaySettings& settings) {
  ProverSettings prover;
  prover.bound = proofBoundFor(settings).value_or(prover.bound);
  return prover;
}

AuthorizationSettings authorizationSettings(const GatewaySettings& settings) {
  return AuthorizationSettings{proofBoundFor(settings), settings.configurationBound / kFinalRefusalDivisor};
}

FollowerSettings followerSettings(const GatewaySettings& settings) {
  FollowerSettings follower;
  follower.state = stateSettingsFor(settings.leaveBound, settings.leafHeartbeat);
  follower.prover = proverSettings(settings);
  return follower;
}

}  // namespace oakpier::serving
