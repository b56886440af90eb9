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

std::string_view withoutLeadingSpaces(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(' ');
  return begin == std::string_view::npos ? std::string_view() : text.substr(begin);
}

bool hasScheme(std::string_view credentials, const std::string& scheme) {
  const std::string_view text = withoutLeadingSpaces(credentials);
  // Schemes are case-insensitive, like header names.
  return sameHeaderName(text.substr(0, text.find_first_of(" \t")), scheme);
}

CallerKey keyOfCredentials(std::string_view credentials) {
  const std::size_t schemeEnd = credentials.find(' ');
  if (schemeEnd == 0 || schemeEnd == std::string_view::npos) {
    return UnreadableKey{};
  }
  const std::string_view key = withoutLeadingSpaces(credentials.substr(schemeEnd));
  if (key.empty() || !std::all_of(key.begin(), key.end(), isKeyCharacter)) {
    return UnreadableKey{};
  }
  return key;
}

}  // namespace

CallerKey keyOf(const HeaderList& headers, const HeaderNames& names) {
  std::size_t count = 0;
  const std::string* credentials = nullptr;
  for (const Header& header : headers) {
    if (!sameHeaderName(header.name, kAuthorization)) {
      continue;
    }
    ++count;
    if (hasScheme(header.value, names.keyScheme)) {
      credentials = &header.value;
    }
  }
  if (credentials == nullptr) {
    return NoKey{};
  }
  return count == 1 ? keyOfCredentials(*credentials) : CallerKey(UnreadableKey{});
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
