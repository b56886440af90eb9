#pragma once

/// Incremental parser for the HTTP replies on one connection. Every part of a reply is bounded: its header,
/// its body, the framing of its chunks and the interim replies before it. A reply beyond a bound, or with a
/// status that HTTP does not have, is broken.

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

  /// Prepares for the next reply. `isHeadRequest`: it answers a HEAD request, so it has no body.
  void begin(bool isHeadRequest);
  /// Received bytes are appended here before `advance` is called.
  boost::beast::flat_buffer& buffer() { return buffer_; }
  /// Parses the buffered bytes.
  State advance();
  /// The other end has closed the connection in an orderly way (FIN), which completes a reply without a
  /// length. Any other unfinished reply is broken.
  State onEof();
  /// Returns the reply. Call only after kComplete.
  HttpReply take();
  /// The last reply permits another request on the connection.
  bool keepAlive() const { return keepAlive_; }
  /// At least one byte of the current reply has been parsed.
  bool started() const { return parser_ && parser_->got_some(); }
  /// Memory of the bytes received for the current reply.
  std::size_t heldBytes() const;
  /// Bytes remain in the buffer after the reply, which belong to no request.
  bool hasSurplus() const { return buffer_.size() > 0; }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  /// Prepares for the next message: an interim reply or the final one.
  void beginMessage();
  State parse();
  State finishMessage();

  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  bool isHeadRequest_ = false;
  /// Bytes of the current message that were parsed.
  std::size_t consumed_ = 0;
  unsigned interimReplies_ = 0;
  bool keepAlive_ = false;
};

}  // namespace oakpier::serving
