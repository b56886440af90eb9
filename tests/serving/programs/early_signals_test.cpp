/// Signals that arrive while the gateway process starts.

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

/// Exit code of the gateway for invalid settings.
constexpr int kSettingsRefused = 2;

/// A named pipe used as the settings file. Opening it for writing blocks until the process reads its
/// settings, which it does before it installs its signal handlers.
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
  /// Blocks until there is a reader.
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

// Guards against a gateway that is terminated by the default action of SIGHUP, without a log line, if it is
// notified of changed settings before its signal handlers are installed.
TEST_CASE("a signal that arrives while the gateway reads its settings does not terminate it", "[serving]") {
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
