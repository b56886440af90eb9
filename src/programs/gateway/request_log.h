#pragma once

/// Structured request log: every request that failed, was refused, was answered partially or late, or whose
/// caller disconnected, with the decisions of its query, and a sample of the others. The rate of lines is
/// limited; suppressed lines are counted.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "coordination/serving/query.h"
#include "coordination/serving/request_record.h"
#include "coordination/serving/shard_server.h"
#include "programs/gateway/loss_logger.h"

namespace oakpier::serving {

struct RequestLogSettings {
  /// One in this many ordinary requests (answered completely and in time) is logged.
  std::uint64_t sampleOneIn = 50;
  /// Average rate limit and burst size.
  double linesPerSecond = 200;
};

/// Identifies a request in log lines. The id differs between a caller's attempts; the fingerprint is equal
/// for equal requests.
struct LoggedRequest {
  std::string id;
  RequestFingerprint fingerprint;
  /// The tenant that holds the request's key, also if the request was refused; empty if none.
  std::string tenant = {};
};

/// Not thread-safe.
class RequestLog {
 public:
  explicit RequestLog(const RequestLogSettings& settings)
      : settings_(settings), logTokens_(settings.linesPerSecond) {}

  /// A request that matched no route or has no `Host` header.
  void onUnrouted(const LoggedRequest& request, unsigned status, Moment now);
  /// A request that was refused before its query started. `route` is empty if no configuration is known.
  void onRefused(const LoggedRequest& request, const std::string& route, LossCause cause, unsigned status,
                 Moment now);
  void onAnswer(const LoggedRequest& request, const Query& query, const FinalAnswer& answer, Moment now);
  void onCallerDisconnected(const LoggedRequest& request, const Query& query, Moment now);
  /// A shard that was served for a peer and ended without an answer.
  void onUnanswered(const LoggedRequest& request, const UnansweredPart& part, Moment now);
  /// A leaf crashed. `inProgress`: the requests that it was working on.
  void onLeafCrash(const LeafEntry& leaf, const std::vector<std::shared_ptr<RequestRecord>>& inProgress,
                   Moment now);
  std::uint64_t linesSuppressed() const { return suppressed_; }

 private:
  void logRefusal(const LoggedRequest& request, const std::string& outcome, unsigned status, Moment now);
  /// Takes a line from the rate limit; counts a suppressed line and returns false if there is none.
  bool takeLogToken(Moment now);
  void write(const LoggedRequest& request, const Query& query, const std::string& outcome, bool ordinary,
             Moment now);
  void writeDecisions(const LoggedRequest& request, const Query& query, Moment now);

  RequestLogSettings settings_;
  LossLogger losses_;
  double logTokens_;
  Moment refilledAt_{};
  std::uint64_t ordinary_ = 0;
  std::uint64_t suppressed_ = 0;
};

}  // namespace oakpier::serving
