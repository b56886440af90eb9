#pragma once

/// Hands requests to the leaf pool and records what comes of them in what is known of leafs and latencies.

#include <functional>
#include <memory>
#include <string>

#include "coordination/serving/leaf_subset.h"
#include "coordination/serving/query_policy.h"
#include "transport/serving/leaf_pool.h"

namespace oakpier::serving {

/// One request to one leaf.
struct LeafSend {
  SendAction action;
  std::shared_ptr<const LeafRequestTemplate> request;
  /// Kept until the outcome is known.
  std::shared_ptr<const Route> route;
  /// Of the caller: its tenant's, or else the route's.
  unsigned rank = 0;
};

class LeafSender {
 public:
  explicit LeafSender(LeafPool& pool) : pool_(pool) {}

  /// How many connections each service's leafs may get from this daemon; one where nothing is said.
  void setShares(const ConnectionShares& shares) { shares_ = shares; }
  std::size_t connectionsTo(const std::string& service) const;

  /// `context` outlives the exchange. `listener.onOutcome` is called after the outcome was recorded.
  void send(const LeafSend& send, QueryContext& context, LeafPool::Listener listener);

 private:
  LeafPool& pool_;
  ConnectionShares shares_;
};

}  // namespace oakpier::serving
