/// Guards against answers of faulty leafs that reach callers.

#include <catch2/catch.hpp>
#include <string>

#include "platform/header_names.h"
#include "serving/platform/gateway_process.h"

namespace oakpier::serving {

namespace {

/// An answer to the request of `GatewayWorld::askLeaf`, with a stamp and a body of one record.
std::string answerWith(const std::string& status) {
  const HeaderNames names = platform::headerNames();
  return "HTTP/1.1 " + status + " Status\r\n" + names.requestId + ": id\r\n" + names.signature +
         ": s\r\nContent-Length: 16\r\n\r\n0123456789abcdef";
}

/// The configuration with a second route, under "/all/", that gathers its answer from the one service.
nlohmann::json configurationWithGather() {
  nlohmann::json configuration = GatewayWorld::configuration(2);
  nlohmann::json gather = configuration["routes"][0];
  gather["name"] = "all";
  gather["path_prefix"] = "/all/";
  gather.erase("service");
  gather["gather"] = {GatewayWorld::kService};
  gather["top_k"] = 5;
  gather["min_success_ratio"] = 0.5;
  configuration["routes"].push_back(gather);
  return configuration;
}

}  // namespace

// Guards against the status 000, and others that HTTP does not have, as answers; and against waits for a
// better one.
TEST_CASE("an answer whose status HTTP does not have is no answer", "[serving]") {
  constexpr unsigned kOk = 200;
  constexpr unsigned kBadGateway = 502;
  const HeaderNames names = platform::headerNames();
  GatewayWorld world;
  world.store.put("op/config", configurationWithGather().dump());
  world.gateway.start();
  world.awaitReady();
  for (const char* target : {"/r/x", "/all/x"}) {
    for (const char* status :
         {"000", "007", "099", "101", "600", "999", "0200", "+20", "20", "20x", "1000"}) {
      CAPTURE(target, status);
      const auto reply = world.askLeaf(target, answerWith(status));
      REQUIRE(reply);
      REQUIRE(reply->status == kBadGateway);
      REQUIRE(findHeader(reply->headers, names.signature) == nullptr);
      REQUIRE(findHeader(reply->headers, names.partSignatures) == nullptr);
    }
    const auto reply = world.askLeaf(target, answerWith("200"));
    REQUIRE(reply);
    REQUIRE(reply->status == kOk);
  }
}

}  // namespace oakpier::serving
