#pragma once

/// Decides whether a caller may use a route, and as which tenant. Runs before any part of the request is
/// forwarded.
///
/// Invariants: without tenants in the configuration every caller may use every route; a non-public route
/// never accepts a key that no tenant holds; a key is accepted, refused for good, or taken for that of an
/// anonymous caller on a public route only while this daemon's configuration is proven recent enough (see
/// `AuthorizationSettings`).

#include <optional>
#include <string_view>
#include <variant>

#include "coordination/serving/configuration_proof.h"
#include "state/serving/leaf_directory.h"
#include "state/serving/tenant_table.h"

namespace oakpier::serving {

struct AuthorizationSettings {
  /// Greatest age of the proof at which a known key is accepted; empty: no proof is needed.
  std::optional<Duration> maxProofAge;
  /// Greatest age of the proof at which no tenant is taken to hold an unknown key: the time in which
  /// operators expect a new key to reach every daemon.
  Duration maxProofAgeForFinalRefusal = std::chrono::milliseconds(2500);
};

/// Why a caller is refused.
enum class AuthorizationError {
  /// The route needs a key, and the request has none that can be parsed.
  kKeyMissing,
  /// No tenant holds the key, and the route needs one; permanent.
  kKeyUnknown,
  /// The key is unknown, but may have been added since this daemon's configuration; retryable.
  kKeyNotYetKnown,
  /// A tenant holds the key, but it may have been revoked since this daemon's configuration; retryable.
  kProofTooOld,
};

struct AuthorizedCaller {
  /// Null: the caller is anonymous. Points into the view.
  const Tenant* tenant = nullptr;
};

using Authorization = std::variant<AuthorizedCaller, AuthorizationError>;

/// `key`: empty if the request has no key, or one that cannot be parsed.
Authorization authorize(const Route& route, std::optional<std::string_view> key, const ServingView& view,
                        const ConfigurationProof& proof, const AuthorizationSettings& settings, Moment now);

}  // namespace oakpier::serving
