#pragma once

/// Hop-by-hop headers, which apply to one connection and are never forwarded.

#include <string_view>

#include "state/serving/http_message.h"

namespace oakpier::serving {

/// True for the standard hop-by-hop headers, for Content-Length, which is recomputed for each message, and
/// for those listed in the Connection header of `message`.
bool isHopByHopHeader(std::string_view name, const HeaderList& message);

/// Parses a decimal integer; false if `text` is anything else.
bool parseMilliseconds(std::string_view text, std::uint64_t& milliseconds);

}  // namespace oakpier::serving
