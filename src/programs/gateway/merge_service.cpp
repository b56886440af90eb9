#include "programs/gateway/merge_service.h"

#include <utility>

#include "transport/steady_clock.h"

namespace oakpier::serving {

MergeService::MergeService(boost::asio::io_context& io, const HeaderNames& names, LeafPool& pool,
                           LeafSender& sender, QueryContext& context, FrameSender sendFrame)
    : names_(names),
      pool_(pool),
      sender_(sender),
      context_(context),
      sendFrame_(std::move(sendFrame)),
      server_(context),
      timer_(io) {}

void MergeService::onWork(const Endpoint& requester, const MergeWork& work) {
  partsMerged_ += static_cast<std::uint64_t>(work.parts_size());
  apply(server_.onWork(requester, work, steadyNow()));
}

void MergeService::onCancel(const Endpoint& requester, const MergeCancel& cancel) {
  apply(server_.onCancel(requester, cancel));
}

void MergeService::apply(const MergeServerActions& actions) {
  for (const ExchangeId exchange : actions.cancellations) {
    pool_.cancel(exchange);
  }
  if (!actions.sends.empty()) {
    // All sends of one call belong to the same request.
    const auto request =
        std::make_shared<const LeafRequestTemplate>(actions.sends.front().task->request, names_);
    for (const MergeSend& merge : actions.sends) {
      send(merge, request);
    }
  }
  for (const OutgoingMergeResults& outgoing : actions.results) {
    PeerEnvelope envelope;
    *envelope.mutable_merge_results() = outgoing.results;
    sendFrame_(outgoing.to, std::move(envelope));
  }
  armTimer();
}

void MergeService::send(const MergeSend& merge, std::shared_ptr<const LeafRequestTemplate> request) {
  LeafAttempt send;
  send.action = merge.action;
  send.request = std::move(request);
  send.route = std::shared_ptr<const Route>(merge.task, &merge.task->route);
  send.rank = merge.task->route.rank;
  LeafPool::Listener listener;
  const ExchangeId exchange = merge.action.exchange;
  listener.onOutcome = [this, exchange](const LeafOutcome& outcome) {
    apply(server_.onOutcome(exchange, outcome, steadyNow()));
  };
  sender_.send(send, context_, std::move(listener));
}

void MergeService::armTimer() {
  timer_.arm(server_.nextDecisionAt(), [this] { apply(server_.onTimer(steadyNow())); });
}

}  // namespace oakpier::serving
