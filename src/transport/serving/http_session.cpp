#include "transport/serving/http_session.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <stdexcept>
#include <utility>

#include "protocol/serving/caller_messages.h"
#include "transport/serving/socket_options.h"

namespace oakpier::serving {

namespace http = boost::beast::http;

namespace {

/// Reading stops while at least this many bytes of later requests are buffered; a disconnect is not detected
/// then.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} * 1024;
constexpr Duration kLingerTime = std::chrono::seconds(1);
constexpr unsigned kBadRequest = 400;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;
constexpr unsigned kRequestTimeout = 408;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/// Used while requests that are being read take too much memory; about the time that reading one takes.
constexpr Duration kBusyRetryAfter = std::chrono::milliseconds(300);

HttpReply tooBusyReply() {
  return refusalReply(kBusyRetryAfter, "not run: requests that are being read take too much memory");
}

HttpRequest requestOf(http::request<http::string_body> message) {
  HttpRequest request;
  request.method = std::string(message.method_string().data(), message.method_string().size());
  request.target = std::string(message.target().data(), message.target().size());
  for (const auto& field : message.base()) {
    const auto name = field.name_string();
    const auto value = field.value();
    request.headers.push_back(
        Header{std::string(name.data(), name.size()), std::string(value.data(), value.size())});
  }
  request.body = std::move(message.body());
  return request;
}

}  // namespace

HttpSession::HttpSession(HttpService& service, boost::asio::ip::tcp::socket socket)
    : service_(&service),
      memory_(service.memory_),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()) {
  configureConnection(socket_, kCallerUnacknowledgedLimit);
  service_->sessions_.insert(this);
}

HttpSession::~HttpSession() {
  memory_->hold(*this, 0);
  if (service_ != nullptr) {
    service_->sessions_.erase(this);
  }
}

void HttpSession::detach() {
  service_ = nullptr;
  close();
}

void HttpSession::start() {
  beginRequest();
  read();
}

void HttpSession::beginRequest() {
  state_ = State::kIdle;
  continueSent_ = false;
  parser_.emplace();
  parser_->eager(true);
  const RequestLimits& limits = service_->limits();
  parser_->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
  parser_->body_limit(limits.bodyBytes);
  armTimer(limits.idleTimeout);
}

void HttpSession::armTimer(Duration duration) {
  timer_.expires_after(duration);
  auto self = shared_from_this();
  timer_.async_wait([self](const boost::system::error_code& error) {
    if (error || self->timer_.expiry() > std::chrono::steady_clock::now() || self->service_ == nullptr) {
      return;
    }
    if (self->state_ == State::kIdle || self->state_ == State::kLingering) {
      self->close();
    } else if (self->state_ == State::kReadingRequest) {
      self->keepAlive_ = false;
      self->respond(textReply(kRequestTimeout, "the request did not arrive in time"));
    }
  });
}

void HttpSession::read() {
  const bool bufferFull = state_ != State::kReadingRequest && buffer_.size() >= kMaxPipelinedBytes;
  if (reading_ || inputClosed_ || state_ == State::kClosed || bufferFull) {
    return;
  }
  reading_ = true;
  auto self = shared_from_this();
  socket_.async_read_some(boost::asio::buffer(input_),
                          [self](const boost::system::error_code& error, std::size_t count) {
                            self->reading_ = false;
                            self->onRead(error, count);
                          });
}

void HttpSession::onRead(const boost::system::error_code& error, std::size_t count) {
  if (state_ == State::kClosed || service_ == nullptr) {
    return;
  }
  if (error) {
    inputClosed_ = true;
    if (state_ == State::kServing) {
      onCallerDisconnected();
    } else if (state_ != State::kWriting) {
      close();
    }
    return;
  }
  if (state_ != State::kLingering) {
    bufferInput(count);
  }
  if (state_ == State::kIdle || state_ == State::kReadingRequest) {
    parse();
  } else {
    read();
  }
}

void HttpSession::bufferInput(std::size_t count) {
  boost::asio::buffer_copy(buffer_.prepare(count), boost::asio::buffer(input_, count));
  buffer_.commit(count);
}

void HttpSession::parse() {
  while (buffer_.size() > 0 && !parser_->is_done()) {
    if (state_ == State::kIdle) {
      state_ = State::kReadingRequest;
      armTimer(service_->limits().headerTimeout);
    }
    boost::system::error_code error;
    const std::size_t used = parseSome(error);
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      onParseError(error);
      return;
    }
    if (used == 0) {
      break;
    }
  }
  if (parser_->is_done()) {
    serve();
    return;
  }
  if (buffer_.size() > std::max(service_->limits().headerBytes, kMaxPipelinedBytes)) {
    onParseError(http::make_error_code(http::error::header_limit));
    return;
  }
  if (!memory_->hold(*this, buffer_.capacity() + parser_->get().body().capacity())) {
    reject(tooBusyReply());
    return;
  }
  if (parser_->is_header_done()) {
    sendContinue();
  }
  read();
}

