#pragma once

/// Scriptable TCP servers and clients on the loopback interface, driven by the event loop of the code under
/// test.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "state/endpoint.h"

namespace oakpier::serving {

/// Runs the event loop until the condition holds. Fails the test after 20 s.
inline void runUntil(boost::asio::io_context& context, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!condition()) {
    REQUIRE(std::chrono::steady_clock::now() < end);
    context.restart();
    context.run_one_for(std::chrono::milliseconds(50));
  }
}

/// Accepts connections and records the bytes that each receives.
class RawServer {
 public:
  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    std::string received;
    bool ended = false;
    char chunk[4096];

    /// Requests without a body that were received.
    std::size_t requests() const {
      std::size_t count = 0;
      for (std::size_t place = received.find("\r\n\r\n"); place != std::string::npos;
           place = received.find("\r\n\r\n", place + 1)) {
        ++count;
      }
      return count;
    }
    void write(const std::string& bytes) { boost::asio::write(socket, boost::asio::buffer(bytes)); }
    void end() { socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
    void reset() {
      socket.set_option(boost::asio::socket_base::linger(true, 0));
      socket.close();
    }
  };

  explicit RawServer(boost::asio::io_context& context)
      : acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  /// From now on, new connections are reset immediately after they have been accepted.
  void resetNewConnections() { resets_ = true; }
  std::size_t resets() const { return resetCount_; }
  /// From now on, connections are refused until `reopen` listens on the same address again.
  void close() {
    closedAt_ = acceptor_.local_endpoint();
    acceptor_.close();
  }
  void reopen() {
    acceptor_.open(closedAt_.protocol());
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor_.bind(closedAt_);
    acceptor_.listen();
    accept();
  }
  Endpoint address() const { return Endpoint(0x7f000001, acceptor_.local_endpoint().port()); }
  std::vector<std::shared_ptr<Connection>>& connections() { return connections_; }
  /// Of all connections.
  std::size_t requests() const {
    std::size_t count = 0;
    for (const auto& connection : connections_) {
      count += connection->requests();
    }
    return count;
  }

 private:
  void accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
          if (error) {
            return;
          }
          connections_.push_back(std::make_shared<Connection>(std::move(socket)));
          if (resets_) {
            // Deferred, so that the peer sees the connection established first.
            boost::asio::post(acceptor_.get_executor(), [this, connection = connections_.back()] {
              connection->reset();
              ++resetCount_;
            });
          } else {
            read(connections_.back());
          }
          accept();
        });
  }

  static void read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->chunk),
        [connection](const boost::system::error_code& error, std::size_t count) {
          connection->received.append(connection->chunk, count);
          if (error) {
            connection->ended = true;
          } else {
            read(connection);
          }
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  bool resets_ = false;
  std::size_t resetCount_ = 0;
  boost::asio::ip::tcp::endpoint closedAt_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

/// A TCP connection to a server under test.
class RawClient {
 public:
  RawClient(boost::asio::io_context& context, const Endpoint& address)
      : connection_(std::make_shared<RawServer::Connection>(boost::asio::ip::tcp::socket(context))) {
    connection_->socket.connect({boost::asio::ip::address_v4::loopback(), address.port()});
    // Every write arrives at once, also while the one before is not acknowledged.
    connection_->socket.set_option(boost::asio::ip::tcp::no_delay(true));
    read(connection_);
  }

  void write(const std::string& bytes) { connection_->write(bytes); }
  void reset() { connection_->reset(); }
  const std::string& received() const { return connection_->received; }
  bool ended() const { return connection_->ended; }

 private:
  static void read(const std::shared_ptr<RawServer::Connection>& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->chunk),
        [connection](const boost::system::error_code& error, std::size_t count) {
          connection->received.append(connection->chunk, count);
          if (error) {
            connection->ended = true;
          } else {
            read(connection);
          }
        });
  }

  std::shared_ptr<RawServer::Connection> connection_;
};

}  // namespace oakpier::serving
