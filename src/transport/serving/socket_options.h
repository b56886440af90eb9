#pragma once

/// Options that every TCP connection of the gateway has.

#include <boost/asio/ip/tcp.hpp>

#include "state/endpoint.h"

namespace oakpier::serving {

/// No delay for small writes; a peer that is silent for seconds counts as gone. Failures are ignored, since
/// the connection then only notices later.
void configureConnection(boost::asio::ip::tcp::socket& socket);

boost::asio::ip::tcp::endpoint toAsio(const Endpoint& endpoint);

}  // namespace oakpier::serving
