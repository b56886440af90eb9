#pragma once

/// Extracts a caller's key from a request and replaces it by the name of its tenant, so that neither leafs
/// nor peers see the key.

#include <string>

#include "coordination/serving/caller_authorization.h"
#include "protocol/serving/header_names.h"
#include "state/serving/http_message.h"

namespace oakpier::serving {

/// The key in the Authorization header with the scheme `names.keyScheme`. Unreadable if that header is
/// malformed, or if there is another Authorization header.
CallerKey keyOf(const HeaderList& headers, const HeaderNames& names);

/// Removes the Authorization and tenant headers that the caller sent, and sets the request's tenant; empty:
/// none.
void replaceCredentials(HttpRequest& request, const std::string& tenant, const HeaderNames& names);

}  // namespace oakpier::serving
