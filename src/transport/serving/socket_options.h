#pragma once

/// Options set on every TCP connection of the gateway.

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "state/endpoint.h"

namespace oakpier::serving {

/// For connections from callers, whose network path may be slow or congested, and to the configuration
/// source, whose calls have their own timeout.
inline constexpr std::chrono::milliseconds kCallerUnacknowledgedLimit{3000};

/// Sets TCP_NODELAY and TCP_USER_TIMEOUT: the connection fails when sent data stays unacknowledged for
/// `unacknowledgedLimit`. Errors are ignored, as a connection without the options works and only detects
/// failures later.
void configureConnection(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds unacknowledgedLimit);

boost::asio::ip::tcp::endpoint toAsio(const Endpoint& endpoint);

}  // namespace oakpier::serving
