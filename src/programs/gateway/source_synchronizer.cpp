#include "programs/gateway/source_synchronizer.h"

#include <random>
#include <utility>

#include "programs/common/logging.h"
#include "programs/gateway/source_log.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

/// Added to the time that the source itself waits.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);

const char* textOf(SourceFailure failure) {
  switch (failure) {
    case SourceFailure::kHistoryUnavailable:
      return "revision no longer in history";
    case SourceFailure::kThrottled:
      return "throttled";
    case SourceFailure::kUnavailable:
      return "unavailable";
    case SourceFailure::kOlderEpoch:
      return "answer from an older epoch";
    case SourceFailure::kNoUsableEpoch:
      return "answer without a valid epoch";
    default:
      return "no answer";
  }
}

std::string joined(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text.append(text.empty() ? "" : ",").append(name);
  }
  return text;
}

}  // namespace

SourceSynchronizer::SourceSynchronizer(boost::asio::io_context& context, const Endpoint& source,
                                       const SourceDialect& dialect, const PeerMessengerSettings& peers,
                                       const FollowerSettings& follower, Published<ServingView>& published,
                                       Published<ConfigurationProof>& publishedProof, Handlers handlers)
    : dialect_(dialect),
      published_(published),
      publishedProof_(publishedProof),
      handlers_(std::move(handlers)),
      client_(context, source),
      follower_(
          peers.self, follower, [&dialect](const SourceRecord& record) { return dialect.interpret(record); },
          RandomEngine(std::random_device{}())),
      seeds_(peers.seeds),
      peers_(context, peers,
             {[this](const Endpoint& sender, const SourceNews& update) { onUpdate(sender, update); },
              [this](const Endpoint& sender, const SourceNewsRequest& request) {
                onUpdateRequest(sender, request);
              },
              [this](const Endpoint& sender, const ConfigurationProofRequest& request) {
                apply(follower_.onProofRequest(sender, request, steadyNow()));
              },
              [this](const Endpoint& sender, const ConfigurationProofReply& reply) {
                apply(follower_.onProofReply(sender, reply, steadyNow()));
              },
              [this](const DaemonGroup& daemons) { onMembers(daemons); }, [this] { onPause(); },
              handlers_.onRequestFrame, handlers_.onRequestFrameUndeliverable, handlers_.onSuspected}),
      timer_(context) {}

std::string SourceSynchronizer::start() {
  std::string error = peers_.start();
  if (error.empty()) {
    follower_.start(seeds_, steadyNow());
    step();
  }
  return error;
}

void SourceSynchronizer::onConfigurationNeeded() {
  follower_.onConfigurationNeeded(steadyNow());
  step();
}

void SourceSynchronizer::onPause() {
  log(LogLevel::kWarning, "process or machine was paused", {{"known_revision", follower_.known().revision}});
  step();
}

void SourceSynchronizer::reload(const Endpoint& source, const std::vector<Endpoint>& seeds, unsigned capacity,
                                const ProverSettings& prover) {
  follower_.setProver(prover);
  client_.setAddress(source);
  peers_.setSeeds(seeds);
  peers_.setCapacity(capacity);
}

void SourceSynchronizer::schedule() {
  const Moment next = follower_.nextDueAt();
  if (next == kNever) {
    timer_.cancel();
    return;
  }
  setFor(timer_, next);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      step();
    }
  });
}

void SourceSynchronizer::step() {
  const Moment now = steadyNow();
  sendMessages(follower_.onTimer(now));
  if (const auto call = follower_.takeCall(now)) {
    callSentAt_ = now;
    logTakeover(now);
    client_.call(dialect_.requestFor(*call), call->wait + kCallTimeout,
                 [this, call = *call](std::optional<HttpReply> reply) {
                   onAnswer(call,
                            reply ? dialect_.decode(call, *reply) : SourceAnswer(SourceFailure::kNoAnswer));
                 });
  }
  publish();
  schedule();
}

void SourceSynchronizer::logTakeover(Moment now) {
  const Moment confirmedAt = follower_.confirmedAt();
  if (!follower_.callTakesOver() || confirmedAt == loggedTakeoverOf_) {
    return;
  }
  loggedTakeoverOf_ = confirmedAt;
  log(LogLevel::kInfo, "taking over reading the configuration source",
      {{"confirmed_before_ms", toMilliseconds(now - confirmedAt)},
       {"reader_rank", follower_.rank()},
       {"known_revision", follower_.known().revision}});
}

