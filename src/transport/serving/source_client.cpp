#include "transport/serving/source_client.h"

#include <boost/asio/write.hpp>
#include <utility>

#include "transport/serving/socket_options.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
/// A connection that was idle for longer carries no further call. It may have gone silent without a reset,
/// which only the call's timeout would show, and the first call after a long pause is the one that must be
/// answered soon: it is made because the reader was lost. Longer than the reader's pauses between calls.
constexpr Duration kMaxIdleTime = std::chrono::seconds(1);

}  // namespace

struct SourceClient::Connection {
  explicit Connection(boost::asio::io_context& context) : socket(context) {}
  boost::asio::ip::tcp::socket socket;
  ReplyReader reader;
  bool open = false;
};

SourceClient::SourceClient(boost::asio::io_context& context, const Endpoint& address)
    : context_(context), address_(address), timer_(context) {}

void SourceClient::setAddress(const Endpoint& address) {
  if (!(address == address_)) {
    address_ = address;
    connection_.reset();
  }
}

void SourceClient::call(const HttpRequest& request, Duration timeout, Callback callback) {
  callback_ = std::move(callback);
  outgoing_ = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const Header& header : request.headers) {
    outgoing_.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (findHeader(request.headers, "Host") == nullptr) {
    outgoing_.append("Host: ").append(address_.text()).append("\r\n");
  }
  outgoing_.append("\r\n");
  timer_.expires_after(timeout);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && callback_ && timer_.expiry() <= std::chrono::steady_clock::now()) {
      finish(std::nullopt);
    }
  });
  lastCallConnection_ = CallConnection{};
  const Duration idle = steadyNow() - lastCallEndedAt_;
  if (connection_ && connection_->open && idle <= kMaxIdleTime) {
    lastCallConnection_ = CallConnection{true, idle};
    write(connection_);
    return;
  }
  connection_ = std::make_shared<Connection>(context_);
  auto connection = connection_;
  connection->socket.async_connect(toAsio(address_),
                                   [this, connection](const boost::system::error_code& error) {
                                     if (connection != connection_) {
                                       return;
                                     }
                                     if (error) {
                                       finish(std::nullopt);
                                       return;
                                     }
                                     configureConnection(connection->socket, kCallerUnacknowledgedLimit);
                                     connection->open = true;
                                     write(connection);
                                   });
}

void SourceClient::write(const std::shared_ptr<Connection>& connection) {
  connection->reader.begin(false);
  boost::asio::async_write(connection->socket, boost::asio::buffer(outgoing_),
                           [this, connection](const boost::system::error_code& error, std::size_t) {
                             if (connection != connection_) {
                               return;
                             }
                             if (error) {
                               finish(std::nullopt);
                             } else {
                               read(connection);
                             }
                           });
}

void SourceClient::read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      connection->reader.buffer().prepare(kReadBytes),
      [this, connection](const boost::system::error_code& error, std::size_t count) {
        if (connection != connection_) {
          return;
        }
        connection->reader.buffer().commit(count);
        ReplyReader::State state = ReplyReader::State::kBroken;
        if (error == boost::asio::error::eof) {
          state = connection->reader.onEof();
        } else if (!error) {
          state = connection->reader.advance();
        }
        if (state == ReplyReader::State::kNeedsMore) {
          read(connection);
        } else if (state == ReplyReader::State::kBroken) {
          finish(std::nullopt);
        } else {
          finish(connection->reader.take());
        }
      });
}

void SourceClient::finish(std::optional<HttpReply> reply) {
  timer_.cancel();
  lastCallEndedAt_ = steadyNow();
  if (!reply || !connection_->reader.keepAlive() || connection_->reader.hasSurplus()) {
    boost::system::error_code ignored;
    if (connection_) {
      connection_->socket.close(ignored);
    }
    connection_.reset();
  }
  const Callback callback = std::move(callback_);
  callback_ = nullptr;
  callback(std::move(reply));
}

}  // namespace oakpier::serving
