#pragma once

/// Measures what the leaf table, its placement and its changes cost a daemon, by the number of leafs.

#include <nlohmann/json.hpp>

namespace oakpier {

struct TableOptions {
  std::size_t leaves = 1000;
  std::size_t daemons = 71;
};

/// Bytes and processor time of each part, as one JSON object.
nlohmann::ordered_json runTables(const TableOptions& options);

}  // namespace oakpier
