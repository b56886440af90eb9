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

Authorization authorize(const Route& route, const CallerKey& key, const ServingView& view,
                        const ConfigurationProof& proof, const AuthorizationSettings& settings, Moment now) {
  if (view.tenants == nullptr || view.tenants->empty()) {
    return AuthorizedCaller{};
  }
  if (std::holds_alternative<UnreadableKey>(key)) {
    return AuthorizationError::kKeyUnreadable;
  }
  const auto* text = std::get_if<std::string_view>(&key);
  if (text == nullptr) {
    return route.isPublic ? Authorization(AuthorizedCaller{}) : AuthorizationError::kKeyMissing;
  }
  // Whether a tenant holds the key is decided in the same way for all routes: a tenant's request that ran for
  // an anonymous caller would bypass the tenant's limit and priority.
  if (const Tenant* tenant = view.tenants->findByKey(*text)) {
    return mayAcceptKnownKey(view, proof, settings, now) ? Authorization(AuthorizedCaller{tenant})
                                                         : AuthorizationError::kProofTooOld;
  }
  if (!proof.covers(view.configuration->version, now, settings.maxProofAgeForFinalRefusal)) {
    return AuthorizationError::kKeyNotYetKnown;
  }
  return route.isPublic ? Authorization(AuthorizedCaller{}) : AuthorizationError::kKeyUnknown;
}

}  // namespace oakpier::serving
