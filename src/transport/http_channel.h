#pragma once

/// The blocking client side of schema-defined calls over HTTP, for programs and for control traffic.

#include <cxxtools/http/client.h>
#include <google/protobuf/service.h>

#include <string>

#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier {

/// Reports transport failures. A typed error of the called service is in the reply message.
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

/// One connection with one call at a time, for use by a generated `_Stub`. Not thread-safe.
class HttpChannel : public google::protobuf::RpcChannel {
 public:
  HttpChannel(const Endpoint& server, Duration timeout);

  /// Closes the connection, so that the next call opens a new one: the HTTP library may resend a call on a
  /// kept-alive connection, but never on a new one.
  void useFreshConnection() { client_.close(); }

  /// `done` may be null; the call has completed when this returns.
  void CallMethod(const google::protobuf::MethodDescriptor* method,
                  google::protobuf::RpcController* controller, const google::protobuf::Message* request,
                  google::protobuf::Message* response, google::protobuf::Closure* done) override;

 private:
  cxxtools::http::Client client_;
  Duration timeout_;
};

}  // namespace oakpier
