#include "coordination/serving/source_records.h"

#include <map>

namespace oakpier::serving {

std::vector<SourceRecord> latestPerKey(const std::vector<SourceRecord>& records, std::uint64_t epoch) {
  std::map<std::string, const SourceRecord*> latest;
  for (const SourceRecord& record : records) {
    const SourceRecord*& kept = latest[record.key];
    if (kept == nullptr || kept->revision <= record.revision) {
      kept = &record;
    }
  }
  std::vector<SourceRecord> result;
  result.reserve(latest.size());
  for (const auto& [key, record] : latest) {
    result.push_back(*record);
    result.back().epoch = epoch;
  }
  return result;
}

}  // namespace oakpier::serving
