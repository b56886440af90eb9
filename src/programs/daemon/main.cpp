/// oakpierd: reads its settings, runs the daemon, and shuts it down gracefully on SIGTERM or SIGINT.

#include <pthread.h>
#include <unistd.h>

#include <csignal>
#include <iostream>

#include "programs/common/abnormal_end.h"
#include "programs/common/exit_codes.h"
#include "programs/common/process_environment.h"
#include "programs/daemon/daemon.h"

namespace oakpier {

namespace {

constexpr Duration kIdleCheckPeriod = std::chrono::milliseconds(20);
/// Peers may not know yet that this daemon leaves, so it serves until no work arrives for this long.
constexpr Duration kIdleTime = std::chrono::milliseconds(1000);

constexpr Duration kStartRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kStartPatience = std::chrono::seconds(10);

enum class StartResult { kStarted, kStopRequested, kAddressTaken };

/// How long calls in progress may continue once new connections are refused.
constexpr Duration kDrainTimeout = std::chrono::seconds(3);

sigset_t stopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// Whether another stop signal arrives within `time`.
bool signalledWithin(const sigset_t& signals, Duration time) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
  const auto rest = std::chrono::duration_cast<std::chrono::nanoseconds>(time - seconds);
  const timespec wait{seconds.count(), rest.count()};
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

void finishWork(const Daemon& daemon, const sigset_t& signals, Duration limit) {
  const Moment stopDeadline = steadyNow() + limit;
  Moment busyAt = steadyNow();
  std::uint64_t callsBefore = daemon.callsBegun();
  while (steadyNow() < stopDeadline && steadyNow() - busyAt < kIdleTime) {
    if (signalledWithin(signals, kIdleCheckPeriod)) {
      log(LogLevel::kWarning, "second signal: stopping immediately");
      return;
    }
    const std::uint64_t calls = daemon.callsBegun();
    if (!daemon.idle() || calls != callsBefore) {
      busyAt = steadyNow();
    }
    callsBefore = calls;
  }
}

/// Tries until all addresses are free: an earlier process may still be ending, or an outgoing connection may
/// hold one.
StartResult startPatiently(Daemon& daemon, const sigset_t& signals) {
  const Moment end = steadyNow() + kStartPatience;
  std::string problem = daemon.start();
  if (!problem.empty()) {
    log(LogLevel::kWarning, "not started yet; trying again", {{"problem", problem}});
  }
  while (!problem.empty()) {
    if (steadyNow() >= end) {
      log(LogLevel::kError, problem);
      return StartResult::kAddressTaken;
    }
    if (signalledWithin(signals, kStartRetryDelay)) {
      log(LogLevel::kInfo, "stopped before the start");
      return StartResult::kStopRequested;
    }
    problem = daemon.start();
  }
  return StartResult::kStarted;
}

int runDaemon(const DaemonSettings& settings) {
  const sigset_t signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Daemon daemon(settings);
  const StartResult result = startPatiently(daemon, signals);
  if (result != StartResult::kStarted) {
    daemon.stop();
    return result == StartResult::kStopRequested ? kExitOk : kExitUnreachable;
  }
  log(LogLevel::kInfo, "started",
      {{"zone", settings.zone},
       {"callers", settings.callerAddress.text()},
       {"operators", settings.operatorAddress.text()},
       {"peers", settings.peerAddress.text()}});
  int received = 0;
  sigwait(&signals, &received);
  log(LogLevel::kInfo, "stopping", {{"signal", received}});
  daemon.beginStop();
  finishWork(daemon, signals, settings.stopTimeout);
  daemon.drainCallers(kDrainTimeout);
  daemon.stop();
  log(LogLevel::kInfo, "stopped");
  return kExitOk;
}

}  // namespace

}  // namespace oakpier

int main(int argumentCount, char** arguments) {
  oakpier::prepareProcess();
  const auto read = oakpier::readDaemonSettings(argumentCount, arguments);
  if (const auto* exit = std::get_if<oakpier::SettingsExit>(&read)) {
    (exit->code == oakpier::kExitOk ? std::cout : std::cerr) << exit->text;
    return exit->code;
  }
  const auto& settings = std::get<oakpier::DaemonSettings>(read);
  if (settings.checkConfigOnly) {
    std::cout << "settings are valid\n";
    return oakpier::kExitOk;
  }
  oakpier::reportAbnormalEnds("oakpierd", STDERR_FILENO);
  oakpier::startLogging(settings.logLevel, "oakpierd");
  return oakpier::runDaemon(settings);
}
