#pragma once

/// A tenant: a customer of the operator whose callers prove who they are by a key.

#include <optional>
#include <string>
#include <vector>

namespace oakpier::serving {

/// What a tenant may ask of all daemons together.
struct TenantLimit {
  /// Requests a second; 0: no limit.
  double perSecond = 0;
  /// Requests beyond the rate that may come at once.
  double burst = 0;

  bool limited() const { return perSecond > 0; }
};

struct Tenant {
  std::string name;
  /// In clear, from the source's record until the configuration is taken over; empty in tables and views.
  std::vector<std::string> keys;
  /// Goes before the rank of the route; none: the route's holds. 0 is the most urgent.
  std::optional<unsigned> rank;
  TenantLimit limit;
};

}  // namespace oakpier::serving
