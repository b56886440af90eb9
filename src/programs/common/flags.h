#pragma once

/// Command-line validators and conversions that all programs share.

#include <CLI/CLI.hpp>
#include <string>

#include "state/endpoint.h"

namespace oakpier {

/// Accepts "IP:port" only; the error message quotes the value and shows the expected form.
inline CLI::Validator endpointValidator() {
  return CLI::Validator(
      [](std::string& text) {
        return Endpoint::parse(text) ? std::string()
                                     : "'" + text + "' is not an IP number and port, such as 10.0.0.1:7001";
      },
      "IP:PORT", "endpoint");
}

/// For values that `endpointValidator` has accepted.
inline Endpoint parsedEndpoint(const std::string& text) { return Endpoint::parse(text).value_or(Endpoint()); }

}  // namespace oakpier
