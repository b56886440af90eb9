#pragma once

/// Adds up what requests lost, by route and cause, and writes it to the log once a second: one line a route
/// with requests and one for each of its causes. So the lines are few whatever the load, and none is left
/// out. What a process that is killed had not written yet is lost, a second at most.

#include <cstdint>
#include <map>
#include <string>

#include "coordination/serving/loss_causes.h"
#include "state/time.h"

namespace oakpier::serving {

/// Not thread-safe.
class LossLedger {
 public:
  LossLedger() = default;
  LossLedger(const LossLedger&) = delete;
  LossLedger& operator=(const LossLedger&) = delete;
  ~LossLedger() { write(); }

  /// A request of the route has ended; `loss` is empty for a whole answer in time.
  void add(const std::string& route, const Loss& loss, Moment now);
  /// A shard that was served for another daemon ended without an answer there in time.
  void addServed(const std::string& route, LossCause cause, Moment now);
  /// Writes what has been added.
  void write();

 private:
  struct RouteLoss {
    std::uint64_t requests = 0;
    Loss loss;
  };
  void writeWhenDue(Moment now);

  std::map<std::string, RouteLoss> routes_;
  /// Of shards served for others; each counts 1.
  std::map<std::string, Loss> served_;
  Moment startedAt_{};
};

}  // namespace oakpier::serving
