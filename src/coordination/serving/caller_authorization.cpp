#include "coordination/serving/caller_authorization.h"

namespace oakpier::serving {

namespace {

/// Whether the proof is recent enough to rule out that a key of the view was revoked longer ago than the
/// bound.
bool mayAcceptKnownKey(const ServingView& view, const ConfigurationProof& proof,
                       const AuthorizationSettings& settings, Moment now) {
  return !settings.maxProofAge || proof.covers(view.configuration->version, now, *settings.maxProofAge);
}

}  // namespace

Authorization authorize(const Route& route, std::optional<std::string_view> key, const ServingView& view,
                        const ConfigurationProof& proof, const AuthorizationSettings& settings, Moment now) {
  if (view.tenants == nullptr || view.tenants->empty()) {
    return AuthorizedCaller{};
  }
  if (!key) {
    return route.isPublic ? Authorization(AuthorizedCaller{}) : AuthorizationError::kKeyMissing;
  }
  const Tenant* tenant = view.tenants->findByKey(*key);
  if (tenant != nullptr && mayAcceptKnownKey(view, proof, settings, now)) {
    return AuthorizedCaller{tenant};
  }
  if (route.isPublic) {
    return AuthorizedCaller{};
  }
  if (tenant != nullptr) {
    return AuthorizationError::kProofTooOld;
  }
  return proof.covers(view.configuration->version, now, settings.maxProofAgeForFinalRefusal)
             ? AuthorizationError::kKeyUnknown
             : AuthorizationError::kKeyNotYetKnown;
}

}  // namespace oakpier::serving
