#include "protocol/serving/caller_credentials.h"

namespace oakpier::serving {

std::optional<std::string_view> keyOf(const HeaderList&, const HeaderNames&) { return std::nullopt; }

void replaceCredentials(HttpRequest& request, const std::string& tenant, const HeaderNames&) {
  request.tenant = tenant;
}

}  // namespace oakpier::serving
