#pragma once

/// Sends requests through the leaf pool and records their outcomes in the leaf status and latency statistics.

#include <functional>
#include <memory>
#include <string>

#include "coordination/serving/leaf_subset.h"
#include "coordination/serving/query_policy.h"
#include "transport/serving/leaf_pool.h"

namespace oakpier::serving {

/// One attempt of a request at one leaf.
struct LeafAttempt {
  SendAction action;
  std::shared_ptr<const LeafRequestTemplate> request;
  /// Held until the outcome is known.
  std::shared_ptr<const Route> route;
  /// Request priority: the tenant's rank, or the route's if the tenant has none; 0 is the most urgent.
  unsigned rank = 0;
};

class LeafSender {
 public:
  explicit LeafSender(LeafPool& pool) : pool_(pool) {}

  /// Sets how many connections this daemon may open to each leaf of a service.
  void setConnectionShares(const ConnectionShares& shares) { shares_ = shares; }
  /// 1 for a service without a share.
  std::size_t connectionLimit(const std::string& service) const;

  /// `context` must outlive the exchange. `listener.onOutcome` is called after the outcome is recorded.
  void send(const LeafAttempt& send, QueryContext& context, LeafPool::Listener listener);

 private:
  LeafPool& pool_;
  ConnectionShares shares_;
};

}  // namespace oakpier::serving
