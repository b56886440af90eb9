#pragma once

/// The key that a caller shows, and what leafs and other daemons see of it: never the key, but the name of
/// the tenant that holds it.

#include <optional>
#include <string>
#include <string_view>

#include "protocol/serving/header_names.h"
#include "state/serving/http_message.h"

namespace oakpier::serving {

/// The key in the header `Authorization`; none when there is no such header, more than one, or one of another
/// form.
std::optional<std::string_view> keyOf(const HeaderList& headers, const HeaderNames& names);

/// Takes the key and everything that the caller says of its tenant out of the request, and notes the tenant
/// that it is served as; empty: none.
void replaceCredentials(HttpRequest& request, const std::string& tenant, const HeaderNames& names);

}  // namespace oakpier::serving
