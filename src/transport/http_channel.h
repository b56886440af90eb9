#pragma once

/// The blocking client side of schema-defined calls over HTTP, for programs and for control traffic.

#include <cxxtools/http/client.h>
#include <google/protobuf/service.h>

#include <string>

#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier {

/// Says whether the call arrived. The typed error of the peer, if any, is in the reply message.
class CallController : public google::protobuf::RpcController {
 public:
  void Reset() override { error_.clear(); }
  bool Failed() const override { return !error_.empty(); }
  std::string ErrorText() const override { return error_; }
  void StartCancel() override {}
  void SetFailed(const std::string& reason) override { error_ = reason; }
  bool IsCanceled() const override { return false; }
  void NotifyOnCancel(google::protobuf::Closure*) override {}

 private:
  std::string error_;
};

/// One connection, one call at a time; used from one thread. Give it to a generated `_Stub`.
class HttpChannel : public google::protobuf::RpcChannel {
 public:
  HttpChannel(const Endpoint& server, Duration timeout);

  /// A call on a fresh connection is never sent a second time by the HTTP library.
  void useFreshConnection() { client_.close(); }

  /// `done` may be null; the call has ended when this returns.
  void CallMethod(const google::protobuf::MethodDescriptor* method,
                  google::protobuf::RpcController* controller, const google::protobuf::Message* request,
                  google::protobuf::Message* response, google::protobuf::Closure* done) override;

 private:
  cxxtools::http::Client client_;
  Duration timeout_;
};

}  // namespace oakpier
