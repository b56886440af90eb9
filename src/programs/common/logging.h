#pragma once

/// Structured logs: one JSON object a line on standard error, through Boost.Log.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace oakpier {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// One further key of a log line.
struct LogField {
  std::string name;
  nlohmann::json value;
};

/// Call once at the start. Lines below `level` are dropped. `program` is a key of every line.
void startLogging(LogLevel level, const std::string& program);

void log(LogLevel level, const std::string& message, const std::vector<LogField>& fields = {});

}  // namespace oakpier
