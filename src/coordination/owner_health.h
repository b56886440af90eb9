#pragma once

/// Detects unresponsive owner daemons from unanswered frames, sooner than membership does, so that requests
/// use the leaf's second owner meanwhile.

#include <mutex>
#include <unordered_map>

#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier {

/// Thread-safe; one per daemon, shared by all queries.
class OwnerHealth {
 public:
  void recordSent(const Endpoint& owner, Moment now);
  void recordReply(const Endpoint& owner);

  /// Whether several frames to the owner have been unanswered for too long. Returns false to one caller per
  /// `kProbePeriod`, whose request probes for recovery.
  bool unresponsive(const Endpoint& owner, Moment now);

 private:
  struct Record {
    std::uint32_t unanswered = 0;
    Moment unansweredSince{};
    Moment probedAt{};
  };
  static constexpr std::uint32_t kUnansweredLimit = 3;
  static constexpr Duration kUnresponsiveAfter = std::chrono::milliseconds(150);
  static constexpr Duration kProbePeriod = std::chrono::milliseconds(500);

  std::mutex mutex_;
  std::unordered_map<Endpoint, Record> records_;
};

}  // namespace oakpier
