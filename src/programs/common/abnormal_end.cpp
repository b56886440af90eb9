#include "programs/common/abnormal_end.h"

#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <nlohmann/json.hpp>
#include <string>

namespace oakpier {

namespace {

struct FatalSignal {
  int number;
  const char* name;
};
constexpr std::array<FatalSignal, 4> kFatalSignals{
    {{SIGSEGV, "SIGSEGV"}, {SIGBUS, "SIGBUS"}, {SIGFPE, "SIGFPE"}, {SIGABRT, "SIGABRT"}}};
constexpr std::size_t kMaxLineBytes = 256;
/// Enough for the handler, which calls `write` only.
constexpr std::size_t kSignalStackBytes = std::size_t{16} * 1024;

/// A complete line for each of the signals. Written at start-up, since a signal handler cannot format text.
struct SignalLine {
  std::array<char, kMaxLineBytes> text{};
  std::size_t length = 0;
};
std::array<SignalLine, kFatalSignals.size()> signalLines;
std::array<char, kSignalStackBytes> signalStack;
std::string reportingProgram;
int reportDescriptor = STDERR_FILENO;

/// Begins with a line break, since the line of another thread may be incomplete.
std::string lineFor(const std::string& cause) {
  nlohmann::ordered_json line;
  line["level"] = "error";
  line["program"] = reportingProgram;
  line["pid"] = getpid();
  line["message"] = "process ends abnormally";
  line["cause"] = cause;
  return "\n" + line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

extern "C" void onFatalSignal(int number) {
  for (std::size_t index = 0; index < kFatalSignals.size(); ++index) {
    if (kFatalSignals[index].number == number) {
      writeCompletely(reportDescriptor, signalLines[index].text.data(), signalLines[index].length);
    }
  }
  // The default action was restored on delivery; it takes effect when the handler returns.
  raise(number);
}

std::string describeCurrentException() {
  const std::exception_ptr current = std::current_exception();
  if (!current) {
    return "terminated without an exception";
  }
  try {
    std::rethrow_exception(current);
  } catch (const std::exception& error) {
    return std::string("unhandled exception: ") + error.what();
  } catch (...) {
    return "unhandled exception of an unknown type";
  }
}

[[noreturn]] void onTerminate() {
  const std::string line = lineFor(describeCurrentException());
  writeCompletely(reportDescriptor, line.data(), line.size());
  std::signal(SIGABRT, SIG_DFL);
  std::abort();
}

void installSignalHandlers() {
  const stack_t stack{signalStack.data(), 0, signalStack.size()};
  sigaltstack(&stack, nullptr);
  struct sigaction action {};
  action.sa_handler = onFatalSignal;
  sigemptyset(&action.sa_mask);
  // On a stack of its own, so that the overflow of the main thread's stack is reported too.
  action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND);
  for (std::size_t index = 0; index < kFatalSignals.size(); ++index) {
    const std::string line = lineFor(std::string("signal ") + kFatalSignals[index].name);
    SignalLine& kept = signalLines[index];
    kept.length = std::min(line.size(), kept.text.size());
    std::memcpy(kept.text.data(), line.data(), kept.length);
    sigaction(kFatalSignals[index].number, &action, nullptr);
  }
}

}  // namespace

bool writeCompletely(int descriptor, const char* bytes, std::size_t count) {
  while (count > 0) {
    const ssize_t written = write(descriptor, bytes, count);
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return false;
    }
    bytes += written;
    count -= static_cast<std::size_t>(written);
  }
  return true;
}

void reportAbnormalEnds(const std::string& program, int descriptor) {
  reportingProgram = program;
  reportDescriptor = descriptor;
  std::set_terminate(onTerminate);
  installSignalHandlers();
}

}  // namespace oakpier
