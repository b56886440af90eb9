#include "coordination/serving/configuration_prover.h"

#include <algorithm>

namespace oakpier::serving {

namespace {

/// A proof younger than this share of the bound is not renewed at each news: changes come up to four times
/// a second, and several readers may read side by side; one renewal in 1.25 s is enough.
constexpr double kFreshShare = 0.3;
/// From this share of the bound on others are asked. The reader's own age reaches 2.25 s just before the
/// answer to its next call, that of a daemon five levels below it some 0.5 s more (a period of a processor's
/// quota a level), so that with a bound of 5 s nobody is asked in vain at every round.
constexpr double kAskShare = 0.6;
/// Then the source is read, if others were asked in vain. Drawn between the two, so that daemons which lost
/// the same reader do not call the source together: the first to read answers the others.
constexpr double kLeastReadShare = 0.7;
constexpr double kMostReadShare = 0.8;
/// Rounds of asking in vain before that; a daemon that has just started is not to call the source while its
/// first questions are on the way.
constexpr unsigned kRoundsBeforeRead = 3;
constexpr std::size_t kAskedAtOnce = 2;
constexpr Duration kAskPeriod = std::chrono::milliseconds(300);
/// While nobody has an answer, as the source is down, all daemons ask; they ask less often after these
/// rounds.
constexpr unsigned kQuickRounds = 8;
constexpr Duration kSlowAskPeriod = std::chrono::milliseconds(1200);
/// News of one round of reading may come from the trees of several readers.
constexpr Duration kNewsAskPeriod = std::chrono::milliseconds(150);
/// Frames live for a second.
constexpr Duration kQuestionTimeout = std::chrono::milliseconds(1000);
/// An answer waits this long for the answer to this daemon's own question: the wait of each level runs
/// beside that of the level above, so ages do not add up along the tree.
constexpr Duration kLongestHold = std::chrono::milliseconds(150);
constexpr std::size_t kMostQuestions = 16;
constexpr std::size_t kMostHeld = 64;
constexpr Duration kReadPeriod = std::chrono::milliseconds(1000);
/// No proof is of use that is older; also keeps sums of times within their type.
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

void ConfigurationProver::onUpdate(const Endpoint& sender, Moment now, ProofActions& actions) {
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
    // The other computed the age after the question came, so after `sentAt`.
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
    // A microsecond on it does not hold any more.
    next = std::min(next, proof_.provenAt + settings_.bound + Duration(1));
  }
  return next;
}

}  // namespace oakpier::serving
