#include "coordination/serving/record_merge.h"

#include <algorithm>

#include "support/property.h"

namespace oakpier::serving {

TEST_CASE("the greatest records are the first ones of a complete sort", "[serving]") {
  OAKPIER_PROPERTY("merge", [] {
    const auto bodies = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::element('\0', 'a', 'b', '\xff')));
    const auto count = *rc::gen::inRange<std::size_t>(0, 12);
    std::vector<std::string> all;
    std::vector<std::string_view> parts;
    for (const std::string& body : bodies) {
      parts.emplace_back(body);
      for (std::size_t begin = 0; begin + kRecordBytes <= body.size(); begin += kRecordBytes) {
        all.push_back(body.substr(begin, kRecordBytes));
      }
    }
    std::sort(all.begin(), all.end(), [](const std::string& left, const std::string& right) {
      return std::lexicographical_compare(right.begin(), right.end(), left.begin(), left.end(),
                                          [](unsigned char one, unsigned char other) { return one < other; });
    });
    std::string expected;
    for (std::size_t index = 0; index < std::min(count, all.size()); ++index) {
      expected += all[index];
    }
    RC_ASSERT(greatestRecords(parts, count) == expected);
  });
}

}  // namespace oakpier::serving
