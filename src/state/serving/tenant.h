#pragma once

/// A tenant: a customer of the operator whose callers authenticate with a key.

#include <optional>
#include <string>
#include <vector>

namespace oakpier::serving {

/// Rate limit of a tenant over all daemons together.
struct TenantLimit {
  /// Requests per second; 0: no limit.
  double perSecond = 0;
  /// Requests beyond the rate that may arrive at the same time.
  double burst = 0;

  bool limited() const { return perSecond > 0; }
};

struct Tenant {
  std::string name;
  /// Plain-text keys. Set only while a configuration is read from the source; empty in tables and views.
  std::vector<std::string> keys;
  /// Priority that overrides the route's; empty: the route's applies. 0 is the highest.
  std::optional<unsigned> rank;
  TenantLimit limit;
};

}  // namespace oakpier::serving
