#pragma once

/// An IPv4 address with a port, packed into eight bytes because daemons hold one for each of 100,000 leafs.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace oakpier {

class Endpoint {
 public:
  Endpoint() = default;
  Endpoint(std::uint32_t ip, std::uint16_t port) : ip_(ip), port_(port) {}

  /// Parses "127.0.0.1:7001". Empty for anything else, including host names and port 0.
  static std::optional<Endpoint> parse(const std::string& text);

  std::string ip() const;
  std::uint16_t port() const { return port_; }
  std::string text() const;
  std::uint64_t packed() const { return (std::uint64_t{ip_} << 16U) | port_; }

  friend bool operator==(const Endpoint& left, const Endpoint& right) {
    return left.packed() == right.packed();
  }
  friend bool operator!=(const Endpoint& left, const Endpoint& right) { return !(left == right); }
  friend bool operator<(const Endpoint& left, const Endpoint& right) {
    return left.packed() < right.packed();
  }

 private:
  std::uint32_t ip_ = 0;
  std::uint16_t port_ = 0;
};

}  // namespace oakpier

template <>
struct std::hash<oakpier::Endpoint> {
  std::size_t operator()(const oakpier::Endpoint& endpoint) const noexcept {
    return std::hash<std::uint64_t>{}(endpoint.packed());
  }
};
