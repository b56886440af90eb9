#include "coordination/serving/caller_authorization.h"

namespace oakpier::serving {

namespace {

/// Whether the proof is recent enough to rule out that a key of the view was revoked longer ago than the
/// bound.
bool mayUseKnownKey(const ServingView& view, const ConfigurationProof& proof,
                    const AuthorizationSettings& settings, Moment now) {
  return !settings.proofBound || proof.covers(view.configuration->version, now, *settings.proofBound);
}

}  // namespace

Authorization authorize(const Route& route, std::optional<std::string_view> key, const ServingView& view,
                        const ConfigurationProof& proof, const AuthorizationSettings& settings, Moment now) {
  if (view.tenants == nullptr || view.tenants->empty()) {
    return AuthorizedCaller{};
  }
  if (!key) {
    return route.isPublic ? Authorization(AuthorizedCaller{}) : AuthorizationProblem::kKeyMissing;
  }
  const Tenant* holder = view.tenants->holderOf(*key);
  if (holder != nullptr && mayUseKnownKey(view, proof, settings, now)) {
    return AuthorizedCaller{holder};
  }
  if (route.isPublic) {
    return AuthorizedCaller{};
  }
  if (holder != nullptr) {
    return AuthorizationProblem::kProofTooOld;
  }
  return proof.covers(view.configuration->version, now, settings.finalRefusalBound)
             ? AuthorizationProblem::kKeyUnknown
             : AuthorizationProblem::kKeyMaybeNew;
}

}  // namespace oakpier::serving
