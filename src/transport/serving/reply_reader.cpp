#include "transport/serving/reply_reader.h"

#include <stdexcept>
#include <utility>

namespace oakpier::serving {

namespace http = boost::beast::http;

namespace {

/// Larger replies are treated as broken, so that a faulty leaf or source cannot exhaust the memory.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{16} * 1024 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
/// The parser bounds headers and bodies, but neither the size line, the extension nor the trailer of chunks,
/// which stay in the buffer until they are complete.
constexpr std::size_t kMaxUnparsedBytes = kMaxHeaderBytes;
/// All bytes of a reply that do not belong to its body. Many chunks may each have a short extension.
constexpr std::size_t kMaxFramingBytes = std::size_t{1024} * 1024;
constexpr unsigned kMaxInterimReplies = 32;
constexpr unsigned kFirstInterimStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastFinalStatus = 599;

/// Whether a reply may have this status. No request asks for another protocol, so 101 replies to none.
bool isReplyStatus(unsigned status) {
  return status >= kFirstInterimStatus && status <= kLastFinalStatus && status != kSwitchingProtocols;
}

}  // namespace

void ReplyReader::begin(bool isHeadRequest) {
  isHeadRequest_ = isHeadRequest;
  interimReplies_ = 0;
  beginMessage();
}

void ReplyReader::beginMessage() {
  consumed_ = 0;
  parser_.emplace();
  parser_->eager(true);
  parser_->skip(isHeadRequest_);
  parser_->body_limit(kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
}

ReplyReader::State ReplyReader::advance() {
  try {
    return parse();
  } catch (const std::length_error&) {
    // The parser throws for a header field that is longer than it can store, which a trailer may contain.
    return State::kBroken;
  }
}

ReplyReader::State ReplyReader::parse() {
  while (buffer_.size() > 0 && !parser_->is_done()) {
    boost::system::error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    consumed_ += used;
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      return State::kBroken;
    }
    if (used == 0) {
      break;
    }
  }
  if (parser_->is_header_done() && !isReplyStatus(parser_->get().result_int())) {
    return State::kBroken;
  }
  if (parser_->is_done()) {
    return finishMessage();
  }
  const bool framingTooLong =
      buffer_.size() > kMaxUnparsedBytes || consumed_ > parser_->get().body().size() + kMaxFramingBytes;
  return framingTooLong ? State::kBroken : State::kNeedsMore;
}

std::size_t ReplyReader::heldBytes() const {
  return buffer_.capacity() + (parser_ ? parser_->get().body().capacity() : 0);
}

ReplyReader::State ReplyReader::onEof() {
  if (!parser_->got_some()) {
    return State::kBroken;
  }
  boost::system::error_code error;
  parser_->put_eof(error);
  return error || !parser_->is_done() ? State::kBroken : finishMessage();
}

ReplyReader::State ReplyReader::finishMessage() {
  if (parser_->get().result_int() < kFirstFinalStatus) {
    if (++interimReplies_ > kMaxInterimReplies) {
      return State::kBroken;
    }
    beginMessage();
    return parse();
  }
  keepAlive_ = parser_->keep_alive();
  return State::kComplete;
}

HttpReply ReplyReader::take() {
  auto message = parser_->release();
  parser_.reset();
  HttpReply reply;
  reply.status = message.result_int();
  reply.reason = std::string(message.reason().data(), message.reason().size());
  for (const auto& field : message.base()) {
    const auto name = field.name_string();
    const auto value = field.value();
    reply.headers.push_back(
        Header{std::string(name.data(), name.size()), std::string(value.data(), value.size())});
  }
  reply.body = std::move(message.body());
  return reply;
}

}  // namespace oakpier::serving
