#pragma once

/// Reads one HTTP reply after another from the bytes of a connection.

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

#include "state/serving/http_message.h"

namespace oakpier::serving {

class ReplyReader {
 public:
  enum class State { kNeedsMore, kComplete, kBroken };

  /// Begins the next reply. `toHead`: it answers a HEAD request and so has no body.
  void begin(bool toHead);
  boost::beast::flat_buffer& buffer() { return buffer_; }
  /// Parses what the buffer holds.
  State advance();
  /// The peer has ended the connection in good order.
  State onEnd();
  /// Only after kComplete.
  HttpReply take();
  /// The reply allows another request on the connection.
  bool keepsConnection() const { return keepsConnection_; }
  /// Bytes of the reply have arrived.
  bool started() const { return parser_ && parser_->got_some(); }
  /// Bytes are left that belong to no request.
  bool hasSurplus() const { return buffer_.size() > 0; }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  State finishMessage();

  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  bool toHead_ = false;
  bool keepsConnection_ = false;
};

}  // namespace oakpier::serving
