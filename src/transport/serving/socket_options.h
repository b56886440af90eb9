#pragma once

/// Options that every TCP connection of the gateway has.

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "state/endpoint.h"

namespace oakpier::serving {

/// For connections of callers, whose own way to the gateway may be slow and full, and to the configuration
/// source, whose calls have a timeout of their own.
inline constexpr std::chrono::milliseconds kCallerUnacknowledgedLimit{3000};

/// No delay for small writes; the connection ends when bytes stay unacknowledged for the limit. Failures to
/// set options are ignored, since the connection then only notices later.
void configureConnection(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds unacknowledgedLimit);

boost::asio::ip::tcp::endpoint toAsio(const Endpoint& endpoint);

}  // namespace oakpier::serving
