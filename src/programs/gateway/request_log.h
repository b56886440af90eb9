#pragma once

/// Structured log lines of requests: every request that did not end as its caller wished, with the decisions
/// that led there; of the others a sample. Bounded by a number of lines a second; what is left out is
/// counted.

#include <cstdint>
#include <string>

#include "coordination/serving/query.h"
#include "coordination/serving/shard_server.h"
#include "programs/gateway/loss_ledger.h"

namespace oakpier::serving {

struct RequestLogSettings {
  /// One in this many ordinary requests is logged.
  std::uint64_t sampleOneIn = 50;
  /// Lines a second, on average; as many may be written at once.
  double linesPerSecond = 200;
};

/// Not thread-safe.
class RequestLog {
 public:
  explicit RequestLog(const RequestLogSettings& settings)
      : settings_(settings), room_(settings.linesPerSecond) {}

  /// A request that ended without a query and without a route.
  void onUnrouted(const std::string& requestId, unsigned status, Moment now);
  /// A request that was refused before there was a query. `route`: empty when no configuration is known.
  void onRefused(const std::string& requestId, const std::string& route, LossCause cause, unsigned status,
                 Moment now);
  void onAnswer(const std::string& requestId, const Query& query, const FinalAnswer& answer, Moment now);
  void onCallerGone(const std::string& requestId, const Query& query, Moment now);
  /// A shard that this daemon served for another one and that ended without an answer.
  void onUnanswered(const std::string& requestId, const UnansweredPart& part, Moment now);
  std::uint64_t linesLeftOut() const { return leftOut_; }

 private:
  void writeRefusal(const std::string& requestId, const std::string& outcome, unsigned status, Moment now);
  bool takeRoom(Moment now);
  void write(const std::string& requestId, const Query& query, const std::string& outcome, bool ordinary,
             Moment now);
  void writeDecisions(const std::string& requestId, const Query& query, Moment now);

  RequestLogSettings settings_;
  LossLedger losses_;
  double room_;
  Moment filledAt_{};
  std::uint64_t ordinary_ = 0;
  std::uint64_t leftOut_ = 0;
};

}  // namespace oakpier::serving
