#include "programs/gateway/owner_service.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

/// Work without a result is acknowledged within this time, so that the requester sees that this daemon is
/// alive.
constexpr Duration kAcknowledgeAfter = std::chrono::milliseconds(30);

}  // namespace

OwnerService::OwnerService(boost::asio::io_context& io, const HeaderNames& names, LeafPool& pool,
                           LeafSender& sender, QueryContext context, FrameSender sendFrame)
    : io_(io),
      names_(names),
      pool_(pool),
      sender_(sender),
      context_(std::move(context)),
      sendFrame_(std::move(sendFrame)),
      server_(context_),
      timer_(io),
      acknowledgeTimer_(io) {}

void OwnerService::onWork(const Endpoint& requester, const OwnerWork& work) {
  partsServed_ += static_cast<std::uint64_t>(work.parts_size());
  scheduleAcknowledgement({requester, work.sender_run()});
  apply(server_.onWork(requester, work, steadyNow()));
}

void OwnerService::setOwnedShards(const std::unordered_set<std::string>& services) {
  context_.budgets.setOwned(services, steadyNow());
}

void OwnerService::onCancel(const Endpoint& requester, const OwnerCancel& cancel) {
  apply(server_.onCancel(requester, cancel));
}

void OwnerService::apply(const ShardServerActions& actions) {
  for (const ExchangeId exchange : actions.cancellations) {
    pool_.cancel(exchange);
  }
  const OwnerTask* previous = nullptr;
  std::shared_ptr<const LeafRequestTemplate> request;
  for (const OwnerSend& served : actions.sends) {
    if (served.task.get() != previous) {
      previous = served.task.get();
      request = std::make_shared<const LeafRequestTemplate>(served.task->request, names_);
    }
    send(served, request);
  }
  for (const UnansweredPart& part : actions.unanswered) {
    logUnanswered(part);
  }
  if (!actions.results.empty() && results_.empty()) {
    boost::asio::post(io_, [this] { flushResults(); });
  }
  for (const OutgoingOwnerResults& outgoing : actions.results) {
    const RequesterProcess requester{outgoing.to, outgoing.results.receiver_run()};
    results_[requester].MergeFrom(outgoing.results);
  }
  armTimer();
}

void OwnerService::logUnanswered(const UnansweredPart& part) {
  const std::string* id = findHeader(part.task->request.headers, names_.requestId);
  const LoggedRequest request{id == nullptr ? "" : *id, fingerprintOf(part.task->request)};
  log_.onUnanswered(request, part, steadyNow());
}

void OwnerService::send(const OwnerSend& served, std::shared_ptr<const LeafRequestTemplate> request) {
  LeafAttempt send;
  send.action = served.action;
  send.request = std::move(request);
  send.route = std::shared_ptr<const Route>(served.task, &served.task->route);
  send.rank = served.task->route.rank;
  LeafPool::Listener listener;
  const ExchangeId exchange = served.action.exchange;
  listener.onWriteStarted = [this, exchange] { server_.onWriteStarted(exchange); };
  listener.onOutcome = [this, exchange](const LeafOutcome& outcome) {
    apply(server_.onOutcome(exchange, outcome, steadyNow()));
  };
  sender_.send(send, context_, std::move(listener));
}

void OwnerService::flushResults() {
  std::map<RequesterProcess, OwnerResults> results;
  results.swap(results_);
  for (auto& [requester, found] : results) {
    PeerEnvelope envelope;
    *envelope.mutable_owner_results() = std::move(found);
    unacknowledged_.erase(requester);
    sendFrame_(requester.first, std::move(envelope));
  }
}

void OwnerService::scheduleAcknowledgement(const RequesterProcess& requester) {
  if (unacknowledged_.empty()) {
    acknowledgeTimer_.expires_after(kAcknowledgeAfter);
    acknowledgeTimer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        sendAcknowledgements();
      }
    });
  }
  unacknowledged_.insert(requester);
}

void OwnerService::sendAcknowledgements() {
  for (const auto& [requester, run] : unacknowledged_) {
    PeerEnvelope envelope;
    envelope.mutable_owner_results()->set_receiver_run(run);
    sendFrame_(requester, std::move(envelope));
  }
  unacknowledged_.clear();
}

void OwnerService::armTimer() {
  timer_.arm(server_.nextDecisionAt(), [this] { apply(server_.onTimer(steadyNow())); });
}

}  // namespace oakpier::serving
