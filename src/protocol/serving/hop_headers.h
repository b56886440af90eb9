#pragma once

/// Headers that concern one connection only and are never passed on.

#include <string_view>

#include "state/serving/http_message.h"

namespace oakpier::serving {

/// `message` is asked for the names that its own Connection header lists.
bool isHopHeader(std::string_view name, const HeaderList& message);

/// Whole number of milliseconds, or empty when the text is none.
bool parseMilliseconds(std::string_view text, std::uint64_t& milliseconds);

}  // namespace oakpier::serving
