#pragma once

/// Decides whether a caller may use a route, and as which tenant. Nothing of a request goes out before.
///
/// Invariants: without tenants in the configuration every caller may use every route; a key that no tenant
/// holds is never served on a route that is not public; a key is only accepted, and only finally refused,
/// while this daemon's configuration is proved fresh enough.

#include <optional>
#include <string_view>
#include <variant>

#include "coordination/serving/configuration_proof.h"
#include "state/serving/leaf_directory.h"
#include "state/serving/tenant_table.h"

namespace oakpier::serving {

struct AuthorizationSettings {
  /// A key may be used for this long after the configuration was proved the newest; none: without bound.
  std::optional<Duration> proofBound;
  /// An unknown key is finally refused only if the configuration was proved the newest this lately: within
  /// the time in which operators expect a new key to be known everywhere.
  Duration finalRefusalBound = std::chrono::milliseconds(2500);
};

/// Why a caller is not served now.
enum class AuthorizationProblem {
  /// The route needs a key, and the request bears none that can be read.
  kKeyMissing,
  /// No tenant holds the key.
  kKeyUnknown,
  /// No tenant is known to hold the key, but it may be newer than this daemon's configuration.
  kKeyMaybeNew,
  /// A tenant holds the key, but it may have been taken away since.
  kProofTooOld,
};

/// The caller is served as this tenant; null: as none. Points into the view.
struct AuthorizedCaller {
  const Tenant* tenant = nullptr;
};

using Authorization = std::variant<AuthorizedCaller, AuthorizationProblem>;

/// `key`: none when the request bears no key, or one that cannot be read.
Authorization authorize(const Route& route, std::optional<std::string_view> key, const ServingView& view,
                        const ConfigurationProof& proof, const AuthorizationSettings& settings, Moment now);

}  // namespace oakpier::serving
