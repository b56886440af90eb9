#pragma once

/// The connection of one caller. Serves one request at a time; pipelined requests stay buffered until the
/// reply to the one before has been written.
///
/// Invariant: bytes are executed as part of one request only, in the order in which they arrived. A read is
/// in progress also while buffered bytes are parsed, so it has memory of its own.

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "transport/serving/http_service.h"

namespace oakpier::serving {

class HttpSession : public std::enable_shared_from_this<HttpSession>, private ReceiveMemory::Receiver {
 public:
  HttpSession(HttpService& service, boost::asio::ip::tcp::socket socket);
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;
  ~HttpSession() override;

  void start();
  /// Replies to the request being served, if there is one.
  void respondIfServing(const HttpReply& reply);
  /// Replies to the request with this number if it is being served. Otherwise the reply would be taken for
  /// that to a later request.
  void respondTo(std::uint64_t requestNumber, const HttpReply& reply);
  /// Replies before a request has been read, and closes the connection.
  void reject(const HttpReply& reply);
  /// Closes the connection unless a request is being read, served or replied to.
  void closeIfIdle();
  /// Called when the service is destroyed; closes the connection without a reply.
  void detach();

 private:
  enum class State { kIdle, kReadingRequest, kServing, kWriting, kLingering, kClosed };
  static constexpr std::size_t kReadBytes = 4096;
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Replies to the request being served, or to one that is refused while it is read. Has no effect while a
  /// reply is being written or after the connection has closed.
  void respond(const HttpReply& reply);
  void beginRequest();
  void read();
  void onRead(const boost::system::error_code& error, std::size_t count);
  /// Moves the first `count` bytes of `input_` to the end of `buffer_`.
  void bufferInput(std::size_t count);
  void parse();
  /// Parses the beginning of the buffer; returns the number of bytes consumed.
  std::size_t parseSome(boost::system::error_code& error);
  /// The request being read does not fit into the memory of all of them.
  void giveUp() override;
  void onParseError(const boost::system::error_code& error);
  void sendContinue();
  void serve();
  void onWritten(const boost::system::error_code& error);
  void armTimer(Duration duration);
  void onCallerDisconnected();
  void linger();
  void close();

  HttpService* service_;
  std::shared_ptr<ReceiveMemory> memory_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  /// Target of the read in progress. Not part of `buffer_`, which moves its content when bytes are consumed.
  std::array<char, kReadBytes> input_{};
  /// Received bytes that are not parsed yet.
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  State state_ = State::kIdle;
  bool reading_ = false;
  bool inputClosed_ = false;
  bool keepAlive_ = true;
  bool isHead_ = false;
  bool continueSent_ = false;
  /// Requests served on this connection.
  std::uint64_t requestNumber_ = 0;
  std::string outgoing_;
  std::function<void()> onDisconnect_;
};

}  // namespace oakpier::serving
