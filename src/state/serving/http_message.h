#pragma once

/// HTTP requests and replies as plain values. Bodies are held in memory completely, not streamed.

#include <string>
#include <string_view>
#include <vector>

namespace oakpier::serving {

struct Header {
  std::string name;
  std::string value;
};

using HeaderList = std::vector<Header>;

struct HttpRequest {
  std::string method;
  /// Path and query, exactly as received.
  std::string target;
  HeaderList headers;
  std::string body;
  /// Name of the tenant on whose behalf the request runs; empty: none.
  std::string tenant = {};
};

struct HttpReply {
  unsigned status = 0;
  std::string reason;
  HeaderList headers;
  std::string body;
};

/// Compares header names case-insensitively.
bool sameHeaderName(std::string_view left, std::string_view right);

/// The value of the first header with that name; null if there is none.
const std::string* findHeader(const HeaderList& headers, std::string_view name);

}  // namespace oakpier::serving
