#include "state/serving/http_message.h"

#include <algorithm>
#include <cctype>

namespace oakpier::serving {

bool sameHeaderName(std::string_view left, std::string_view right) {
  const auto sameLetter = [](unsigned char one, unsigned char other) {
    return std::tolower(one) == std::tolower(other);
  };
  return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), sameLetter);
}

const std::string* findHeader(const HeaderList& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (sameHeaderName(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

}  // namespace oakpier::serving
