#include "programs/gateway/owner_client.h"

#include <algorithm>
#include <map>
#include <utility>

#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

/// Reserved for the way back from the owner.
constexpr Duration kReturnMargin = std::chrono::milliseconds(3);
/// Limits the transit time of work, because the owner counts the leafs' remaining time from its receipt.
constexpr std::uint32_t kWorkLifetimeMilliseconds = 250;
constexpr std::uint32_t kCancelLifetimeMilliseconds = 2000;
/// Maximum number of daemons that are probed to open connections in advance. Reports of unresponsive peers
/// are sent only to these.
constexpr std::size_t kMaxProbedPeers = 100;

std::uint64_t microsecondsUntil(Moment moment, Moment now) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (moment - now).count()));
}

OwnerWork workFor(const OwnerClient::RequestParameters& parameters, unsigned attempts, Moment now) {
  OwnerWork work;
  work.set_method(parameters.request->method);
  work.set_target(parameters.request->target);
  for (const Header& header : parameters.request->headers) {
    HeaderField* field = work.add_headers();
    field->set_name(header.name);
    field->set_value(header.value);
  }
  work.set_body(parameters.request->body);
  work.set_tenant(parameters.request->tenant);
  work.set_route(parameters.route->name);
  work.set_rank(parameters.rank);
  work.set_target_latency_us(static_cast<std::uint64_t>(parameters.route->targetLatency.count()));
  work.set_remaining_us(microsecondsUntil(parameters.leafDeadline, now));
  work.set_renewable_us(microsecondsUntil(parameters.lateRetryDeadline, now));
  work.set_useful_us(microsecondsUntil(parameters.answerBy - kReturnMargin, now));
  work.set_top_records(
      static_cast<std::uint32_t>(std::get<GatherTarget>(parameters.route->target).topRecords));
  work.set_attempts(attempts);
  work.set_vetted(parameters.skipQuarantineCheck);
  return work;
}

LeafOutcome outcomeOf(const OwnerResult& result) {
  LeafOutcome outcome;
  switch (result.status()) {
    case OWNER_ANSWERED: {
      auto reply = std::make_shared<HttpReply>();
      reply->body = result.records();
      outcome.kind = LeafOutcome::Kind::kAnswered;
      outcome.reply = std::move(reply);
      outcome.signature = result.signature();
      break;
    }
    case OWNER_NOT_RUN:
      outcome.kind = LeafOutcome::Kind::kNotExecuted;
      break;
    case OWNER_NOT_SENT:
      outcome.kind = LeafOutcome::Kind::kNotSent;
      break;
    default:
      outcome.kind = LeafOutcome::Kind::kNoAnswer;
      break;
  }
  return outcome;
}

}  // namespace

OwnerClient::OwnerClient(QueryContext& context, ShardOwners& owners, FrameSender sendFrame)
    : context_(context), owners_(owners), sendFrame_(std::move(sendFrame)), runId_(context.random()) {}

void OwnerClient::send(const std::vector<DelegateAction>& delegations, const RequestParameters& parameters) {
  const Moment now = steadyNow();
  std::map<Endpoint, PeerEnvelope> frames;
  for (const DelegateAction& delegation : delegations) {
    const auto [frame, isNew] = frames.try_emplace(delegation.owner);
    if (isNew) {
      *frame->second.mutable_owner_work() = workFor(parameters, delegation.attempts, now);
      frame->second.mutable_owner_work()->set_sender_run(runId_);
      frame->second.set_time_to_live_ms(kWorkLifetimeMilliseconds);
    }
    OwnerPart* part = frame->second.mutable_owner_work()->add_parts();
    part->set_exchange(delegation.exchange);
    part->set_service(delegation.service);
    pending_[delegation.exchange] = Pending{delegation.owner, now, parameters.route, parameters.listener};
    ++counters_.parts;
  }
  for (auto& [owner, frame] : frames) {
    owners_.onSent(owner, now);
    sendFrame_(owner, std::move(frame));
  }
  probeUnresponsiveOwners(now);
}

void OwnerClient::probeUnresponsiveOwners(Moment now) {
  for (const Endpoint& owner : owners_.takeDueProbes(now)) {
    ++counters_.probes;
    sendProbe(owner);
  }
}

