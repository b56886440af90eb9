#include "programs/common/process_environment.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <initializer_list>

namespace oakpier {

void openStandardStreams() {
  for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (fcntl(stream, F_GETFD) != -1) {
      continue;
    }
    // The lowest free number is returned, which is that of the closed stream.
    if (open("/dev/null", O_RDWR) != stream) {
      return;
    }
  }
}

void ignoreSignalsWithoutOrder() {
  for (const int signal : {SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2, SIGALRM}) {
    std::signal(signal, SIG_IGN);
  }
}

std::size_t raiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return 0;
  }
  const rlimit raised{limit.rlim_max, limit.rlim_max};
  if (limit.rlim_cur < limit.rlim_max && setrlimit(RLIMIT_NOFILE, &raised) == 0) {
    return limit.rlim_max;
  }
  return limit.rlim_cur;
}

std::size_t prepareProcess() {
  openStandardStreams();
  ignoreSignalsWithoutOrder();
  return raiseDescriptorLimit();
}

}  // namespace oakpier
