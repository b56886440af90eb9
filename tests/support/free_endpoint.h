#pragma once

/// A loopback address with a currently unused port.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "state/endpoint.h"

namespace oakpier {

inline Endpoint freeEndpoint() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  REQUIRE(bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) == 0);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
  close(descriptor);
  return Endpoint(INADDR_LOOPBACK, ntohs(address.sin_port));
}

}  // namespace oakpier
