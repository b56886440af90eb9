#include "transport/serving/reply_reader.h"

#include <utility>

namespace oakpier::serving {

namespace http = boost::beast::http;

namespace {

/// Larger replies are treated as broken, so that a faulty leaf or source cannot exhaust the memory.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{16} * 1024 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
constexpr unsigned kFirstFinalStatus = 200;

}  // namespace

void ReplyReader::begin(bool isHeadRequest) {
  isHeadRequest_ = isHeadRequest;
  parser_.emplace();
  parser_->eager(true);
  parser_->skip(isHeadRequest);
  parser_->body_limit(kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
}

ReplyReader::State ReplyReader::advance() {
  while (buffer_.size() > 0 && !parser_->is_done()) {
    boost::system::error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more) {
      return State::kNeedsMore;
    }
    if (error) {
      return State::kBroken;
    }
    if (used == 0) {
      break;
    }
  }
  return parser_->is_done() ? finishMessage() : State::kNeedsMore;
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
    begin(isHeadRequest_);
    return advance();
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
