#include "protocol/rpc_codec.h"

#include <catch2/catch.hpp>

#include "oakpier/caller.pb.h"

namespace oakpier {

TEST_CASE("a message round-trips through both body formats", "[protocol]") {
  QueryRequest request;
  request.set_request_id("r");
  request.set_deadline_ms(5);
  for (const BodyFormat format : {BodyFormat::kBinary, BodyFormat::kJson}) {
    QueryRequest read;
    REQUIRE_FALSE(decodeBody(encodeBody(request, format), format, read).has_value());
    REQUIRE(read.SerializeAsString() == request.SerializeAsString());
  }
  REQUIRE(bodyFormatOf("application/json; charset=utf-8") == BodyFormat::kJson);
  REQUIRE(bodyFormatOf("") == BodyFormat::kBinary);
}

TEST_CASE("a malformed body yields a typed error that names the expected message", "[protocol]") {
  QueryRequest request;
  const auto json = decodeBody("{\"request_id\": ", BodyFormat::kJson, request);
  REQUIRE(json->code() == ERROR_MALFORMED_REQUEST);
  REQUIRE(json->message().find("oakpier.QueryRequest") != std::string::npos);
  const auto unknownField = decodeBody("{\"no_such_field\": 1}", BodyFormat::kJson, request);
  REQUIRE(unknownField->message().find("no_such_field") != std::string::npos);
  REQUIRE(decodeBody("\xff\xff\xff", BodyFormat::kBinary, request)->code() == ERROR_MALFORMED_REQUEST);
}

}  // namespace oakpier
