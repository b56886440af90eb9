#include "transport/http_channel.h"

#include <cxxtools/http/request.h>

#include "protocol/rpc_codec.h"

namespace oakpier {

namespace {

constexpr unsigned kHttpOk = 200;

std::string describeRefusal(unsigned status, const std::string& body) {
  Error error;
  if (error.ParseFromString(body) && error.code() != ERROR_NONE) {
    return ErrorCode_Name(error.code()) + ": " + error.message();
  }
  return "HTTP status " + std::to_string(status);
}

}  // namespace

HttpChannel::HttpChannel(const Endpoint& server, Duration timeout) : timeout_(timeout) {
  client_.prepareConnect(server.ip(), server.port());
}

void HttpChannel::CallMethod(const google::protobuf::MethodDescriptor* method,
                             google::protobuf::RpcController* controller,
                             const google::protobuf::Message* request, google::protobuf::Message* response,
                             google::protobuf::Closure* done) {
  try {
    cxxtools::http::Request httpRequest("/" + method->service()->full_name() + "/" + method->name());
    httpRequest.method("POST");
    httpRequest.setHeader("Content-Type", kBinaryContentType);
    httpRequest.body() << request->SerializeAsString();
    const cxxtools::Milliseconds timeout(static_cast<double>(toMilliseconds(timeout_)));
    client_.execute(httpRequest, timeout, timeout);
    client_.readBody();
    const std::string body = client_.body();
    if (client_.header().httpReturnCode() != kHttpOk) {
      controller->SetFailed(describeRefusal(client_.header().httpReturnCode(), body));
    } else if (!response->ParseFromString(body)) {
      controller->SetFailed("cannot parse the reply as " + response->GetDescriptor()->full_name());
    }
  } catch (const std::exception& problem) {
    client_.close();
    controller->SetFailed(problem.what());
  }
  if (done != nullptr) {
    done->Run();
  }
}

}  // namespace oakpier
