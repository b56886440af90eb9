#include "coordination/serving/configuration_prover.h"

#include <algorithm>

namespace oakpier::serving {

namespace {

/// Thresholds are ages of the proof, as fractions of the bound. Below this one a proof is not renewed at each
/// source update: updates may come four times a second, and from several readers, while one renewal in 1.25 s
/// is enough.
constexpr double kFreshThreshold = 0.3;
/// From this age on peers are asked. The reader's own proof gets 2.25 s old before the reply to its next
/// call, and that of a daemon five levels down the forwarding tree some 0.5 s older (one CPU quota period per
/// level). With a bound of 5 s this stays below the threshold, so normal rounds cause no such requests.
constexpr double kRequestThreshold = 0.6;
/// Range of the age at which the source is read, if peers could not renew the proof. Randomized so that
/// daemons that lost the same reader don't all call the source: the first to read renews the others' proofs.
constexpr double kMinReadThreshold = 0.7;
constexpr double kMaxReadThreshold = 0.8;
/// Rounds of requests without a renewal before that, so that a started daemon does not call the source while
/// its first requests are in flight.
constexpr unsigned kRoundsBeforeRead = 3;
constexpr std::size_t kRequestsPerRound = 2;
constexpr Duration kRequestPeriod = std::chrono::milliseconds(300);
/// While the source is down no peer can renew a proof and all daemons send requests. After this many rounds
/// they use the slow period.
constexpr unsigned kFastRounds = 8;
constexpr Duration kSlowRequestPeriod = std::chrono::milliseconds(1200);
/// Shortest time between requests to senders of updates, as one update may arrive from several readers.
constexpr Duration kUpdateRequestPeriod = std::chrono::milliseconds(150);
/// The time to live of frames.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(1000);
/// Limit of the time that a reply waits for this daemon's own request to be replied to. The levels of the
/// forwarding tree wait concurrently, so the ages of proofs do not add up along it.
constexpr Duration kMaxReplyDelay = std::chrono::milliseconds(150);
constexpr std::size_t kMaxPendingRequests = 16;
constexpr std::size_t kMaxDeferredReplies = 64;
constexpr Duration kReadPeriod = std::chrono::milliseconds(1000);
/// Limit of the age in a reply. Longer ones would be useless, and might overflow a `Moment`.
constexpr std::uint64_t kMaxAgeMicroseconds = 3'600'000'000;
constexpr double kReadThresholdSteps = 1000;

}  // namespace

ConfigurationProver::ConfigurationProver(const Endpoint& self, const ProverSettings& settings,
                                         RandomEngine random)
    : self_(self), settings_(settings), random_(random) {
  drawReadThreshold();
}

void ConfigurationProver::drawReadThreshold() {
  const auto drawn = static_cast<double>(drawBelow(static_cast<std::size_t>(kReadThresholdSteps), random_));
  readThreshold_ = kMinReadThreshold + (kMaxReadThreshold - kMinReadThreshold) * drawn / kReadThresholdSteps;
}

Duration ConfigurationProver::fractionOfBound(double part) const {
  return Duration(static_cast<std::int64_t>(static_cast<double>(settings_.bound.count()) * part));
}

Duration ConfigurationProver::ageAt(Moment now) const {
  return proof_.version == 0 ? Duration::max() : now - proof_.provenAt;
}

void ConfigurationProver::setMembers(const std::vector<Endpoint>& members) {
  peers_.clear();
  std::copy_if(members.begin(), members.end(), std::back_inserter(peers_),
               [this](const Endpoint& member) { return !(member == self_); });
}

void ConfigurationProver::onVersion(std::uint64_t version, bool hasTenants) {
  version_ = version;
  hasTenants_ = hasTenants;
  if (nextVersionProof_.version != 0 && nextVersionProof_.version <= version_) {
    adopt(nextVersionProof_);
    nextVersionProof_ = {};
  }
}

void ConfigurationProver::onConfigurationRecord(const SourcePosition& position, bool usable) {
  if (position >= newestRecord_) {
    newestRecord_ = position;
    newestUsable_ = usable;
  }
}

void ConfigurationProver::adopt(const ConfigurationProof& candidate) {
  if (candidate.version == 0) {
    return;
  }
  if (candidate.version > version_) {
    nextVersionProof_ = candidate.provenAt > nextVersionProof_.provenAt ? candidate : nextVersionProof_;
  } else if (candidate.provenAt > proof_.provenAt) {
    proof_ = candidate;
    roundsSinceRenewal_ = 0;
  }
}

void ConfigurationProver::onRead(Moment sentAt, Moment now, ProofActions& actions) {
  if (newestUsable_ && sentAt >= readsProveFrom_) {
    adopt(ConfigurationProof{version_, sentAt});
  }
  sendDeferredReplies(now, true, actions);
  refreshHolds(now);
}

void ConfigurationProver::sendRequest(const Endpoint& to, Moment now, ProofActions& actions) {
  if (pendingRequests_.size() >= kMaxPendingRequests) {
    return;
  }
  OutgoingProofRequest outgoing{to, {}};
  outgoing.request.set_number(random_());
  pendingRequests_[outgoing.request.number()] = PendingRequest{to, now};
  actions.requests.push_back(std::move(outgoing));
  ++counters_.requests;
}

void ConfigurationProver::onUpdate(const Endpoint& sender, Moment now, ProofActions& actions) {
  if (active() && ageAt(now) >= fractionOfBound(kFreshThreshold) && now >= requestFromSenderAfter_) {
    requestFromSenderAfter_ = now + kUpdateRequestPeriod;
    sendRequest(sender, now, actions);
  }
}

Moment ConfigurationProver::deferUntil(Moment now) const {
  Moment until = now;
  if (deferredReplies_.size() < kMaxDeferredReplies && ageAt(now) >= fractionOfBound(kFreshThreshold)) {
    for (const auto& [number, request] : pendingRequests_) {
      until = std::max(until, request.sentAt + kMaxReplyDelay);
    }
  }
  return until;
}

void ConfigurationProver::onRequest(const Endpoint& sender, const ConfigurationProofRequest& request,
                                    Moment now, ProofActions& actions) {
  const Moment until = deferUntil(now);
  if (until > now) {
    deferredReplies_.push_back(DeferredReply{sender, request.number(), until});
  } else {
    sendReply(sender, request.number(), now, actions);
  }
}

void ConfigurationProver::sendReply(const Endpoint& to, std::uint64_t number, Moment now,
                                    ProofActions& actions) const {
  OutgoingProofReply outgoing{to, {}};
  outgoing.reply.set_number(number);
  if (proof_.version != 0) {
    outgoing.reply.set_version(proof_.version);
    outgoing.reply.set_age_us(
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - proof_.provenAt).count())));
  }
  actions.replies.push_back(std::move(outgoing));
}

