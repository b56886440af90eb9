#include "coordination/serving/configuration_prover.h"

#include <algorithm>

namespace oakpier::serving {

namespace {

/// All shares are fractions of the bound. Below this age a proof is not renewed at each source update:
/// updates may come four times a second, and from several readers, while one renewal in 1.25 s is enough.
constexpr double kFreshShare = 0.3;
/// From this age on peers are asked. The reader's own proof gets 2.25 s old before the reply to its next
/// call, and that of a daemon five levels down the forwarding tree some 0.5 s older (one CPU quota period per
/// level). With a bound of 5 s this stays below the threshold, so normal rounds cause no such requests.
constexpr double kAskShare = 0.6;
/// Range of the age at which the source is read, if peers could not renew the proof. Randomized so that
/// daemons that lost the same reader don't all call the source: the first to read renews the others' proofs.
constexpr double kLeastReadShare = 0.7;
constexpr double kMostReadShare = 0.8;
/// Rounds of requests without a renewal before that, so that a started daemon does not call the source while
/// its first requests are in flight.
constexpr unsigned kRoundsBeforeRead = 3;
constexpr std::size_t kAskedAtOnce = 2;
constexpr Duration kAskPeriod = std::chrono::milliseconds(300);
/// While the source is down no peer can renew a proof and all daemons send requests. After this many rounds
/// they use the slow period.
constexpr unsigned kQuickRounds = 8;
constexpr Duration kSlowAskPeriod = std::chrono::milliseconds(1200);
/// Shortest time between requests to senders of updates, as one update may arrive from several readers.
constexpr Duration kNewsAskPeriod = std::chrono::milliseconds(150);
/// The time to live of frames.
constexpr Duration kQuestionTimeout = std::chrono::milliseconds(1000);
/// Limit of the time that a reply waits for this daemon's own request to be replied to. The levels of the
/// forwarding tree wait concurrently, so the ages of proofs do not add up along it.
constexpr Duration kLongestHold = std::chrono::milliseconds(150);
constexpr std::size_t kMostQuestions = 16;
constexpr std::size_t kMostHeld = 64;
constexpr Duration kReadPeriod = std::chrono::milliseconds(1000);
/// Limit of the age in a reply. Longer ones would be useless, and might overflow a `Moment`.
constexpr std::uint64_t kOldestAgeMicroseconds = 3'600'000'000;
constexpr double kReadShareSteps = 1000;

}  // namespace

ConfigurationProver::ConfigurationProver(const Endpoint& self, const ProverSettings& settings,
                                         RandomEngine random)
    : self_(self), settings_(settings), random_(random) {
  drawReadShare();
}

void ConfigurationProver::drawReadShare() {
  const auto drawn = static_cast<double>(drawBelow(static_cast<std::size_t>(kReadShareSteps), random_));
  readShare_ = kLeastReadShare + (kMostReadShare - kLeastReadShare) * drawn / kReadShareSteps;
}

Duration ConfigurationProver::share(double part) const {
  return Duration(static_cast<std::int64_t>(static_cast<double>(settings_.bound.count()) * part));
}

Duration ConfigurationProver::ageAt(Moment now) const {
  return proof_.version == 0 ? Duration::max() : now - proof_.provenAt;
}

void ConfigurationProver::setMembers(const std::vector<Endpoint>& members) {
  others_.clear();
  std::copy_if(members.begin(), members.end(), std::back_inserter(others_),
               [this](const Endpoint& member) { return !(member == self_); });
}

void ConfigurationProver::onVersion(std::uint64_t version, bool hasTenants) {
  version_ = version;
  hasTenants_ = hasTenants;
  if (ahead_.version != 0 && ahead_.version <= version_) {
    claim(ahead_);
    ahead_ = {};
  }
}

void ConfigurationProver::onConfigurationRecord(const SourcePosition& position, bool usable) {
  if (position >= newestRecord_) {
    newestRecord_ = position;
    newestUsable_ = usable;
  }
}

void ConfigurationProver::claim(const ConfigurationProof& claimed) {
  if (claimed.version == 0) {
    return;
  }
  if (claimed.version > version_) {
    ahead_ = claimed.provenAt > ahead_.provenAt ? claimed : ahead_;
  } else if (claimed.provenAt > proof_.provenAt) {
    proof_ = claimed;
    vainRounds_ = 0;
  }
}

void ConfigurationProver::onRead(Moment sentAt, Moment now, ProofActions& actions) {
  if (newestUsable_ && sentAt >= claimsFrom_) {
    claim(ConfigurationProof{version_, sentAt});
  }
  answerHeld(now, true, actions);
  refreshHolds(now);
}

void ConfigurationProver::ask(const Endpoint& to, Moment now, ProofActions& actions) {
  if (questions_.size() >= kMostQuestions) {
    return;
  }
  OutgoingProofRequest outgoing{to, {}};
  outgoing.request.set_number(random_());
  questions_[outgoing.request.number()] = Question{to, now};
  actions.requests.push_back(std::move(outgoing));
  ++counters_.asked;
}

void ConfigurationProver::onNews(const Endpoint& sender, Moment now, ProofActions& actions) {
  if (active() && ageAt(now) >= share(kFreshShare) && now >= askNewsSenderAfter_) {
    askNewsSenderAfter_ = now + kNewsAskPeriod;
    ask(sender, now, actions);
  }
}

Moment ConfigurationProver::holdUntil(Moment now) const {
  Moment until = now;
  if (held_.size() < kMostHeld && ageAt(now) >= share(kFreshShare)) {
    for (const auto& [number, question] : questions_) {
      until = std::max(until, question.sentAt + kLongestHold);
    }
  }
  return until;
}

void ConfigurationProver::onRequest(const Endpoint& sender, const ConfigurationProofRequest& request,
                                    Moment now, ProofActions& actions) {
  const Moment until = holdUntil(now);
  if (until > now) {
    held_.push_back(Held{sender, request.number(), until});
  } else {
    answer(sender, request.number(), now, actions);
  }
}

void ConfigurationProver::answer(const Endpoint& to, std::uint64_t number, Moment now,
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

void ConfigurationProver::answerHeld(Moment now, bool all, ProofActions& actions) {
  std::vector<Held> waiting;
  for (const Held& held : held_) {
    if (all || now >= held.until) {
      answer(held.to, held.number, now, actions);
    } else {
      waiting.push_back(held);
    }
  }
  held_ = std::move(waiting);
}

void ConfigurationProver::onReply(const Endpoint& sender, const ConfigurationProofReply& reply, Moment now,
                                  ProofActions& actions) {
  const auto found = questions_.find(reply.number());
  if (found == questions_.end() || !(found->second.to == sender)) {
    return;
  }
  const Moment sentAt = found->second.sentAt;
  questions_.erase(found);
  ++counters_.answered;
  const Moment before = proof_.provenAt;
  if (reply.age_us() <= kOldestAgeMicroseconds) {
    // The peer computed the age after it received the request, hence after `sentAt`.
    claim(ConfigurationProof{reply.version(), sentAt - Duration(static_cast<std::int64_t>(reply.age_us()))});
  }
  answerHeld(now, proof_.provenAt > before || questions_.empty(), actions);
  refreshHolds(now);
}

void ConfigurationProver::askSome(Moment now, ProofActions& actions) {
  const bool quick = vainRounds_ < kQuickRounds;
  askAfter_ = now + (quick ? kAskPeriod : kSlowAskPeriod);
  ++vainRounds_;
  for (std::size_t asked = 0; asked < std::min(kAskedAtOnce, others_.size()); ++asked) {
    ask(others_[drawBelow(others_.size(), random_)], now, actions);
  }
}

void ConfigurationProver::onTime(Moment now, ProofActions& actions) {
  for (auto question = questions_.begin(); question != questions_.end();) {
    const bool late = now - question->second.sentAt >= kQuestionTimeout;
    counters_.timedOut += late ? 1 : 0;
    question = late ? questions_.erase(question) : std::next(question);
  }
  answerHeld(now, false, actions);
  if (active() && ageAt(now) >= share(kAskShare) && now >= askAfter_) {
    askSome(now, actions);
  }
  refreshHolds(now);
}

bool ConfigurationProver::takeReadWish(Moment now) {
  const bool wouldProve = now >= claimsFrom_;
  if (!active() || !wouldProve || vainRounds_ < kRoundsBeforeRead || ageAt(now) < share(readShare_) ||
      now < readAfter_) {
    return false;
  }
  drawReadShare();
  readAfter_ = now + kReadPeriod;
  ++counters_.readWishes;
  return true;
}

Moment ConfigurationProver::nextDueAt() const {
  Moment next = kNever;
  for (const auto& [number, question] : questions_) {
    next = std::min(next, question.sentAt + kQuestionTimeout);
  }
  for (const Held& held : held_) {
    next = std::min(next, held.until);
  }
  if (active()) {
    next = std::min(next, std::max(proof_.provenAt + share(kAskShare), askAfter_));
    next = vainRounds_ < kRoundsBeforeRead
               ? next
               : std::min(next, std::max({proof_.provenAt + share(readShare_), readAfter_, claimsFrom_}));
  }
  if (holds_) {
    // `covers` includes the bound itself.
    next = std::min(next, proof_.provenAt + settings_.bound + Duration(1));
  }
  return next;
}

}  // namespace oakpier::serving
