#pragma once

/// Structured logging through Boost.Log: one JSON object per line.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace oakpier {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// An additional key of a log line.
struct LogField {
  std::string name;
  nlohmann::json value;
};

/// Logs to standard error. Call once at start-up. Lines below `level` are discarded; every line has the key
/// `program`.
void startLogging(LogLevel level, const std::string& program);

/// Like `startLogging`, but to standard output, from a bounded queue that a dedicated thread writes out: when
/// the reader of the output stalls, lines are dropped and counted, and callers of `log` do not block.
void startBoundedLogging(LogLevel level, const std::string& program);
/// Lines dropped since start-up because the queue was full.
std::uint64_t droppedLogLines();
/// Lines that could not be written to standard output, because its reader has gone or its device is full.
std::uint64_t unwrittenLogLines();
/// Flushes the queue and exits with `code`. Lines that a stalled reader has not consumed within a short
/// timeout are lost. Runs no destructors.
[[noreturn]] void flushLogsAndExit(int code);

void log(LogLevel level, const std::string& message, const std::vector<LogField>& fields = {});

}  // namespace oakpier
