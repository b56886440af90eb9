#include "state/serving/route_table.h"

#include <catch2/catch.hpp>

#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

Route routeAt(const std::string& host, const std::string& prefix) {
  Route route = singleRoute("s", true, 1);
  route.name = host + prefix;
  route.host = host;
  route.pathPrefix = prefix;
  return route;
}

}  // namespace

TEST_CASE("the route with the longest matching prefix of the host is found", "[serving]") {
  ServingConfiguration configuration;
  configuration.routes = {routeAt("a.example", "/x/"), routeAt("a.example", "/x/y/"),
                          routeAt("b.example", "/")};
  const RouteTable table(configuration);
  REQUIRE(table.find("a.example", "/x/y/z")->name == "a.example/x/y/");
  REQUIRE(table.find("a.example", "/x/q")->name == "a.example/x/");
  REQUIRE(table.find("A.Example:8080", "/x/?q=/x/y/")->name == "a.example/x/");
  REQUIRE(table.find("b.example", "/x/y/z")->name == "b.example/");
  REQUIRE(table.find("a.example", "/x") == nullptr);
  REQUIRE(table.find("a.example", "*") == nullptr);
  REQUIRE(table.find("c.example", "/x/") == nullptr);
}

TEST_CASE("validation reports every error of a configuration", "[serving]") {
  ServingConfiguration configuration;
  configuration.services = {{"s", 10}, {"none", 0}};
  configuration.routes = {routeAt("a.example", "/x/"), routeAt("a.example", "/x/"), routeAt("", "x")};
  configuration.routes.push_back(gatherRoute({"s", "s", "unknown"}, 1.5));
  const auto problems = validationErrors(configuration);
  REQUIRE(problems.size() == 7);
  configuration.routes = {routeAt("a.example", "/x/"), gatherRoute({"s"}, 0.5)};
  configuration.services.pop_back();
  REQUIRE(validationErrors(configuration).empty());
}

}  // namespace oakpier::serving
