#include "state/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace oakpier {

std::optional<Endpoint> Endpoint::parse(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  in_addr address{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, problem] = std::from_chars(text.data() + colon + 1, end, port);
  if (problem != std::errc{} || stop != end || port == 0) {
    return std::nullopt;
  }
  return Endpoint(ntohl(address.s_addr), port);
}

std::string Endpoint::ip() const {
  in_addr address{};
  address.s_addr = htonl(ip_);
  char buffer[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address, buffer, sizeof(buffer));
  return buffer;
}

std::string Endpoint::text() const { return ip() + ":" + std::to_string(port_); }

}  // namespace oakpier
