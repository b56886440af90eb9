#include "state/serving/route_table.h"

#include <algorithm>
#include <cctype>

namespace oakpier::serving {

namespace {

std::string canonicalHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  std::string name(host.substr(0, colon));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return name;
}

}  // namespace

RouteTable::RouteTable(const ServingConfiguration& configuration) {
  routes_.reserve(configuration.routes.size());
  for (const Route& route : configuration.routes) {
    routes_.emplace(canonicalHost(route.host) + route.pathPrefix, &route);
  }
}

const Route* RouteTable::find(std::string_view host, std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  const std::string name = canonicalHost(host);
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    std::string key = name;
    key.append(path.substr(0, slash + 1));
    const auto found = routes_.find(key);
    if (found != routes_.end()) {
      return found->second;
    }
    if (slash == 0) {
      break;
    }
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

}  // namespace oakpier::serving
