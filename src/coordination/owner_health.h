#pragma once

/// Notices within a fraction of a second that an owner daemon no longer answers, long before membership does,
/// so that requests use the leaf's second owner meanwhile.

#include <mutex>
#include <unordered_map>

#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier {

/// Thread-safe; one per daemon, fed by all queries.
class OwnerHealth {
 public:
  void recordSent(const Endpoint& owner, Moment now);
  void recordReply(const Endpoint& owner);

  /// The owner has left several frames unanswered for a while. After `kRetryPeriod` one caller at a time is
  /// told false again, so that a recovered owner is noticed.
  bool suspected(const Endpoint& owner, Moment now);

 private:
  struct Record {
    std::uint32_t unanswered = 0;
    Moment unansweredSince{};
    Moment triedAt{};
  };
  static constexpr std::uint32_t kUnansweredLimit = 3;
  static constexpr Duration kSilenceLimit = std::chrono::milliseconds(150);
  static constexpr Duration kRetryPeriod = std::chrono::milliseconds(500);

  std::mutex mutex_;
  std::unordered_map<Endpoint, Record> records_;
};

}  // namespace oakpier
