#include "protocol/serving/caller_credentials.h"

#include <algorithm>

namespace oakpier::serving {

namespace {

constexpr std::string_view kAuthorization = "Authorization";
constexpr char kDelete = 0x7f;

/// Excludes spaces and control characters, which could break up headers and log lines.
bool isKeyCharacter(char character) {
  return static_cast<unsigned char>(character) > ' ' && character != kDelete;
}

/// The value of the only header with that name; null if there is none or more than one.
const std::string* onlyHeader(const HeaderList& headers, std::string_view name) {
  const std::string* only = nullptr;
  for (const Header& header : headers) {
    if (!sameHeaderName(header.name, name)) {
      continue;
    }
    if (only != nullptr) {
      return nullptr;
    }
    only = &header.value;
  }
  return only;
}

}  // namespace

std::optional<std::string_view> keyOf(const HeaderList& headers, const HeaderNames& names) {
  const std::string* value = onlyHeader(headers, kAuthorization);
  if (value == nullptr) {
    return std::nullopt;
  }
  const std::string_view text = *value;
  const std::size_t schemeEnd = text.find(' ');
  // Schemes are case-insensitive, like header names.
  if (schemeEnd == std::string_view::npos || !sameHeaderName(text.substr(0, schemeEnd), names.keyScheme)) {
    return std::nullopt;
  }
  const std::size_t keyBegin = text.find_first_not_of(' ', schemeEnd);
  if (keyBegin == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view key = text.substr(keyBegin);
  return std::all_of(key.begin(), key.end(), isKeyCharacter) ? std::optional(key) : std::nullopt;
}

void replaceCredentials(HttpRequest& request, const std::string& tenant, const HeaderNames& names) {
  const auto isCredential = [&names](const Header& header) {
    return sameHeaderName(header.name, kAuthorization) || sameHeaderName(header.name, names.tenant);
  };
  HeaderList& headers = request.headers;
  headers.erase(std::remove_if(headers.begin(), headers.end(), isCredential), headers.end());
  request.tenant = tenant;
}

}  // namespace oakpier::serving
