#pragma once

/// What a query asks of its surroundings.

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

/// Identifies one send to one leaf, unique within the daemon process.
using ExchangeId = std::uint64_t;

/// How one exchange of a query ended.
struct ExchangeOutcome {
  ExchangeId exchange = 0;
  LeafOutcome outcome;
};

/// Send the request to this leaf.
struct SendAction {
  ExchangeId exchange = 0;
  std::shared_ptr<LeafStatus> leaf;
  /// The daemon by way of which the request goes; none where it goes directly.
  std::optional<Endpoint> mergeServer;
  /// The leaf may work on the request until then.
  Moment deadline{};
  /// With less time than this left the request is not sent any more.
  Duration leastTime{};
};

/// Leave one shard to its owner.
struct RelayAction {
  ExchangeId exchange = 0;
  Endpoint owner;
  std::string service;
  /// The most leafs that the owner may send to.
  unsigned attempts = 1;
};

/// The leaf's answer, passed on unchanged.
struct ForwardedAnswer {
  std::shared_ptr<const HttpReply> reply;
};

/// The greatest records of the shards that answered.
struct MergedAnswer {
  std::vector<std::string> signatures;
  std::size_t missingShards = 0;
  std::string records;
};

/// The request did not run and never will.
struct Refusal {
  Duration retryAfter{};
};

/// The request may have run; there is no answer.
struct Failure {
  bool timedOut = false;
};

using FinalAnswer = std::variant<ForwardedAnswer, MergedAnswer, Refusal, Failure>;

struct QueryActions {
  std::vector<SendAction> sends;
  std::vector<RelayAction> relays;
  /// Exchanges whose outcome no longer matters to the query.
  std::vector<ExchangeId> abandons;
  /// Set once, with the last actions of the query.
  std::optional<FinalAnswer> answer;
};

}  // namespace oakpier::serving
