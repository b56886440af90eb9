#pragma once

/// Server side of shard owners: sends the shards that peers delegate to leafs and returns the results. Runs
/// on the request thread.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>

#include "coordination/serving/shard_server.h"
#include "programs/gateway/decision_timer.h"
#include "programs/gateway/leaf_sender.h"
#include "programs/gateway/owner_client.h"
#include "programs/gateway/request_log.h"
#include "protocol/serving/header_names.h"

namespace oakpier::serving {

class OwnerService {
 public:
  /// `context` has the retry budgets of an owner.
  OwnerService(boost::asio::io_context& io, const HeaderNames& names, LeafPool& pool, LeafSender& sender,
               QueryContext context, FrameSender sendFrame);

  void onWork(const Endpoint& requester, const OwnerWork& work);
  /// `services`: the shards of which this daemon is the first owner.
  void setOwnedShards(const std::unordered_set<std::string>& services);
  void onCancel(const Endpoint& requester, const OwnerCancel& cancel);
  std::size_t inProgress() const { return server_.inProgress(); }
  std::uint64_t partsServed() const { return partsServed_; }
  void setWarmups(const WarmupAllowances& warmups) { context_.warmups = warmups; }
  std::uint64_t logLinesSuppressed() const { return log_.linesSuppressed(); }

 private:
  using RequesterProcess = std::pair<Endpoint, std::uint64_t>;

  void apply(const ShardServerActions& actions);
  void logUnanswered(const UnansweredPart& part);
  void send(const OwnerSend& served, std::shared_ptr<const LeafRequestTemplate> request);
  /// Sends the results of one event-loop turn in one frame per requester.
  void flushResults();
  /// Acknowledges the requester's work unless a result is sent first.
  void scheduleAcknowledgement(const RequesterProcess& requester);
  void sendAcknowledgements();
  void armTimer();

  boost::asio::io_context& io_;
  const HeaderNames& names_;
  LeafPool& pool_;
  LeafSender& sender_;
  QueryContext context_;
  FrameSender sendFrame_;
  ShardServer server_;
  DecisionTimer timer_;
  std::map<RequesterProcess, OwnerResults> results_;
  /// Requesters that were sent no frame since their work arrived.
  std::set<RequesterProcess> unacknowledged_;
  boost::asio::steady_timer acknowledgeTimer_;
  std::uint64_t partsServed_ = 0;
  RequestLog log_{RequestLogSettings{}};
};

}  // namespace oakpier::serving