void SourceSynchronizer::logNoAnswer(Moment now) const {
  const CallConnection& connection = client_.lastCallConnection();
  nlohmann::json confirmedBefore;
  if (follower_.known().revision != 0) {
    confirmedBefore = toMilliseconds(now - follower_.confirmedAt());
  }
  log(LogLevel::kWarning, "configuration source gave no answer",
      {{"waited_ms", toMilliseconds(now - callSentAt_)},
       {"connection", connection.reused ? "reused" : "new"},
       {"connection_idle_ms", toMilliseconds(connection.idle)},
       {"confirmed_before_ms", confirmedBefore},
       {"next_call_in_ms", toMilliseconds(follower_.nextCallAt() - now)}});
}

void SourceSynchronizer::onAnswer(const SourceCall& call, const SourceAnswer& answer) {
  const bool wasLost = follower_.sourceLost();
  const Moment now = steadyNow();
  const FollowerActions actions = follower_.onAnswer(call, answer, now);
  const auto* failure = std::get_if<SourceFailure>(&answer.content);
  if (failure != nullptr && *failure == SourceFailure::kNoAnswer) {
    logNoAnswer(now);
  }
  if (follower_.sourceLost() && !wasLost) {
    log(LogLevel::kWarning, "configuration source lost",
        {{"failure", textOf(std::get<SourceFailure>(answer.content))},
         {"known_revision", follower_.known().revision}});
  } else if (wasLost && !follower_.sourceLost()) {
    log(LogLevel::kInfo, "configuration source recovered", {{"known_revision", follower_.known().revision}});
  }
  if (actions.reconnect) {
    client_.closeConnection();
  }
  apply(actions);
}

void SourceSynchronizer::onUpdate(const Endpoint& sender, const SourceNews& update) {
  apply(follower_.onUpdate(sender, update, steadyNow()));
}

void SourceSynchronizer::onUpdateRequest(const Endpoint& sender, const SourceNewsRequest& request) {
  if (const auto outgoing = follower_.onUpdateRequest(sender, request, steadyNow())) {
    peers_.sendUpdate(outgoing->to, outgoing->update);
  }
}

void SourceSynchronizer::onMembers(const DaemonGroup& daemons) {
  follower_.setMembers(daemons.all);
  schedule();
  log(LogLevel::kInfo, "members changed",
      {{"serving", daemons.all.size()},
       {"own_zone", daemons.ownZone.size()},
       {"zones", daemons.zones},
       {"reader_rank", follower_.rank()},
       {"capacity_core_hundredths", totalPlacementWeight(daemons.all)},
       {"own_zone_capacity_core_hundredths", totalPlacementWeight(daemons.ownZone)}});
  handlers_.onDaemons(daemons);
}

void SourceSynchronizer::apply(const FollowerActions& actions) {
  for (const std::string& problem : actions.errors) {
    log(LogLevel::kError, "source record or configuration rejected", {{"problem", problem}});
  }
  for (const SourceNotice& notice : actions.notices) {
    logNotice(notice);
  }
  sendMessages(actions);
  publish();
  schedule();
}

void SourceSynchronizer::sendMessages(const FollowerActions& actions) {
  for (const OutgoingUpdate& outgoing : actions.updates) {
    peers_.sendUpdate(outgoing.to, outgoing.update);
  }
  if (actions.requestFrom) {
    peers_.requestUpdate(*actions.requestFrom, follower_.known());
  }
  for (const OutgoingProofRequest& outgoing : actions.proofs.requests) {
    peers_.requestProof(outgoing.to, outgoing.request);
  }
  for (const OutgoingProofReply& outgoing : actions.proofs.replies) {
    peers_.sendProof(outgoing.to, outgoing.reply);
  }
}

void SourceSynchronizer::publish() {
  if (auto view = follower_.takeChangedView()) {
    log(LogLevel::kInfo, "view published",
        {{"configuration_version", follower_.configurationVersion()},
         {"leafs", follower_.leafCount()},
         {"evacuated_zones", joined(follower_.evacuatedZones())},
         {"source_epoch", follower_.known().epoch},
         {"source_revision", follower_.known().revision}});
    published_.publish(std::move(view));
    handlers_.onView();
  }
  // After the view: a proof of a version that requests do not use yet would refuse all keys until the view
  // follows.
  publishProof();
}

void SourceSynchronizer::publishProof() {
  const ConfigurationProof& proof = follower_.proof();
  if (proof.provenAt != provenAt_) {
    provenAt_ = proof.provenAt;
    publishedProof_.publish(std::make_shared<const ConfigurationProof>(proof));
    handlers_.onProof();
  }
  if (follower_.proofHolds() != proofFresh_) {
    proofFresh_ = !proofFresh_;
    log(proofFresh_ ? LogLevel::kInfo : LogLevel::kWarning,
        proofFresh_ ? "configuration proof is fresh" : "configuration proof is too old",
        {{"configuration_version", follower_.configurationVersion()},
         {"proved_version", proof.version},
         {"age_ms", toMilliseconds(steadyNow() - proof.provenAt)}});
  }
}

}  // namespace oakpier::serving
