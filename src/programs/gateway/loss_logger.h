#pragma once

/// Sums the losses of requests by route and cause and logs them at most once a second, when the next request
/// is added: one line per route with requests and one per cause of its losses. The number of lines does not
/// depend on the load, so none is suppressed. Sums that are not written yet when the process is killed are
/// lost.

#include <cstdint>
#include <map>
#include <string>

#include "coordination/serving/loss_causes.h"
#include "state/time.h"

namespace oakpier::serving {

/// Not thread-safe.
class LossLogger {
 public:
  LossLogger() = default;
  LossLogger(const LossLogger&) = delete;
  LossLogger& operator=(const LossLogger&) = delete;
  ~LossLogger() { flush(); }

  /// Adds a finished request; `loss` is empty for a complete answer in time.
  void add(const std::string& route, const Loss& loss, Moment now);
  /// Adds a shard that was served for a peer and ended without an answer in time.
  void addServed(const std::string& route, LossCause cause, Moment now);
  /// Logs the sums and resets them.
  void flush();

 private:
  struct RouteLoss {
    std::uint64_t requests = 0;
    Loss loss;
  };
  void flushIfDue(Moment now);

  std::map<std::string, RouteLoss> routes_;
  /// Losses of shards served for peers; each shard counts as 1.
  std::map<std::string, Loss> served_;
  /// Start of the current period.
  Moment periodStartedAt_{};
};

}  // namespace oakpier::serving
