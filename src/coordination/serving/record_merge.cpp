#include "coordination/serving/record_merge.h"

#include <algorithm>
#include <functional>

namespace oakpier::serving {

std::string greatestRecords(const std::vector<std::string_view>& parts, std::size_t count) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t begin = 0; begin + kRecordBytes <= part.size(); begin += kRecordBytes) {
      records.push_back(part.substr(begin, kRecordBytes));
    }
  }
  const std::size_t kept = std::min(count, records.size());
  const auto end = records.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(records.begin(), end, records.end(), std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  std::for_each(records.begin(), end, [&](std::string_view record) { merged.append(record); });
  return merged;
}

std::string recordsThatCount(const std::string& records, const std::string& greatest, std::size_t count) {
  if (count == 0 || greatest.size() < count * kRecordBytes) {
    return records;
  }
  const std::string_view least = std::string_view(greatest).substr((count - 1) * kRecordBytes, kRecordBytes);
  std::size_t end = 0;
  while (end + kRecordBytes <= records.size() &&
         std::string_view(records).substr(end, kRecordBytes) >= least) {
    end += kRecordBytes;
  }
  return records.substr(0, end);
}

}  // namespace oakpier::serving
