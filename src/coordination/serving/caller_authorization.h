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

/// The request has no credentials of the deployment's scheme.
struct NoKey {};
/// The request has credentials of the deployment's scheme from which no single key can be read.
struct UnreadableKey {};
/// What a request tells of its caller's key; a `string_view` is the key itself.
using CallerKey = std::variant<NoKey, UnreadableKey, std::string_view>;

/// Why a caller is refused.
enum class AuthorizationError {
  /// The route needs a key, and the request has none; permanent.
  kKeyMissing,
  /// The request may have the key of a tenant, which cannot be read; permanent.
  kKeyUnreadable,
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

Authorization authorize(const Route& route, const CallerKey& key, const ServingView& view,
                        const ConfigurationProof& proof, const AuthorizationSettings& settings, Moment now);

}  // namespace oakpier::serving
