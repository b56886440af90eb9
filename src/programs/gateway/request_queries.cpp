#include <utility>

#include "programs/gateway/active_query.h"
#include "protocol/serving/caller_messages.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

void RequestGateway::apply(const ActivePointer& active, QueryActions actions) {
  for (const ExchangeId exchange : actions.abandons) {
    pool_.cancel(exchange);
  }
  ownerClient_.cancel(actions.abandons);
  mergeClient_.cancel(actions.abandons);
  std::vector<SendAction> merged;
  for (const SendAction& action : actions.sends) {
    if (action.merger) {
      merged.push_back(action);
    } else {
      send(active, action);
    }
  }
  if (!merged.empty()) {
    sendMerged(active, merged);
  }
  if (!actions.relays.empty()) {
    relay(active, actions.relays);
  }
  ownerClient_.tellOfSilence();
  if (actions.answer) {
    answer(active, *actions.answer);
  }
  armTimer(active);
}

void RequestGateway::send(const ActivePointer& active, const SendAction& action) {
  LeafSend send;
  send.action = action;
  send.request = active->request;
  send.route = std::shared_ptr<const Route>(active, &active->query->route());
  send.rank = active->rank;
  LeafPool::Listener listener;
  const ExchangeId exchange = action.exchange;
  listener.onWritten = [active, exchange] { active->query->onWritten(exchange); };
  listener.onOutcome = [this, active, exchange](const LeafOutcome& outcome) {
    onOutcome(active, exchange, outcome);
  };
  sender_.send(send, queryContext_, std::move(listener));
}

void RequestGateway::relay(const ActivePointer& active, const std::vector<RelayAction>& relays) {
  if (!active->ownerListener) {
    const std::weak_ptr<ActiveQuery> weak = active;
    active->ownerListener = std::make_shared<const OwnerClient::Listener>(
        [this, weak](const std::vector<ExchangeOutcome>& outcomes) {
          const ActivePointer asking = weak.lock();
          if (asking && !asking->query->finished()) {
            apply(asking, asking->query->onOutcomes(outcomes, steadyNow()));
          }
        });
  }
  OwnerClient::Order order;
  order.request = active->original;
  order.vetted = active->query->isTrial();
  order.route = std::shared_ptr<const Route>(active, &active->query->route());
  order.rank = active->rank;
  order.leafDeadline = active->query->leafDeadline();
  order.lastDeadline = active->query->deadline();
  order.usefulUntil = active->query->answerBy();
  order.listener = active->ownerListener;
  ownerClient_.send(relays, order);
}

void RequestGateway::sendMerged(const ActivePointer& active, const std::vector<SendAction>& sends) {
  MergeClient::Order order;
  order.request = active->original;
  order.route = std::shared_ptr<const Route>(active, &active->query->route());
  order.rank = active->rank;
  order.leafDeadline = active->query->leafDeadline();
  order.decidesAt = active->query->nextDecisionAt();
  const std::weak_ptr<ActiveQuery> weak = active;
  order.listener = std::make_shared<const MergeClient::Listener>(
      [this, weak](const std::vector<ExchangeOutcome>& outcomes) {
        const ActivePointer asking = weak.lock();
        if (asking && !asking->query->finished()) {
          apply(asking, asking->query->onOutcomes(outcomes, steadyNow()));
        }
      });
  for (const SendAction& send : sends) {
    active->query->onWritten(send.exchange);
  }
  mergeClient_.send(sends, order);
}

void RequestGateway::onOutcome(const ActivePointer& active, ExchangeId exchange, const LeafOutcome& outcome) {
  if (!active->query->finished()) {
    apply(active, active->query->onOutcome(exchange, outcome, steadyNow()));
  }
}

void RequestGateway::answer(const ActivePointer& active, const FinalAnswer& answer) {
  if (std::holds_alternative<Refusal>(answer)) {
    ++counters_.refused;
    quota_.giveBack(active->original->tenant, active->token);
  } else if (std::holds_alternative<Failure>(answer)) {
    ++counters_.failed;
  } else {
    ++counters_.answered;
    const auto* merged = std::get_if<MergedAnswer>(&answer);
    if (merged != nullptr && merged->missingShards > 0) {
      ++counters_.partial;
    }
  }
  const Moment now = steadyNow();
  const std::string& requestId = active->request->requestId();
  counters_.answerTimes[active->query->route().name].record(now - active->query->receivedAt());
  active->writer.write(replyFor(answer, requestId, names_));
  log_.onAnswer(loggedAs(*active->request), *active->query, answer, now);
  countDecisions(active->query->trace());
}

void RequestGateway::countDecisions(const RequestTrace& trace) {
  for (const TraceEvent& event : trace.events()) {
    counters_.sends += event.decision == Decision::kSend ? 1 : 0;
    counters_.hedges += event.decision == Decision::kHedge ? 1 : 0;
    const bool retry = event.decision == Decision::kRetry || event.decision == Decision::kRenew;
    counters_.retries += retry ? 1 : 0;
    counters_.budgetEmpty += event.decision == Decision::kBudgetEmpty ? 1 : 0;
  }
}

void RequestGateway::armTimer(const ActivePointer& active) {
  active->timer.arm(active->query->nextDecisionAt(), [this, active] {
    if (!active->query->finished()) {
      apply(active, active->query->onTime(steadyNow()));
    }
  });
}

}  // namespace oakpier::serving
