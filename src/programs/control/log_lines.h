#pragma once

/// Reads the log lines of oakpier's programs back, whatever a collector put before each line's JSON.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace oakpier {

struct LogLine {
  /// What stood last before the JSON, taken for the process's name; may be empty.
  std::string process;
  nlohmann::ordered_json fields;

  std::string message() const { return fields.value("message", ""); }
};

/// Empty for lines that are no log lines.
std::optional<LogLine> parseLogLine(const std::string& text);

}  // namespace oakpier
