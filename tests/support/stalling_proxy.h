#pragma once

/// A loopback proxy that can stall its open connections: it neither reads from them nor closes them, while
/// new ones work. To the sender this looks like a path that drops all packets, since its data is not
/// acknowledged once the proxy's buffers are full.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "state/endpoint.h"

namespace oakpier {

class StallingProxy {
 public:
  /// Forwards connections to `address()` to `target`.
  explicit StallingProxy(const Endpoint& target)
      : target_(target), acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  StallingProxy(const StallingProxy&) = delete;
  StallingProxy& operator=(const StallingProxy&) = delete;
  ~StallingProxy() {
    context_.stop();
    thread_.join();
  }

  Endpoint address() const { return Endpoint(0x7f000001, acceptor_.local_endpoint().port()); }

  /// Stalls all open connections; they are stalled when this returns.
  void stallConnections() {
    std::promise<void> done;
    boost::asio::post(context_, [&] {
      for (const auto& connection : connections_) {
        connection->stalled = true;
      }
      done.set_value();
    });
    done.get_future().get();
  }

 private:
  struct Connection {
    explicit Connection(boost::asio::io_context& context) : near(context), far(context) {}
    boost::asio::ip::tcp::socket near;
    boost::asio::ip::tcp::socket far;
    std::array<char, 16384> fromNear{};
    std::array<char, 16384> fromFar{};
    bool stalled = false;
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  void accept() {
    auto connection = std::make_shared<Connection>(context_);
    acceptor_.async_accept(connection->near, [this, connection](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      boost::system::error_code refused;
      connection->far.connect({boost::asio::ip::make_address_v4(target_.ip()), target_.port()}, refused);
      if (!refused) {
        connections_.push_back(connection);
        relay(connection, connection->near, connection->far, connection->fromNear);
        relay(connection, connection->far, connection->near, connection->fromFar);
      }
      accept();
    });
  }

  void relay(const ConnectionPointer& connection, boost::asio::ip::tcp::socket& from,
             boost::asio::ip::tcp::socket& to, std::array<char, 16384>& chunk) {
    from.async_read_some(
        boost::asio::buffer(chunk),
        [this, connection, &from, &to, &chunk](const boost::system::error_code& error, std::size_t count) {
          if (connection->stalled) {
            return;
          }
          if (error) {
            close(*connection);
            return;
          }
          boost::asio::async_write(to, boost::asio::buffer(chunk, count),
                                   [this, connection, &from, &to, &chunk](
                                       const boost::system::error_code& writeError, std::size_t) {
                                     if (writeError) {
                                       close(*connection);
                                     } else {
                                       relay(connection, from, to, chunk);
                                     }
                                   });
        });
  }

  static void close(Connection& connection) {
    boost::system::error_code ignored;
    connection.near.close(ignored);
    connection.far.close(ignored);
  }

  Endpoint target_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<ConnectionPointer> connections_;
  std::thread thread_;
};

}  // namespace oakpier
