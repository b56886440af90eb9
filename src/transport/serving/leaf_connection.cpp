#include "transport/serving/leaf_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "transport/serving/socket_options.h"
#include "transport/tcp_user_timeout.h"

namespace oakpier::serving {

namespace {

constexpr std::size_t kReadBytes = 4096;
/// A leaf that has reached its connection limit accepts further connections and resets them immediately. A
/// new connection is used only after this time, so that no request is lost to such a reset.
constexpr Duration kEarlyResetWindow = std::chrono::microseconds(2500);
/// A leaf may repeat a reply or two; one that sends replies to other requests without end answers nothing.
constexpr unsigned kMaxForeignReplies = 8;

}  // namespace

LeafConnection::LeafConnection(boost::asio::io_context& context, const Endpoint& address,
                               std::shared_ptr<ReceiveMemory> memory, Listener listener)
    : socket_(context),
      connectTimer_(context),
      address_(address),
      memory_(std::move(memory)),
      listener_(std::move(listener)) {}

LeafConnection::~LeafConnection() { memory_->hold(*this, 0); }

void LeafConnection::open(Duration timeout) {
  auto self = shared_from_this();
  connectTimer_.expires_after(timeout);
  connectTimer_.async_wait([self](const boost::system::error_code& error) {
    if (!error && self->state_ == State::kConnecting) {
      self->fail();
    }
  });
  socket_.async_connect(toAsio(address_), [self](const boost::system::error_code& error) {
    if (self->state_ != State::kConnecting) {
      return;
    }
    self->connectTimer_.cancel();
    if (error) {
      self->wasRefused_ = error == boost::asio::error::connection_refused;
      // If no process listens, the connection is refused; a reset means that it had been accepted.
      self->wasAccepted_ = error == boost::asio::error::connection_reset;
      self->fail();
      return;
    }
    self->wasAccepted_ = true;
    configureConnection(self->socket_, kTcpUserTimeout);
    self->read();
    self->awaitEarlyReset();
  });
}

void LeafConnection::awaitEarlyReset() {
  auto self = shared_from_this();
  connectTimer_.expires_after(kEarlyResetWindow);
  connectTimer_.async_wait([self](const boost::system::error_code& error) {
    if (error || self->state_ != State::kConnecting) {
      return;
    }
    self->state_ = State::kIdle;
    self->wasOpen_ = true;
    self->listener_(*self, Event::kReady, nullptr);
  });
}

void LeafConnection::exchange(std::string bytes, bool isHead, ReplyFilter filter) {
  state_ = State::kBusy;
  ++exchange_;
  foreignReplies_ = 0;
  isHead_ = isHead;
  filter_ = std::move(filter);
  outgoing_ = std::move(bytes);
  reader_.begin(isHead);
  writing_ = true;
  auto self = shared_from_this();
  boost::asio::async_write(socket_, boost::asio::buffer(outgoing_),
                           [self](const boost::system::error_code& error, std::size_t) {
                             self->writing_ = false;
                             if (error && self->state_ == State::kBusy && !self->reader_.started()) {
                               self->onConnectionLost(error);
                             }
                           });
}

void LeafConnection::close() {
  state_ = State::kClosed;
  memory_->hold(*this, 0);
  listener_ = nullptr;
  filter_ = nullptr;
  connectTimer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void LeafConnection::read() {
  if (reading_) {
    return;
  }
  reading_ = true;
  auto self = shared_from_this();
  socket_.async_read_some(reader_.buffer().prepare(kReadBytes),
                          [self](const boost::system::error_code& error, std::size_t count) {
                            self->reading_ = false;
                            self->onRead(error, count);
                          });
}

void LeafConnection::onRead(const boost::system::error_code& error, std::size_t count) {
  if (state_ == State::kClosed) {
    return;
  }
  reader_.buffer().commit(count);
  if (state_ != State::kBusy) {
    // Unsolicited bytes, or an idle connection was closed.
    fail();
    return;
  }
  ReplyReader::State state = ReplyReader::State::kBroken;
  if (error == boost::asio::error::eof) {
    state = reader_.onEof();
  } else if (!error) {
    state = reader_.advance();
  }
  const bool needsMore = state == ReplyReader::State::kNeedsMore;
  if (state == ReplyReader::State::kBroken || (needsMore && !memory_->hold(*this, reader_.heldBytes()))) {
    onConnectionLost(error);
  } else if (needsMore) {
    read();
  } else {
    onReply();
  }
}

void LeafConnection::onReply() {
  HttpReply received = reader_.take();
  const bool reusable = reader_.keepAlive() && !writing_;
  if (!filter_(received)) {
    skipForeignReply(reusable);
    return;
  }
  const auto reply = memory_->keepFinished(*this, std::move(received));
  auto self = shared_from_this();
  auto listener = listener_;
  filter_ = nullptr;
  if (reusable && !reader_.hasSurplus()) {
    state_ = State::kIdle;
    read();
  } else {
    close();
  }
  listener(*this, Event::kReplied, reply);
}

void LeafConnection::skipForeignReply(bool reusable) {
  if (!reusable || ++foreignReplies_ > kMaxForeignReplies) {
    fail();
    return;
  }
  reader_.begin(isHead_);
  onRead({}, 0);
}

void LeafConnection::giveUp() {
  auto self = shared_from_this();
  boost::asio::post(socket_.get_executor(), [self, exchange = exchange_] {
    if (self->state_ == State::kBusy && self->exchange_ == exchange) {
      self->fail();
    }
  });
}

void LeafConnection::onConnectionLost(const boost::system::error_code& error) {
  const bool byPeer = error == boost::asio::error::eof || error == boost::asio::error::connection_reset ||
                      error == boost::asio::error::broken_pipe;
  closedWithoutReply_ = byPeer && !reader_.started();
  fail();
}

void LeafConnection::fail() {
  auto self = shared_from_this();
  auto listener = listener_;
  close();
  if (listener) {
    listener(*this, Event::kClosed, nullptr);
  }
}

}  // namespace oakpier::serving
