/// Signals that reach the gateway's process while it starts.

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <string>

namespace oakpier::serving {

namespace {

/// How the gateway ends when its settings cannot be used.
constexpr int kSettingsRefused = 2;

/// A named pipe in the place of the settings file: whoever opens it for writing knows that the process is
/// reading it, which is before its handlers of signals are there.
class SettingsPipe {
 public:
  SettingsPipe() {
    REQUIRE(mkdtemp(folder_.data()) != nullptr);
    path_ = std::string(folder_.data()) + "/settings";
    REQUIRE(mkfifo(path_.c_str(), S_IRUSR | S_IWUSR) == 0);
  }
  SettingsPipe(const SettingsPipe&) = delete;
  SettingsPipe& operator=(const SettingsPipe&) = delete;
  ~SettingsPipe() {
    unlink(path_.c_str());
    rmdir(folder_.data());
  }

  const std::string& path() const { return path_; }
  /// Waits for a reader.
  int open() const { return ::open(path_.c_str(), O_WRONLY | O_CLOEXEC); }

 private:
  std::array<char, 32> folder_{"/tmp/oakpier-settings-XXXXXX"};
  std::string path_;
};

pid_t startGateway(const std::string& settings) {
  const pid_t process = fork();
  if (process == 0) {
    execl(OAKPIER_GATEWAY_PROGRAM, OAKPIER_GATEWAY_PROGRAM, "--settings", settings.c_str(), nullptr);
    _exit(EXIT_FAILURE);
  }
  return process;
}

}  // namespace

// What callers would see: a gateway that ends by itself just after its start. What happens: a notice that the
// settings have changed comes while the process reads them; its handler is not there yet, and the kernel's
// answer to such a signal is the end of the process. Evidence: a day of random faults on which a gateway was
// told to reload just after its start and ended without a line in its log; here the process ends by the
// signal where signals are not held.
TEST_CASE("a signal that comes while the gateway reads its settings does not end it", "[serving]") {
  for (const int signal : {SIGHUP, SIGTERM, SIGINT}) {
    const SettingsPipe settings;
    const pid_t process = startGateway(settings.path());
    REQUIRE(process > 0);
    const int writer = settings.open();
    REQUIRE(writer >= 0);
    REQUIRE(kill(process, signal) == 0);
    const std::string unusable = "{";
    REQUIRE(write(writer, unusable.data(), unusable.size()) == static_cast<ssize_t>(unusable.size()));
    close(writer);
    int status = 0;
    REQUIRE(waitpid(process, &status, 0) == process);
    CAPTURE(signal, status);
    REQUIRE(WIFEXITED(status));
    REQUIRE(WEXITSTATUS(status) == kSettingsRefused);
  }
}

}  // namespace oakpier::serving
