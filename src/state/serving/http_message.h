#pragma once

/// HTTP requests and replies as plain values, whole: bodies are held, not streamed.

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
  /// Path and query as the caller sent them.
  std::string target;
  HeaderList headers;
  std::string body;
  /// The tenant for which a leaf runs it; empty: none.
  std::string tenant = {};
};

struct HttpReply {
  unsigned status = 0;
  std::string reason;
  HeaderList headers;
  std::string body;
};

/// Compares header names, which do not tell cases apart.
bool sameHeaderName(std::string_view left, std::string_view right);

/// The first header of that name; null when there is none.
const std::string* findHeader(const HeaderList& headers, std::string_view name);

}  // namespace oakpier::serving
