#pragma once

/// Extracts a caller's key from a request and replaces it by the name of its tenant, so that neither leafs
/// nor peers see the key.

#include <optional>
#include <string>
#include <string_view>

#include "protocol/serving/header_names.h"
#include "state/serving/http_message.h"

namespace oakpier::serving {

/// The key in the Authorization header; empty if the header is missing, repeated or malformed, or has another
/// scheme than `names.keyScheme`.
std::optional<std::string_view> keyOf(const HeaderList& headers, const HeaderNames& names);

/// Removes the Authorization and tenant headers that the caller sent, and sets the request's tenant; empty:
/// none.
void replaceCredentials(HttpRequest& request, const std::string& tenant, const HeaderNames& names);

}  // namespace oakpier::serving
