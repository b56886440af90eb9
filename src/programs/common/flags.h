#pragma once

/// Checks and conversions that the command lines of all programs share.

#include <CLI/CLI.hpp>
#include <string>

#include "state/endpoint.h"

namespace oakpier {

/// Accepts "IP:port" only; the message names the value and what is allowed.
inline CLI::Validator endpointValidator() {
  return CLI::Validator(
      [](std::string& text) {
        return Endpoint::parse(text)
                   ? std::string()
                   : "'" + text + "' is not allowed: give an IP number and a port, like 10.0.0.1:7001";
      },
      "IP:PORT", "endpoint");
}

/// For texts that `endpointValidator` has passed.
inline Endpoint endpointOf(const std::string& text) { return Endpoint::parse(text).value_or(Endpoint()); }

}  // namespace oakpier
