#pragma once

/// Actions that the owner of a query must carry out; the query itself does no I/O.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/serving/leaf_status.h"
#include "state/endpoint.h"
#include "state/serving/http_message.h"
#include "state/time.h"

namespace oakpier::serving {

/// Identifies one send to one leaf; unique within the daemon process.
using ExchangeId = std::uint64_t;

struct ExchangeOutcome {
  ExchangeId exchange = 0;
  LeafOutcome outcome;
};

/// Send the request to a leaf.
struct SendAction {
  ExchangeId exchange = 0;
  std::shared_ptr<LeafStatus> leaf;
  /// The merge server that forwards the request to the leaf; not set if the request is sent directly.
  std::optional<Endpoint> mergeServer;
  /// The leaf's deadline for the request.
  Moment deadline{};
  /// The request is dropped unsent if less than this is left until `deadline`.
  Duration minTimeLeft{};
};

/// Delegate the request for one shard to the daemon that owns the shard.
struct DelegateAction {
  ExchangeId exchange = 0;
  Endpoint owner;
  std::string service;
  /// Maximum number of leafs that the owner may send to.
  unsigned attempts = 1;
};

/// The leaf's answer, forwarded unchanged.
struct ForwardedAnswer {
  std::shared_ptr<const HttpReply> reply;
};

/// The top records of all shards that answered.
struct MergedAnswer {
  std::vector<std::string> signatures;
  std::size_t missingShards = 0;
  std::string records;
};

/// The request was not and will not be executed.
struct Refusal {
  Duration retryAfter{};
};

/// No answer; the request may have been executed.
struct Failure {
  bool timedOut = false;
};

using FinalAnswer = std::variant<ForwardedAnswer, MergedAnswer, Refusal, Failure>;

struct QueryActions {
  std::vector<SendAction> sends;
  std::vector<DelegateAction> delegations;
  /// Exchanges to cancel: the query no longer needs their outcome.
  std::vector<ExchangeId> cancellations;
  /// Set exactly once, in the last actions of the query.
  std::optional<FinalAnswer> answer;
};

}  // namespace oakpier::serving
