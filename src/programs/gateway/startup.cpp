#include "programs/gateway/startup.h"

#include <csignal>

#include "programs/common/blocked_signals.h"
#include "programs/common/logging.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

/// A file is written within milliseconds, unless its writer has failed.
constexpr Duration kSettingsPatience = std::chrono::seconds(10);
constexpr Duration kSettingsRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kListenRetryDelay = std::chrono::milliseconds(100);
/// Between two log lines on the same wait.
constexpr Duration kLogInterval = std::chrono::seconds(5);

}  // namespace

StartupWait::StartupWait() : signals_(context_, SIGTERM, SIGINT, SIGHUP), timer_(context_) {
  unblockSignals();
}

StartupWait::~StartupWait() {
  // Before the members: the default actions are in effect again once they are destroyed.
  blockSignals();
}

StartupWait::Result StartupWait::waitFor(Duration duration) {
  Result result = Result::kElapsed;
  signals_.async_wait([&](const boost::system::error_code& error, int signal) {
    if (!error) {
      result = signal == SIGHUP ? Result::kReload : Result::kStop;
      timer_.cancel();
    }
  });
  timer_.expires_after(duration);
  timer_.async_wait([&](const boost::system::error_code&) { signals_.cancel(); });
  context_.restart();
  context_.run();
  return result;
}

std::variant<GatewaySettings, SettingsError, StopRequested> awaitSettings(const SettingsReader& read) {
  StartupWait wait;
  const Moment end = steadyNow() + kSettingsPatience;
  bool logged = false;
  while (true) {
    const auto settings = read();
    if (const auto* usable = std::get_if<GatewaySettings>(&settings)) {
      return *usable;
    }
    const auto& error = std::get<SettingsError>(settings);
    if (!error.mayBeIncomplete || steadyNow() >= end) {
      return error;
    }
    if (!logged) {
      log(LogLevel::kWarning, "settings cannot be used yet; waiting for them", {{"problem", error.text}});
      logged = true;
    }
    if (wait.waitFor(kSettingsRetryDelay) == StartupWait::Result::kStop) {
      return StopRequested{};
    }
  }
}

ListenResult listenPatiently(const std::function<std::string()>& listen,
                             const std::function<bool()>& settingsChanged) {
  std::string problem = listen();
  if (problem.empty()) {
    return ListenResult::kListening;
  }
  StartupWait wait;
  Moment nextLogAt{};
  while (!problem.empty()) {
    if (steadyNow() >= nextLogAt) {
      log(LogLevel::kWarning, "not started yet; trying again", {{"problem", problem}});
      nextLogAt = steadyNow() + kLogInterval;
      if (settingsChanged()) {
        return ListenResult::kSettingsChanged;
      }
    }
    const StartupWait::Result result = wait.waitFor(kListenRetryDelay);
    if (result == StartupWait::Result::kStop) {
      return ListenResult::kStopRequested;
    }
    if (result == StartupWait::Result::kReload && settingsChanged()) {
      return ListenResult::kSettingsChanged;
    }
    problem = listen();
  }
  return ListenResult::kListening;
}

}  // namespace oakpier::serving
