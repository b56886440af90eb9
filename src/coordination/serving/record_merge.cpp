#include "coordination/serving/record_merge.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <cstring>
#include <functional>
#include <utility>

namespace oakpier::serving {

namespace {

/// A record as two integers that compare in the order of its bytes.
using RecordKey = std::pair<std::uint64_t, std::uint64_t>;

RecordKey keyOf(const char* bytes) {
  RecordKey key;
  std::memcpy(&key.first, bytes, sizeof(key.first));
  std::memcpy(&key.second, bytes + sizeof(key.first), sizeof(key.second));
  return {boost::endian::big_to_native(key.first), boost::endian::big_to_native(key.second)};
}

void append(const RecordKey& key, std::string& records) {
  for (const std::uint64_t half : {key.first, key.second}) {
    const std::uint64_t bytes = boost::endian::native_to_big(half);
    records.append(reinterpret_cast<const char*>(&bytes), sizeof(bytes));
  }
}

/// The greatest `count` keys added so far, as a min-heap.
class GreatestKeys {
 public:
  explicit GreatestKeys(std::size_t count) : count_(count) {}

  void add(const RecordKey& key) {
    if (kept_.size() == count_) {
      if (count_ == 0 || key <= kept_.front()) {
        return;
      }
      std::pop_heap(kept_.begin(), kept_.end(), std::greater<>());
      kept_.back() = key;
    } else {
      kept_.push_back(key);
    }
    std::push_heap(kept_.begin(), kept_.end(), std::greater<>());
  }

  std::vector<RecordKey> takeDescending() {
    std::sort(kept_.begin(), kept_.end(), std::greater<>());
    return std::move(kept_);
  }

 private:
  std::size_t count_;
  std::vector<RecordKey> kept_;
};

}  // namespace

std::string greatestRecords(const std::vector<std::string_view>& parts, std::size_t count) {
  GreatestKeys greatest(count);
  for (const std::string_view part : parts) {
    for (std::size_t begin = 0; begin + kRecordBytes <= part.size(); begin += kRecordBytes) {
      greatest.add(keyOf(part.data() + begin));
    }
  }
  const std::vector<RecordKey> keys = greatest.takeDescending();
  std::string merged;
  merged.reserve(keys.size() * kRecordBytes);
  for (const RecordKey& key : keys) {
    append(key, merged);
  }
  return merged;
}

std::string recordsWithinTop(const std::string& records, const std::string& greatest, std::size_t count) {
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
