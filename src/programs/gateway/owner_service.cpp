#include "programs/gateway/owner_service.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

/// Work that has no result by then is acknowledged.
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

void OwnerService::onWork(const Endpoint& asker, const OwnerWork& work) {
  partsServed_ += static_cast<std::uint64_t>(work.parts_size());
  acknowledgeLater({asker, work.sender_run()});
  apply(server_.onWork(asker, work, steadyNow()));
}

void OwnerService::setOwnedShards(const std::unordered_set<std::string>& services) {
  context_.budgets.setHeld(services, steadyNow());
}

void OwnerService::onCancel(const Endpoint& asker, const OwnerCancel& cancel) {
  apply(server_.onCancel(asker, cancel));
}

void OwnerService::apply(const ShardServerActions& actions) {
  for (const ExchangeId exchange : actions.abandons) {
    pool_.cancel(exchange);
  }
  const ServedWork* previous = nullptr;
  std::shared_ptr<const LeafRequestTemplate> request;
  for (const ServedSend& served : actions.sends) {
    if (served.work.get() != previous) {
      previous = served.work.get();
      request = std::make_shared<const LeafRequestTemplate>(served.work->request, names_);
    }
    send(served, request);
  }
  for (const UnansweredPart& part : actions.unanswered) {
    logUnanswered(part);
  }
  if (!actions.results.empty() && results_.empty()) {
    boost::asio::post(io_, [this] { flushResults(); });
  }
  for (const OutgoingResults& outgoing : actions.results) {
    const AskerProcess asker{outgoing.to, outgoing.results.receiver_run()};
    results_[asker].MergeFrom(outgoing.results);
  }
  armTimer();
}

void OwnerService::logUnanswered(const UnansweredPart& part) {
  const std::string* id = findHeader(part.work->request.headers, names_.requestId);
  const LoggedRequest request{id == nullptr ? "" : *id, fingerprintOf(part.work->request)};
  log_.onUnanswered(request, part, steadyNow());
}

void OwnerService::send(const ServedSend& served, std::shared_ptr<const LeafRequestTemplate> request) {
  LeafSend send;
  send.action = served.action;
  send.request = std::move(request);
  send.route = std::shared_ptr<const Route>(served.work, &served.work->route);
  send.rank = served.work->route.rank;
  LeafPool::Listener listener;
  const ExchangeId exchange = served.action.exchange;
  listener.onWritten = [this, exchange] { server_.onWritten(exchange); };
  listener.onOutcome = [this, exchange](const LeafOutcome& outcome) {
    apply(server_.onOutcome(exchange, outcome, steadyNow()));
  };
  sender_.send(send, context_, std::move(listener));
}

void OwnerService::flushResults() {
  std::map<AskerProcess, OwnerResults> results;
  results.swap(results_);
  for (auto& [asker, found] : results) {
    PeerEnvelope envelope;
    *envelope.mutable_owner_results() = std::move(found);
    unacknowledged_.erase(asker);
    sendFrame_(asker.first, std::move(envelope));
  }
}

void OwnerService::acknowledgeLater(const AskerProcess& asker) {
  if (unacknowledged_.empty()) {
    acknowledgeTimer_.expires_after(kAcknowledgeAfter);
    acknowledgeTimer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        acknowledge();
      }
    });
  }
  unacknowledged_.insert(asker);
}

void OwnerService::acknowledge() {
  for (const auto& [asker, run] : unacknowledged_) {
    PeerEnvelope envelope;
    envelope.mutable_owner_results()->set_receiver_run(run);
    sendFrame_(asker, std::move(envelope));
  }
  unacknowledged_.clear();
}

void OwnerService::armTimer() {
  timer_.arm(server_.nextDecisionAt(), [this] { apply(server_.onTime(steadyNow())); });
}

}  // namespace oakpier::serving
