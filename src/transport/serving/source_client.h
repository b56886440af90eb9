#pragma once

/// HTTP client for the configuration source, with one connection and one call at a time. A connection that
/// has been idle for long is replaced before the next call.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "state/endpoint.h"
#include "state/time.h"
#include "transport/serving/reply_reader.h"

namespace oakpier::serving {

/// The connection that carried a call.
struct CallConnection {
  /// It had carried earlier calls.
  bool reused = false;
  /// For a reused one: how long it had been idle when the call was written.
  Duration idle{};
};

class SourceClient {
 public:
  /// `reply` is empty if the connection failed or no complete reply arrived within the timeout.
  using Callback = std::function<void(std::optional<HttpReply> reply)>;

  SourceClient(boost::asio::io_context& context, const Endpoint& address);

  /// A new address closes the connection; a call in progress then gets no reply and fails at its timeout.
  void setAddress(const Endpoint& address);
  /// The next call opens a new connection. Call only while no call is in progress.
  void closeConnection() { connection_.reset(); }
  /// Call only while no other call is in progress.
  void call(const HttpRequest& request, Duration timeout, Callback callback);
  /// Of the last call.
  const CallConnection& lastCallConnection() const { return lastCallConnection_; }

 private:
  struct Connection;
  void finish(std::optional<HttpReply> reply);
  void write(const std::shared_ptr<Connection>& connection);
  void read(const std::shared_ptr<Connection>& connection);

  boost::asio::io_context& context_;
  Endpoint address_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<Connection> connection_;
  CallConnection lastCallConnection_;
  /// When the last call ended.
  Moment lastCallEndedAt_{};
  std::string outgoing_;
  Callback callback_;
};

}  // namespace oakpier::serving
