#pragma once

/// Parses log lines of oakpier's programs, with any prefix that a log collector has added.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace oakpier {

struct LogLine {
  /// The last word before the JSON, used as the process's name; may be empty.
  std::string process;
  nlohmann::ordered_json fields;

  std::string message() const { return fields.value("message", ""); }
};

/// Returns nothing for other lines.
std::optional<LogLine> parseLogLine(const std::string& text);

}  // namespace oakpier
