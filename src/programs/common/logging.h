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

/// The same to standard output, written by a thread of its own from a bounded queue: when the reader of the
/// output stalls, lines are dropped and counted, and nothing waits.
void startBoundedLogging(LogLevel level, const std::string& program);
/// Lines that were dropped since the start.
std::uint64_t droppedLogLines();
/// Writes what is queued and ends the process with the code. What a stalled reader has not taken after a
/// short time is lost.
[[noreturn]] void exitAfterLogging(int code);

void log(LogLevel level, const std::string& message, const std::vector<LogField>& fields = {});

}  // namespace oakpier
