#include "transport/http_server.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "oakpier/caller.pb.h"
#include "protocol/rpc_codec.h"
#include "support/free_endpoint.h"
#include "transport/http_channel.h"

namespace oakpier {

namespace {

class MockCaller : public Caller {
 public:
  MAKE_MOCK4(Query,
             void(google::protobuf::RpcController*, const QueryRequest*, QueryAnswer*,
                  google::protobuf::Closure*),
             override);
};

unsigned statusOf(const Endpoint& server, const std::string& url, const std::string& body) {
  cxxtools::http::Client client(server.ip(), server.port());
  cxxtools::http::Request request(url);
  request.method("POST");
  request.body() << body;
  client.execute(request, cxxtools::Milliseconds(3000));
  client.readBody();
  return client.header().httpReturnCode();
}

}  // namespace

TEST_CASE("valid calls reach their service and invalid ones do not", "[transport]") {
  MockCaller caller;
  HttpServer server({freeEndpoint(), 8, 1024});
  server.addRpcService(caller);
  REQUIRE(server.start().empty());
  const Endpoint address = server.address();

  SECTION("a call") {
    REQUIRE_CALL(caller, Query(trompeloeil::_, trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .WITH(_2->request_id() == "r")
        .SIDE_EFFECT(_3->set_request_id(_2->request_id()))
        .SIDE_EFFECT(_4->Run());
    HttpChannel channel(address, std::chrono::seconds(3));
    Caller_Stub stub(&channel);
    CallController call;
    QueryRequest request;
    request.set_request_id("r");
    QueryAnswer answer;
    stub.Query(&call, &request, &answer, nullptr);
    REQUIRE_FALSE(call.Failed());
    REQUIRE(answer.request_id() == "r");
  }

  SECTION("bodies that are malformed or too large, and unknown methods") {
    FORBID_CALL(caller, Query(trompeloeil::_, trompeloeil::_, trompeloeil::_, trompeloeil::_));
    REQUIRE(statusOf(address, "/oakpier.Caller/Query", "\xff\xff") == 400);
    REQUIRE(statusOf(address, "/oakpier.Caller/Query", std::string(5000, 'x')) == 413);
    REQUIRE(statusOf(address, "/oakpier.Caller/Other", "") == 404);
    REQUIRE(statusOf(address, "/", "") == 404);
  }

  SECTION("a server that stops listening refuses new connections") {
    server.stopListening();
    REQUIRE_THROWS(statusOf(address, "/oakpier.Caller/Other", ""));
  }
}

}  // namespace oakpier
