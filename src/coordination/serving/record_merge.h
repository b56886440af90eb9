#pragma once

/// Merges the records of several shards into a top-k list.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace oakpier::serving {

inline constexpr std::size_t kRecordBytes = 16;

/// Returns the greatest `count` records of `parts` in descending order, compared as unsigned bytes.
/// Duplicates are kept. `parts`: concatenated records in any order; trailing bytes shorter than a record are
/// ignored.
std::string greatestRecords(const std::vector<std::string_view>& parts, std::size_t count);

/// Returns those of `records` that can be among the greatest `count` records of both: the ones not less than
/// the `count`th record of `greatest`, or all if `greatest` has fewer. Both are in descending order.
std::string recordsWithinTop(const std::string& records, const std::string& greatest, std::size_t count);

}  // namespace oakpier::serving
