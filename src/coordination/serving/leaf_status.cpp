#include "coordination/serving/leaf_status.h"

#include <algorithm>
#include <utility>

namespace oakpier::serving {

namespace {

/// Weight of the newest latency in the smoothed ratio.
constexpr double kSlownessGain = 0.1;
constexpr double kSlownessFloor = 0.5;
constexpr double kSlownessCeiling = 20.0;
/// Told load is believed for this long.
constexpr Duration kLoadLifetime = std::chrono::milliseconds(150);
/// A leaf that fails this often in a row is avoided.
constexpr unsigned kFailuresBeforeEjection = 3;
/// A leaf that could not be reached this often in a row counts as unreachable. Once may be a connection that
/// the leaf resets, as it has too many.
constexpr unsigned kLostBeforeUnreachable = 2;
/// A leaf that was silent for this long when a request was taken back counts as unreachable.
constexpr int kSilenceFactor = 3;
constexpr Duration kSilenceFloor = std::chrono::milliseconds(300);
/// The operator counts requests to cold leafs in spans of this length.
constexpr Duration kColdSpan = std::chrono::seconds(1);
constexpr Duration kShortestEjection = std::chrono::milliseconds(400);
constexpr unsigned kLongestEjectionFactor = 8;

}  // namespace

LeafStatus::LeafStatus(LeafEntry entry, Moment now)
    : entry_(std::move(entry)), warmUntil_(now + entry_.warmupLeft) {}

void LeafStatus::update(const LeafEntry& entry, Moment now) {
  entry_ = entry;
  warmUntil_ = now + entry.warmupLeft;
}

void LeafStatus::onStarted(std::uint64_t exchange, Duration expected, Moment now) {
  inProgress_.push_back(Exchange{exchange, now, expected});
  if (!warmingUp(now)) {
    coldSends_.clear();
    return;
  }
  while (!coldSends_.empty() && now - coldSends_.front() >= kColdSpan) {
    coldSends_.pop_front();
  }
  coldSends_.push_back(now);
}

std::size_t LeafStatus::sentWhileCold(Moment now) const {
  return static_cast<std::size_t>(std::count_if(coldSends_.begin(), coldSends_.end(),
                                                [now](Moment sent) { return now - sent < kColdSpan; }));
}

bool LeafStatus::drawWhileCold(double odds, RandomEngine& random, Moment now) {
  if (coldDrawAt_ && now - *coldDrawAt_ < kColdSpan) {
    return false;
  }
  coldDrawAt_ = now;
  return std::bernoulli_distribution(odds)(random);
}

void LeafStatus::onFinished(std::uint64_t exchange, LeafOutcome::Kind kind, Moment now) {
  const auto found = std::find_if(inProgress_.begin(), inProgress_.end(),
                                  [&](const Exchange& candidate) { return candidate.id == exchange; });
  if (found == inProgress_.end()) {
    return;
  }
  const Exchange finished = *found;
  inProgress_.erase(found);
  switch (kind) {
    case LeafOutcome::Kind::kAnswered: {
      const double ratio = static_cast<double>((now - finished.startedAt).count()) /
                           static_cast<double>(std::max<std::int64_t>(1, finished.expected.count()));
      slowness_ += kSlownessGain * (std::min(ratio, kSlownessCeiling) - slowness_);
      slowness_ = std::max(slowness_, kSlownessFloor);
      consecutiveFailures_ = 0;
      lostInRow_ = 0;
      lastAnswerAt_ = now;
      break;
    }
    case LeafOutcome::Kind::kWrongInstance:
      markGone();
      break;
    case LeafOutcome::Kind::kNotExecuted:
      lastAnswerAt_ = now;
      break;
    case LeafOutcome::Kind::kLeafFailed:
    case LeafOutcome::Kind::kNoAnswer:
    case LeafOutcome::Kind::kLeafEnded:
      onFailure(false, now);
      break;
    case LeafOutcome::Kind::kNotSent:
      onFailure(true, now);
      break;
    case LeafOutcome::Kind::kExpired:
      break;
    case LeafOutcome::Kind::kWithdrawn: {
      const Moment quietSince = std::max(finished.startedAt, lastAnswerAt_);
      if (now - quietSince > finished.expected * kSilenceFactor + kSilenceFloor) {
        ++lostInRow_;
        onFailure(true, now);
      }
      break;
    }
  }
}

void LeafStatus::onReachability(bool reachable, Moment now) {
  if (reachable) {
    lostInRow_ = 0;
    ejectedUntil_ = now;
    return;
  }
  ++lostInRow_;
  onFailure(true, now);
}

void LeafStatus::onFailure(bool unreachable, Moment now) {
  ++consecutiveFailures_;
  if (!unreachable && consecutiveFailures_ < kFailuresBeforeEjection) {
    return;
  }
  const unsigned factor = std::min(consecutiveFailures_, kLongestEjectionFactor);
  ejectedUntil_ = now + kShortestEjection * factor;
}

bool LeafStatus::unreachable(Moment now) const {
  return lostInRow_ >= kLostBeforeUnreachable && ejected(now);
}

void LeafStatus::onLoad(const ReportedLoad& load, Moment now) {
  load_ = load;
  loadAt_ = now;
}

double LeafStatus::queueLength(Moment now) const {
  const auto own = static_cast<double>(inProgress_.size());
  if (now - loadAt_ > kLoadLifetime) {
    return own;
  }
  const double age = static_cast<double>((now - loadAt_).count()) / kLoadLifetime.count();
  const double told = (load_.running + load_.waiting) * (1.0 - age);
  return std::max(own, told);
}

Duration LeafStatus::stalledFor(Moment now) const {
  Duration longest{};
  for (const Exchange& exchange : inProgress_) {
    const Moment quietSince = std::max(exchange.startedAt, lastAnswerAt_);
    longest = std::max(longest, now - quietSince - exchange.expected);
  }
  return longest;
}

void LeafRegistry::reconcile(const LeafsByService& directory, Moment now) {
  std::unordered_map<LeafLife, std::shared_ptr<LeafStatus>, LeafLifeHash> known;
  for (const auto& [service, leafs] : services_) {
    for (const auto& leaf : leafs) {
      known.emplace(leaf->entry().life(), leaf);
    }
  }
  services_.clear();
  for (const auto& [service, entries] : directory) {
    Leafs& leafs = services_[service];
    for (const LeafEntry& entry : entries) {
      const auto found = known.find(entry.life());
      if (found == known.end()) {
        leafs.push_back(std::make_shared<LeafStatus>(entry, now));
        continue;
      }
      const LeafEntry& earlier = found->second->entry();
      if (!earlier.sameDescription(entry) || earlier.position != entry.position) {
        found->second->update(entry, now);
      }
      leafs.push_back(found->second);
      known.erase(found);
    }
  }
  for (const auto& [life, leaf] : known) {
    leaf->markGone();
  }
}

void LeafRegistry::add(const std::string& service, const std::vector<LeafEntry>& entries, Moment now) {
  Leafs& leafs = services_[service];
  if (!leafs.empty()) {
    return;
  }
  for (const LeafEntry& entry : entries) {
    leafs.push_back(std::make_shared<LeafStatus>(entry, now));
  }
}

void LeafRegistry::onReachability(const LeafEntry& leaf, bool reachable, Moment now) {
  const LeafLife life = leaf.life();
  for (const auto& known : leafsOf(leaf.service)) {
    if (known->entry().isOf(life)) {
      known->onReachability(reachable, now);
    }
  }
}

const LeafRegistry::Leafs& LeafRegistry::leafsOf(const std::string& service) const {
  static const Leafs kNone;
  const auto found = services_.find(service);
  return found == services_.end() ? kNone : found->second;
}

}  // namespace oakpier::serving
