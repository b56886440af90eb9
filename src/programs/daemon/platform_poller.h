#pragma once

/// Polls the platform's configuration service and its list of machines. Both may be slow, stale or down; the
/// last successful answers stay in effect until the next ones.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "coordination/control_plane.h"
#include "programs/daemon/control_loop.h"

namespace oakpier {

class PlatformPoller {
 public:
  /// Reads the configuration, which is large, only while `needsConfiguration` returns true; always reads the
  /// list.
  PlatformPoller(const Endpoint& platform, Duration period, ControlLoop& control,
                 std::function<bool()> needsConfiguration);
  ~PlatformPoller();
  PlatformPoller(const PlatformPoller&) = delete;
  PlatformPoller& operator=(const PlatformPoller&) = delete;

  void start();
  void stop();
  std::uint64_t failures() const { return failures_; }

 private:
  void run();
  void readOnce();

  Endpoint platform_;
  Duration period_;
  ControlLoop& control_;
  std::function<bool()> needsConfiguration_;
  PlatformReport report_;
  PlatformLeaving leaving_;
  std::atomic<std::uint64_t> failures_{0};
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace oakpier