void HttpSession::giveUp() {
  auto self = shared_from_this();
  boost::asio::post(socket_.get_executor(), [self, requestNumber = requestNumber_] {
    if (self->state_ == State::kReadingRequest && self->requestNumber_ == requestNumber) {
      self->reject(tooBusyReply());
    }
  });
}

void HttpSession::reject(const HttpReply& reply) {
  keepAlive_ = false;
  respond(reply);
}

std::size_t HttpSession::parseSome(boost::system::error_code& error) {
  try {
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    return used;
  } catch (const std::length_error&) {
    // The parser throws for a header field that is longer than it can store, which a trailer may contain.
    error = http::make_error_code(http::error::header_limit);
    return 0;
  }
}

void HttpSession::sendContinue() {
  if (continueSent_ || parser_->get()[http::field::expect] != "100-continue") {
    return;
  }
  continueSent_ = true;
  auto self = shared_from_this();
  boost::asio::async_write(socket_, boost::asio::buffer(kContinue.data(), kContinue.size()),
                           [self](const boost::system::error_code&, std::size_t) {});
}

void HttpSession::onParseError(const boost::system::error_code& error) {
  keepAlive_ = false;
  if (error == http::error::header_limit) {
    respond(textReply(kHeaderTooLarge, "the header is larger than allowed"));
  } else if (error == http::error::body_limit) {
    respond(textReply(kTooLarge, "the body is larger than allowed"));
  } else {
    respond(textReply(kBadRequest, "the request cannot be read: " + error.message()));
  }
}

void HttpSession::serve() {
  timer_.cancel();
  memory_->hold(*this, 0);
  state_ = State::kServing;
  ++service_->inProgress_;
  ++requestNumber_;
  auto message = parser_->release();
  keepAlive_ = message.keep_alive();
  isHead_ = message.method() == http::verb::head;
  parser_.reset();
  auto self = shared_from_this();
  // Keep reading to detect a disconnect; bytes of later requests stay in the buffer.
  read();
  auto onDisconnect = service_->handler_.onRequest(requestOf(std::move(message)),
                                                   ResponseWriter(weak_from_this(), requestNumber_));
  if (state_ == State::kServing) {
    onDisconnect_ = std::move(onDisconnect);
  }
}

void HttpSession::onCallerDisconnected() {
  --service_->inProgress_;
  auto onDisconnect = std::move(onDisconnect_);
  onDisconnect_ = nullptr;
  close();
  if (onDisconnect) {
    onDisconnect();
  }
}

void HttpSession::respond(const HttpReply& reply) {
  if (service_ == nullptr || state_ == State::kClosed || state_ == State::kWriting) {
    return;
  }
  if (state_ == State::kServing) {
    --service_->inProgress_;
  }
  onDisconnect_ = nullptr;
  timer_.cancel();
  memory_->hold(*this, 0);
  keepAlive_ = keepAlive_ && !service_->closing();
  state_ = State::kWriting;
  outgoing_ = serialize(reply, !keepAlive_, isHead_);
  auto self = shared_from_this();
  boost::asio::async_write(
      socket_, boost::asio::buffer(outgoing_),
      [self](const boost::system::error_code& error, std::size_t) { self->onWritten(error); });
}

void HttpSession::respondIfServing(const HttpReply& reply) {
  if (state_ == State::kServing) {
    respond(reply);
  }
}

void HttpSession::respondTo(std::uint64_t requestNumber, const HttpReply& reply) {
  if (requestNumber == requestNumber_) {
    respondIfServing(reply);
  }
}

void HttpSession::onWritten(const boost::system::error_code& error) {
  if (service_ == nullptr || state_ != State::kWriting) {
    return;
  }
  if (error || inputClosed_) {
    close();
    return;
  }
  if (!keepAlive_) {
    linger();
    return;
  }
  beginRequest();
  if (buffer_.size() > 0) {
    parse();
  } else {
    read();
  }
}

void HttpSession::linger() {
  // Closing a socket with unread data sends a reset, which may make the caller lose the reply. So only the
  // sending side is closed, and input is discarded for a while.
  state_ = State::kLingering;
  buffer_.consume(buffer_.size());
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  armTimer(kLingerTime);
  read();
}

void HttpSession::closeIfIdle() {
  if (state_ == State::kIdle) {
    close();
  }
}

void HttpSession::close() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  memory_->hold(*this, 0);
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace oakpier::serving
