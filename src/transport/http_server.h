#pragma once

/// Serves schema-defined services and plain pages over cxxtools HTTP.

#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <google/protobuf/service.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "state/endpoint.h"

namespace oakpier {

/// The response of a plain page.
struct PageReply {
  unsigned status = 200;
  std::string contentType = "text/plain; charset=utf-8";
  std::string body;
};

/// Runs one listener on a thread of its own. A call holds one worker thread until its handler returns, so
/// `threads` bounds the calls in progress.
class HttpServer {
 public:
  struct Options {
    Endpoint listen;
    unsigned threads = 64;
    /// Larger bodies get HTTP 413 with ERROR_TOO_LARGE; the connection stays open.
    std::size_t maxBodyBytes = 1U << 20U;
  };

  explicit HttpServer(const Options& options);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// The service must outlive the server. Call before `start`.
  void addRpcService(google::protobuf::Service& service);
  void addPage(const std::string& path, std::function<PageReply()> page);

  /// Starts to accept connections; returns an error message if it cannot listen, else an empty string.
  std::string start();
  bool listening() const { return thread_.joinable(); }

  /// Begins a graceful shutdown: refuses new connections, keeps serving open ones, and asks their callers in
  /// each reply to close them, so that no call is interrupted.
  void stopListening();
  /// Calls in progress, up to when the reply is written.
  std::size_t callsInProgress() const { return callsInProgress_; }
  /// Calls received since the start.
  std::uint64_t callsBegun() const { return callsBegun_; }

  void stop();

  const Endpoint& address() const { return options_.listen; }

 private:
  friend class RpcResponder;
  class Dispatcher;

  Options options_;
  std::map<std::string, google::protobuf::Service*> services_;
  std::map<std::string, std::function<PageReply()>> pages_;
  cxxtools::EventLoop loop_;
  std::unique_ptr<cxxtools::http::Server> server_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::thread thread_;
  std::atomic<bool> closing_{false};
  mutable std::atomic<std::size_t> callsInProgress_{0};
  mutable std::atomic<std::uint64_t> callsBegun_{0};
};

/// The socket of the HTTP request that the calling thread serves, for handlers that detect a
/// disconnected caller. -1 outside of a handler.
int currentCallerSocket();

/// Whether the caller of the request on this thread has closed its connection.
bool currentCallerGone();

}  // namespace oakpier
