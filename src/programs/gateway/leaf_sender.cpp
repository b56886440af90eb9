#include "programs/gateway/leaf_sender.h"

#include <utility>

#include "transport/steady_clock.h"

namespace oakpier::serving {

std::size_t LeafSender::connectionLimit(const std::string& service) const {
  const auto found = shares_.find(service);
  return found == shares_.end() ? 1 : found->second.connections;
}

void LeafSender::send(const LeafAttempt& send, QueryContext& context, LeafPool::Listener listener) {
  const LeafEntry& leaf = send.action.leaf->entry();
  LeafPool::ExchangeRequest request;
  request.exchange = send.action.exchange;
  request.request = send.request;
  request.rank = send.rank;
  request.deadline = send.action.deadline;
  request.minTimeLeft = send.action.minTimeLeft;
  request.listener.onWriteStarted = std::move(listener.onWriteStarted);
  request.listener.onOutcome = [&context, action = send.action, route = send.route, started = steadyNow(),
                                notify = std::move(listener.onOutcome)](const LeafOutcome& outcome) {
    const Moment now = steadyNow();
    action.leaf->onFinished(action.exchange, outcome.kind, now);
    if (outcome.load) {
      action.leaf->onLoadReport(*outcome.load, now);
    }
    if (outcome.warmupLeft) {
      action.leaf->onWarmup(*outcome.warmupLeft, now);
    }
    if (outcome.kind == LeafOutcome::Kind::kAnswered) {
      context.latencyOf(*route).record(now - started, now);
    }
    notify(outcome);
  };
  pool_.send(leaf, connectionLimit(leaf.service), std::move(request));
}

}  // namespace oakpier::serving
