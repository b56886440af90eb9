#pragma once

/// Merges the shards' records to the greatest ones.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace oakpier::serving {

inline constexpr std::size_t kRecordBytes = 16;

/// `parts`: bodies of whole records in no order; a shorter rest is not a record. Returns the greatest `count`
/// records, compared byte by byte, greatest first; equal records all count.
std::string greatestRecords(const std::vector<std::string_view>& parts, std::size_t count);

/// Those of `records` that can be among the greatest `count` records together with `greatest`, which holds
/// the greatest ones so far. Both are in falling order.
std::string recordsThatCount(const std::string& records, const std::string& greatest, std::size_t count);

}  // namespace oakpier::serving