void OwnerClient::sendProbe(const Endpoint& owner) {
  PeerEnvelope frame;
  frame.mutable_owner_work()->set_sender_run(runId_);
  frame.set_time_to_live_ms(kWorkLifetimeMilliseconds);
  sendFrame_(owner, std::move(frame));
}

void OwnerClient::reportUnresponsivePeers() {
  const Moment now = steadyNow();
  const std::vector<Endpoint> unresponsive = owners_.takeNewlyUnresponsive(now);
  if (unresponsive.empty()) {
    return;
  }
  PeerEnvelope frame;
  for (const Endpoint& daemon : unresponsive) {
    frame.mutable_silent_daemons()->add_addresses(daemon.text());
  }
  frame.set_time_to_live_ms(kWorkLifetimeMilliseconds);
  ++counters_.unresponsiveReports;
  for (const Endpoint& daemon : probed_) {
    if (!owners_.isUnresponsive(daemon, now)) {
      sendFrame_(daemon, frame);
    }
  }
}

void OwnerClient::onUnresponsivePeers(const SilentDaemons& unresponsive) {
  const Moment now = steadyNow();
  for (const std::string& address : unresponsive.addresses()) {
    if (const auto daemon = Endpoint::parse(address)) {
      owners_.onReportedUnresponsive(*daemon, now);
    }
  }
}

void OwnerClient::probeNewPeers(const std::vector<Endpoint>& daemons) {
  std::set<Endpoint> probed;
  for (const Endpoint& daemon : daemons) {
    if (probed.size() >= kMaxProbedPeers) {
      break;
    }
    probed.insert(daemon);
    if (probed_.count(daemon) == 0) {
      sendProbe(daemon);
    }
  }
  probed_ = std::move(probed);
}

void OwnerClient::cancel(const std::vector<ExchangeId>& exchanges) {
  std::map<Endpoint, PeerEnvelope> frames;
  for (const ExchangeId exchange : exchanges) {
    const auto pending = pending_.find(exchange);
    if (pending == pending_.end()) {
      continue;
    }
    PeerEnvelope& frame = frames[pending->second.owner];
    frame.mutable_owner_cancel()->set_sender_run(runId_);
    frame.mutable_owner_cancel()->add_exchanges(exchange);
    frame.set_time_to_live_ms(kCancelLifetimeMilliseconds);
    pending_.erase(pending);
  }
  for (auto& [owner, frame] : frames) {
    sendFrame_(owner, std::move(frame));
  }
}

void OwnerClient::onResults(const Endpoint& owner, const OwnerResults& results) {
  if (results.receiver_run() != runId_) {
    return;
  }
  const Moment now = steadyNow();
  owners_.onReceived(owner, now);
  Listeners listeners;
  for (const OwnerResult& result : results.results()) {
    collectResult(result, now, listeners);
  }
  for (const auto& [listener, outcomes] : listeners) {
    (*listener)(outcomes);
  }
}

void OwnerClient::collectResult(const OwnerResult& result, Moment now, Listeners& listeners) {
  const auto found = pending_.find(result.exchange());
  if (found == pending_.end()) {
    return;
  }
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  LeafOutcome outcome = outcomeOf(result);
  if (outcome.kind == LeafOutcome::Kind::kAnswered) {
    context_.latencyOf(*pending.route).record(now - pending.startedAt, now);
  }
  listeners[pending.listener].push_back(ExchangeOutcome{result.exchange(), std::move(outcome)});
}

void OwnerClient::onUndeliverable(const OwnerWork& work) {
  ++counters_.undeliverable;
  LeafOutcome outcome;
  outcome.kind = LeafOutcome::Kind::kNotSent;
  Listeners listeners;
  for (const OwnerPart& part : work.parts()) {
    const auto found = pending_.find(part.exchange());
    if (found == pending_.end()) {
      continue;
    }
    listeners[found->second.listener].push_back(ExchangeOutcome{part.exchange(), outcome});
    pending_.erase(found);
  }
  for (const auto& [listener, outcomes] : listeners) {
    (*listener)(outcomes);
  }
}

}  // namespace oakpier::serving
