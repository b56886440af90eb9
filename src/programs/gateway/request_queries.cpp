#include <utility>

#include "programs/gateway/active_query.h"
#include "protocol/serving/caller_messages.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

void RequestGateway::apply(const ActivePointer& active, QueryActions actions) {
  for (const ExchangeId exchange : actions.cancellations) {
    pool_.cancel(exchange);
  }
  ownerClient_.cancel(actions.cancellations);
  mergeClient_.cancel(actions.cancellations);
  std::vector<SendAction> toMergeServers;
  for (const SendAction& action : actions.sends) {
    if (action.mergeServer) {
      toMergeServers.push_back(action);
    } else {
      send(active, action);
    }
  }
  if (!toMergeServers.empty()) {
    sendToMergeServers(active, toMergeServers);
  }
  if (!actions.delegations.empty()) {
    delegate(active, actions.delegations);
  }
  ownerClient_.reportUnresponsivePeers();
  if (actions.answer) {
    answer(active, *actions.answer);
  }
  armTimer(active);
}

void RequestGateway::send(const ActivePointer& active, const SendAction& action) {
  LeafAttempt send;
  send.action = action;
  send.request = active->request;
  send.route = std::shared_ptr<const Route>(active, &active->query->route());
  send.rank = active->rank;
  LeafPool::Listener listener;
  const ExchangeId exchange = action.exchange;
  listener.onWriteStarted = [active, exchange] { active->query->onWriteStarted(exchange); };
  listener.onOutcome = [this, active, exchange](const LeafOutcome& outcome) {
    onOutcome(active, exchange, outcome);
  };
  sender_.send(send, queryContext_, std::move(listener));
}

void RequestGateway::delegate(const ActivePointer& active, const std::vector<DelegateAction>& delegations) {
  if (!active->ownerListener) {
    const std::weak_ptr<ActiveQuery> weak = active;
    active->ownerListener = std::make_shared<const OwnerClient::Listener>(
        [this, weak](const std::vector<ExchangeOutcome>& outcomes) {
          const ActivePointer stillActive = weak.lock();
          if (stillActive && !stillActive->query->finished()) {
            apply(stillActive, stillActive->query->onOutcomes(outcomes, steadyNow()));
          }
        });
  }
  OwnerClient::RequestParameters parameters;
  parameters.request = active->original;
  parameters.skipQuarantineCheck = active->query->isTrial();
  parameters.route = std::shared_ptr<const Route>(active, &active->query->route());
  parameters.rank = active->rank;
  parameters.leafDeadline = active->query->leafDeadline();
  parameters.lateRetryDeadline = active->query->deadline();
  parameters.answerBy = active->query->answerBy();
  parameters.listener = active->ownerListener;
  ownerClient_.send(delegations, parameters);
}

void RequestGateway::sendToMergeServers(const ActivePointer& active, const std::vector<SendAction>& sends) {
  MergeClient::RequestParameters parameters;
  parameters.request = active->original;
  parameters.route = std::shared_ptr<const Route>(active, &active->query->route());
  parameters.rank = active->rank;
  parameters.leafDeadline = active->query->leafDeadline();
  parameters.decidesAt = active->query->nextDecisionAt();
  const std::weak_ptr<ActiveQuery> weak = active;
  parameters.listener = std::make_shared<const MergeClient::Listener>(
      [this, weak](const std::vector<ExchangeOutcome>& outcomes) {
        const ActivePointer stillActive = weak.lock();
        if (stillActive && !stillActive->query->finished()) {
          apply(stillActive, stillActive->query->onOutcomes(outcomes, steadyNow()));
        }
      });
  for (const SendAction& send : sends) {
    active->query->onWriteStarted(send.exchange);
  }
  mergeClient_.send(sends, parameters);
}

void RequestGateway::onOutcome(const ActivePointer& active, ExchangeId exchange, const LeafOutcome& outcome) {
  if (!active->query->finished()) {
    apply(active, active->query->onOutcome(exchange, outcome, steadyNow()));
  }
}

void RequestGateway::answer(const ActivePointer& active, const FinalAnswer& answer) {
  if (std::holds_alternative<Refusal>(answer)) {
    ++counters_.refused;
    quota_.release(active->original->tenant, active->token);
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
    const bool retry = event.decision == Decision::kRetry || event.decision == Decision::kLateRetry;
    counters_.retries += retry ? 1 : 0;
    counters_.retryBudgetExhausted += event.decision == Decision::kBudgetEmpty ? 1 : 0;
  }
}

void RequestGateway::armTimer(const ActivePointer& active) {
  active->timer.arm(active->query->nextDecisionAt(), [this, active] {
    if (!active->query->finished()) {
      apply(active, active->query->onTimer(steadyNow()));
    }
  });
}

}  // namespace oakpier::serving
