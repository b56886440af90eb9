#pragma once

/// Structured log lines of requests: every request that did not end as its caller wished, with the decisions
/// that led there; of the others a sample. Bounded by a number of lines a second; what is left out is
/// counted.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "coordination/serving/query.h"
#include "coordination/serving/request_record.h"
#include "coordination/serving/shard_server.h"
#include "programs/gateway/loss_ledger.h"

namespace oakpier::serving {

struct RequestLogSettings {
  /// One in this many ordinary requests is logged.
  std::uint64_t sampleOneIn = 50;
  /// Lines a second, on average; as many may be written at once.
  double linesPerSecond = 200;
};

/// How lines name a request: the id tells one attempt of a caller from the next, the fingerprint shows that
/// both ask for the same.
struct LoggedRequest {
  std::string id;
  RequestFingerprint fingerprint;
  /// The tenant that it is served as, or whose key was refused; empty: none.
  std::string tenant = {};
};

/// Not thread-safe.
class RequestLog {
 public:
  explicit RequestLog(const RequestLogSettings& settings)
      : settings_(settings), room_(settings.linesPerSecond) {}

  /// A request that ended without a query and without a route.
  void onUnrouted(const LoggedRequest& request, unsigned status, Moment now);
  /// A request that was refused before there was a query. `route`: empty when no configuration is known.
  void onRefused(const LoggedRequest& request, const std::string& route, LossCause cause, unsigned status,
                 Moment now);
  void onAnswer(const LoggedRequest& request, const Query& query, const FinalAnswer& answer, Moment now);
  void onCallerDisconnected(const LoggedRequest& request, const Query& query, Moment now);
  /// A shard that this daemon served for another one and that ended without an answer.
  void onUnanswered(const LoggedRequest& request, const UnansweredPart& part, Moment now);
  /// A leaf's process has ended under these requests.
  void onLeafEnd(const LeafEntry& leaf, const std::vector<std::shared_ptr<RequestRecord>>& under, Moment now);
  std::uint64_t linesLeftOut() const { return leftOut_; }

 private:
  void writeRefusal(const LoggedRequest& request, const std::string& outcome, unsigned status, Moment now);
  bool takeRoom(Moment now);
  void write(const LoggedRequest& request, const Query& query, const std::string& outcome, bool ordinary,
             Moment now);
  void writeDecisions(const LoggedRequest& request, const Query& query, Moment now);

  RequestLogSettings settings_;
  LossLedger losses_;
  double room_;
  Moment filledAt_{};
  std::uint64_t ordinary_ = 0;
  std::uint64_t leftOut_ = 0;
};

}  // namespace oakpier::serving
