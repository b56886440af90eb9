#include "state/endpoint.h"

#include <catch2/catch.hpp>

namespace oakpier {

TEST_CASE("an endpoint parses from an IPv4 address with a port only", "[state]") {
  REQUIRE(Endpoint::parse("10.1.2.3:7001")->text() == "10.1.2.3:7001");
  for (const char* wrong :
       {"", "10.1.2.3", "localhost:80", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:70000", "10.1.2.3:7x"}) {
    CAPTURE(wrong);
    REQUIRE_FALSE(Endpoint::parse(wrong).has_value());
  }
}

}  // namespace oakpier
