#pragma once

/// Makes a process that ends abnormally say why: one JSON line for an unhandled exception or a fatal signal.

#include <cstddef>
#include <string>

namespace oakpier {

/// From now on, an exception that no code handles and the signals SIGSEGV, SIGBUS, SIGFPE and SIGABRT write
/// one line with the message "process ends abnormally" to the descriptor before the process ends by its
/// signal. Call once at start-up, on the main thread.
void reportAbnormalEnds(const std::string& program, int descriptor);

/// Writes all bytes; returns false if that is not possible. Safe in signal handlers.
bool writeCompletely(int descriptor, const char* bytes, std::size_t count);

}  // namespace oakpier
