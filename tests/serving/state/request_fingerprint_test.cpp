#include "state/serving/request_fingerprint.h"

#include <catch2/catch.hpp>

namespace oakpier::serving {

TEST_CASE("a fingerprint depends on the requested work, not on other headers", "[serving]") {
  const HttpRequest request{
      "POST", "/a?b=1", {{"Host", "h"}, {"Authorization", "Token t"}, {"X-Id", "1"}}, "body"};
  const RequestFingerprint fingerprint = fingerprintOf(request);
  HttpRequest other = request;

  SECTION("a request that differs in its id has the same fingerprint") {
    other.headers[2].value = "2";
    REQUIRE(fingerprintOf(other) == fingerprint);
  }
  SECTION("a different body, path, host, method or caller changes the fingerprint") {
    const int changed = GENERATE(0, 1, 2, 3, 4);
    std::string* const fields[] = {&other.body, &other.target, &other.headers[0].value, &other.method,
                                   &other.headers[1].value};
    fields[changed]->append("x");
    REQUIRE(fingerprintOf(other) != fingerprint);
  }
  SECTION("moving bytes between path and body changes the fingerprint") {
    other.target = "/a?b=1b";
    other.body = "ody";
    REQUIRE(fingerprintOf(other) != fingerprint);
  }
  SECTION("the text has 32 digits") { REQUIRE(fingerprint.text().size() == 32); }
}

}  // namespace oakpier::serving
