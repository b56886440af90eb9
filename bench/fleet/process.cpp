#include "fleet/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <utility>

namespace oakpier {

namespace {

constexpr int kSignalExitBase = 128;

int exitCodeOf(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitBase + WTERMSIG(status);
}

}  // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& logFile) {
  std::vector<char*> pointers{const_cast<char*>(program.c_str())};
  for (const auto& argument : arguments) {
    pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kLogMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A child that inherits a stand-in's listening socket would keep its port open after the stand-in's end.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int problem = posix_spawn(&id_, program.c_str(), &actions, nullptr, pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (problem != 0) {
    throw std::runtime_error("cannot start " + program);
  }
}

Process::Process(Process&& other) noexcept
    : id_(std::exchange(other.id_, -1)),
      exitCode_(std::exchange(other.exitCode_, -1)),
      killed_(other.killed_),
      toldToStop_(other.toldToStop_) {}

Process& Process::operator=(Process&& other) noexcept {
  std::swap(id_, other.id_);
  std::swap(exitCode_, other.exitCode_);
  std::swap(killed_, other.killed_);
  std::swap(toldToStop_, other.toldToStop_);
  return *this;
}

Process::~Process() {
  if (running()) {
    kill(id_, SIGKILL);
    wait();
  }
}

bool Process::running() {
  if (id_ <= 0) {
    return false;
  }
  int status = 0;
  if (waitpid(id_, &status, WNOHANG) == id_) {
    exitCode_ = exitCodeOf(status);
    id_ = -1;
  }
  return id_ > 0;
}

void Process::signal(int number) {
  if (running()) {
    killed_ = killed_ || number == SIGKILL;
    toldToStop_ = toldToStop_ || number == SIGTERM || number == SIGINT;
    kill(id_, number);
  }
}

std::optional<std::string> Process::endedWithoutOrder(bool mayLackHandlers) {
  if (running()) {
    return std::nullopt;
  }
  const bool bySignalOfOrder =
      (killed_ && exitCode_ == kSignalExitBase + SIGKILL) ||
      (mayLackHandlers && toldToStop_ &&
       (exitCode_ == kSignalExitBase + SIGTERM || exitCode_ == kSignalExitBase + SIGINT));
  if (bySignalOfOrder || (exitCode_ == 0 && (killed_ || toldToStop_))) {
    return std::nullopt;
  }
  const bool bySignal = exitCode_ > kSignalExitBase;
  return (bySignal ? "ended by signal " : "ended with exit code ") +
         std::to_string(bySignal ? exitCode_ - kSignalExitBase : exitCode_);
}

int Process::wait() {
  if (id_ > 0) {
    int status = 0;
    waitpid(id_, &status, 0);
    exitCode_ = exitCodeOf(status);
    id_ = -1;
  }
  return exitCode_;
}

std::vector<unsigned short> freePorts(std::size_t count) {
  std::vector<int> sockets;
  std::vector<unsigned short> ports;
  for (std::size_t number = 0; number < count; ++number) {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    // All stay bound until the last one is drawn, so that none comes twice.
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
      throw std::runtime_error("no free port");
    }
    sockets.push_back(descriptor);
    ports.push_back(ntohs(address.sin_port));
  }
  for (const int descriptor : sockets) {
    close(descriptor);
  }
  return ports;
}

}  // namespace oakpier