void ConfigurationProver::sendDeferredReplies(Moment now, bool all, ProofActions& actions) {
  std::vector<DeferredReply> waiting;
  for (const DeferredReply& reply : deferredReplies_) {
    if (all || now >= reply.until) {
      sendReply(reply.to, reply.number, now, actions);
    } else {
      waiting.push_back(reply);
    }
  }
  deferredReplies_ = std::move(waiting);
}

void ConfigurationProver::onReply(const Endpoint& sender, const ConfigurationProofReply& reply, Moment now,
                                  ProofActions& actions) {
  const auto found = pendingRequests_.find(reply.number());
  if (found == pendingRequests_.end() || !(found->second.to == sender)) {
    return;
  }
  const Moment sentAt = found->second.sentAt;
  pendingRequests_.erase(found);
  ++counters_.answered;
  const Moment before = proof_.provenAt;
  if (reply.age_us() <= kMaxAgeMicroseconds) {
    // The peer computed the age after it received the request, hence after `sentAt`.
    adopt(ConfigurationProof{reply.version(), sentAt - Duration(static_cast<std::int64_t>(reply.age_us()))});
  }
  sendDeferredReplies(now, proof_.provenAt > before || pendingRequests_.empty(), actions);
  refreshHolds(now);
}

void ConfigurationProver::requestFromPeers(Moment now, ProofActions& actions) {
  const bool fast = roundsSinceRenewal_ < kFastRounds;
  requestAfter_ = now + (fast ? kRequestPeriod : kSlowRequestPeriod);
  ++roundsSinceRenewal_;
  for (std::size_t sent = 0; sent < std::min(kRequestsPerRound, peers_.size()); ++sent) {
    sendRequest(peers_[drawBelow(peers_.size(), random_)], now, actions);
  }
}

void ConfigurationProver::onTimer(Moment now, ProofActions& actions) {
  for (auto request = pendingRequests_.begin(); request != pendingRequests_.end();) {
    const bool timedOut = now - request->second.sentAt >= kRequestTimeout;
    counters_.timedOut += timedOut ? 1 : 0;
    request = timedOut ? pendingRequests_.erase(request) : std::next(request);
  }
  sendDeferredReplies(now, false, actions);
  if (active() && ageAt(now) >= fractionOfBound(kRequestThreshold) && now >= requestAfter_) {
    requestFromPeers(now, actions);
  }
  refreshHolds(now);
}

bool ConfigurationProver::takeReadRequest(Moment now) {
  const bool wouldProve = now >= readsProveFrom_;
  if (!active() || !wouldProve || roundsSinceRenewal_ < kRoundsBeforeRead ||
      ageAt(now) < fractionOfBound(readThreshold_) || now < readAfter_) {
    return false;
  }
  drawReadThreshold();
  readAfter_ = now + kReadPeriod;
  ++counters_.readRequests;
  return true;
}

Moment ConfigurationProver::nextDueAt() const {
  Moment next = kNever;
  for (const auto& [number, request] : pendingRequests_) {
    next = std::min(next, request.sentAt + kRequestTimeout);
  }
  for (const DeferredReply& reply : deferredReplies_) {
    next = std::min(next, reply.until);
  }
  if (active()) {
    next = std::min(next, std::max(proof_.provenAt + fractionOfBound(kRequestThreshold), requestAfter_));
    next = roundsSinceRenewal_ < kRoundsBeforeRead
               ? next
               : std::min(next, std::max({proof_.provenAt + fractionOfBound(readThreshold_), readAfter_,
                                          readsProveFrom_}));
  }
  if (holds_) {
    // `covers` includes the bound itself.
    next = std::min(next, proof_.provenAt + settings_.bound + Duration(1));
  }
  return next;
}

}  // namespace oakpier::serving
