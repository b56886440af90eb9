#pragma once

/// The HTTP/1.1 server of the gateway: reads complete requests, passes them to a handler and detects callers
/// that disconnect while their request is in progress.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_set>

#include "state/endpoint.h"
#include "state/serving/http_message.h"
#include "state/serving/serving_configuration.h"
#include "state/time.h"
#include "transport/serving/receive_memory.h"

namespace oakpier::serving {

class HttpSession;

/// Sends the reply to one request.
class ResponseWriter {
 public:
  /// `requestNumber`: the number of the request on its connection.
  ResponseWriter(std::weak_ptr<HttpSession> session, std::uint64_t requestNumber)
      : session_(std::move(session)), requestNumber_(requestNumber) {}
  /// Has no effect if the caller has disconnected or the request has already been replied to.
  void write(const HttpReply& reply) const;

 private:
  std::weak_ptr<HttpSession> session_;
  std::uint64_t requestNumber_;
};

/// Processes the requests that an `HttpService` has read.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Returns a function to call if the caller disconnects before it gets its reply; may be empty.
  virtual std::function<void()> onRequest(HttpRequest request, ResponseWriter writer) = 0;
};

class HttpService {
 public:
  HttpService(boost::asio::io_context& context, RequestHandler& handler);
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;
  ~HttpService();

  /// Returns an error message if the service cannot listen at the address, otherwise an empty string.
  /// May be called again after an error.
  std::string listen(const Endpoint& address);
  void setLimits(const RequestLimits& limits) { limits_ = limits; }
  /// Connections beyond this number are answered with 503 and closed, so that descriptors remain for other
  /// purposes.
  void setMaxConnections(std::size_t connections) { maxConnections_ = connections; }
  std::uint64_t connectionsRejected() const { return connectionsRejected_; }
  /// Memory of the requests that are being read.
  ReceiveMemory& memory() { return *memory_; }
  const ReceiveMemory& memory() const { return *memory_; }
  const RequestLimits& limits() const { return limits_; }

  /// From now on, a connection closes after its next reply.
  void startClosing() { closing_ = true; }
  bool closing() const { return closing_; }
  /// Stops accepting connections and closes idle ones.
  void stopAccepting();
  /// Sends `reply` to every request in progress.
  void answerAll(const HttpReply& reply);
  /// Number of requests being processed by the handler.
  std::size_t inProgress() const { return inProgress_; }
  std::size_t connections() const { return sessions_.size(); }

 private:
  friend class HttpSession;
  void accept();
  void onAccepted(boost::asio::ip::tcp::socket socket);
  void retryAccept();

  boost::asio::io_context& context_;
  RequestHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptRetry_;
  RequestLimits limits_;
  std::size_t maxConnections_ = std::numeric_limits<std::size_t>::max();
  std::uint64_t connectionsRejected_ = 0;
  /// Shared with the sessions, which pending handlers may keep alive for longer than the service.
  std::shared_ptr<ReceiveMemory> memory_ = std::make_shared<ReceiveMemory>();
  std::unordered_set<HttpSession*> sessions_;
  std::size_t inProgress_ = 0;
  bool closing_ = false;
  /// Expires with the service. Lets a completion handler detect that the service was destroyed while the
  /// handler was queued.
  std::shared_ptr<void> lifetime_ = std::make_shared<char>();
};

}  // namespace oakpier::serving
