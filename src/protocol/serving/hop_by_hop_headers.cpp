#include "protocol/serving/hop_by_hop_headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>

namespace oakpier::serving {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

}  // namespace

bool isHopByHopHeader(std::string_view name, const HeaderList& message) {
  for (const std::string_view known : kHopByHopHeaders) {
    if (sameHeaderName(name, known)) {
      return true;
    }
  }
  for (const Header& header : message) {
    if (!sameHeaderName(header.name, "Connection")) {
      continue;
    }
    boost::beast::http::token_list tokens{header.value};
    if (tokens.exists({name.data(), name.size()})) {
      return true;
    }
  }
  return false;
}

bool parseMilliseconds(std::string_view text, std::uint64_t& milliseconds) {
  const auto result = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

}  // namespace oakpier::serving
