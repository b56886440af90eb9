#include "transport/serving/socket_options.h"

#include <netinet/tcp.h>

namespace oakpier::serving {

namespace {

using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

void configureConnection(boost::asio::ip::tcp::socket& socket,
                         std::chrono::milliseconds unacknowledgedLimit) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(UserTimeout(static_cast<int>(unacknowledgedLimit.count())), ignored);
}

boost::asio::ip::tcp::endpoint toAsio(const Endpoint& endpoint) {
  boost::system::error_code ignored;
  return {boost::asio::ip::make_address_v4(endpoint.ip(), ignored), endpoint.port()};
}

}  // namespace oakpier::serving
