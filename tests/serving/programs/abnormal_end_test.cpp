#include "programs/common/abnormal_end.h"

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>

#include "programs/common/exit_codes.h"
#include "programs/gateway/event_loop.h"

namespace oakpier {

namespace {

struct EndedChild {
  int status = 0;
  std::string output;
};

/// Runs `work` in a child process that reports abnormal ends, and returns how it ended.
EndedChild runInChild(const std::function<void()>& work) {
  std::array<int, 2> pipe{};
  REQUIRE(pipe2(pipe.data(), 0) == 0);
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    dup2(pipe[1], STDOUT_FILENO);
    for (const int number : {SIGABRT, SIGSEGV, SIGBUS, SIGFPE}) {
      std::signal(number, SIG_DFL);
    }
    reportAbnormalEnds("program", STDOUT_FILENO);
    work();
    _exit(kExitOk);
  }
  close(pipe[1]);
  EndedChild ended;
  std::array<char, 1024> chunk{};
  for (ssize_t count = read(pipe[0], chunk.data(), chunk.size()); count > 0;
       count = read(pipe[0], chunk.data(), chunk.size())) {
    ended.output.append(chunk.data(), static_cast<std::size_t>(count));
  }
  close(pipe[0]);
  REQUIRE(waitpid(child, &ended.status, 0) == child);
  return ended;
}

void requireReport(const EndedChild& ended, const std::string& cause) {
  CAPTURE(ended.output, ended.status);
  const auto line = nlohmann::json::parse(ended.output);
  REQUIRE(line.at("message") == "process ends abnormally");
  REQUIRE(line.at("program") == "program");
  REQUIRE(line.at("cause") == cause);
}

}  // namespace

TEST_CASE("an exception that nobody handles is reported before the process ends", "[serving]") {
  const EndedChild ended =
      runInChild([] { std::thread([] { throw std::runtime_error("broken \"state\""); }).join(); });
  requireReport(ended, "unhandled exception: broken \"state\"");
  REQUIRE(WIFSIGNALED(ended.status));
  REQUIRE(WTERMSIG(ended.status) == SIGABRT);
}

TEST_CASE("a fatal signal is reported before the process ends by it", "[serving]") {
  for (const auto& [number, name] : {std::pair{SIGSEGV, "SIGSEGV"}, std::pair{SIGBUS, "SIGBUS"},
                                     std::pair{SIGFPE, "SIGFPE"}, std::pair{SIGABRT, "SIGABRT"}}) {
    const EndedChild ended = runInChild([signal = number] { raise(signal); });
    requireReport(ended, std::string("signal ") + name);
    REQUIRE(WIFSIGNALED(ended.status));
    REQUIRE(WTERMSIG(ended.status) == number);
  }
}

TEST_CASE("a control loop whose handler throws ends the process with its own exit code", "[serving]") {
  const EndedChild ended = runInChild([] {
    boost::asio::io_context context;
    boost::asio::post(context, [] { throw std::runtime_error("broken"); });
    serving::runOrEndProcess(context, "control");
  });
  CAPTURE(ended.output, ended.status);
  REQUIRE(WIFEXITED(ended.status));
  REQUIRE(WEXITSTATUS(ended.status) == kExitInternalError);
}

}  // namespace oakpier
