#pragma once

/// Detects unresponsive owner daemons from unanswered frames within a fraction of a second, sooner than
/// membership does, so that requests use the leaf's second owner meanwhile.

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

  /// Whether at least `kUnansweredLimit` frames to the owner are unanswered, the first for longer than
  /// `kUnresponsiveAfter`. One caller per `kProbePeriod` gets false, so that its request detects recovery.
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
