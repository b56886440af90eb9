#pragma once

/// One child process of an experiment or test: started, signalled by its own id, and always reaped.

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace oakpier {

class Process {
 public:
  /// Starts `program` with its standard error (and output) appended to `logFile`.
  Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;
  /// Kills the process if it still runs.
  ~Process();

  bool running();
  void signal(int number);
  /// Waits for the end; the exit code, or 128 plus the signal that ended it.
  int wait();
  pid_t id() const { return id_; }
  /// If the process has ended otherwise than by order, tells how. SIGKILL, SIGTERM and SIGINT are orders;
  /// after the latter two it must end with success, unless `mayLackHandlers`: it may have had no handlers
  /// yet.
  std::optional<std::string> endedWithoutOrder(bool mayLackHandlers);

 private:
  pid_t id_ = -1;
  int exitCode_ = -1;
  bool killed_ = false;
  bool toldToStop_ = false;
};

/// Ports on the loopback address that nothing listens on at this moment, all different.
std::vector<unsigned short> freePorts(std::size_t count);

}  // namespace oakpier
