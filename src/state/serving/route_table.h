#pragma once

/// Finds the route of a request: of the routes of its host, the one with the longest matching path prefix.

#include <string>
#include <string_view>
#include <unordered_map>

#include "state/serving/serving_configuration.h"

namespace oakpier::serving {

/// Immutable. Holds pointers to the routes of the configuration it was built from, which must outlive it.
class RouteTable {
 public:
  explicit RouteTable(const ServingConfiguration& configuration);

  /// `host` may include a port, `target` a query. Null if no route matches.
  const Route* find(std::string_view host, std::string_view target) const;

 private:
  std::unordered_map<std::string, const Route*> routes_;
};

}  // namespace oakpier::serving
