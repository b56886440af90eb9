#include "coordination/serving/leaf_status.h"

#include <algorithm>
#include <utility>

namespace oakpier::serving {

namespace {

/// Weight of the newest sample in the moving average.
constexpr double kLatencyRatioGain = 0.1;
constexpr double kMinLatencyRatio = 0.5;
constexpr double kMaxLatencyRatio = 20.0;
/// Reported load is ignored after this time.
constexpr Duration kLoadReportLifetime = std::chrono::milliseconds(150);
/// Consecutive failures before a reachable leaf is ejected. A leaf that could not be reached is ejected
/// immediately.
constexpr unsigned kFailuresBeforeEjection = 3;
/// Consecutive failed attempts to reach a leaf before it counts as unreachable. A single one may be a
/// connection that the leaf reset because it has too many.
constexpr unsigned kAttemptsBeforeUnreachable = 2;
/// A cancelled request counts as a failed attempt to reach the leaf if the leaf had not responded for this
/// multiple of the expected latency plus `kUnresponsiveMargin`.
constexpr int kUnresponsiveFactor = 3;
constexpr Duration kUnresponsiveMargin = std::chrono::milliseconds(300);
/// Interval over which the operator counts requests to cold leafs.
constexpr Duration kColdSendWindow = std::chrono::seconds(1);
constexpr Duration kMinEjection = std::chrono::milliseconds(400);
constexpr unsigned kMaxEjectionFactor = 8;

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
  while (!coldSends_.empty() && now - coldSends_.front() >= kColdSendWindow) {
    coldSends_.pop_front();
  }
  coldSends_.push_back(now);
}

std::size_t LeafStatus::coldSendsInLastSecond(Moment now) const {
  return static_cast<std::size_t>(std::count_if(coldSends_.begin(), coldSends_.end(),
                                                [now](Moment sent) { return now - sent < kColdSendWindow; }));
}

bool LeafStatus::sampleColdSend(double probability, RandomEngine& random, Moment now) {
  if (coldSampledAt_ && now - *coldSampledAt_ < kColdSendWindow) {
    return false;
  }
  coldSampledAt_ = now;
  return std::bernoulli_distribution(probability)(random);
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
      latencyRatio_ += kLatencyRatioGain * (std::min(ratio, kMaxLatencyRatio) - latencyRatio_);
      latencyRatio_ = std::max(latencyRatio_, kMinLatencyRatio);
      consecutiveFailures_ = 0;
      consecutiveUnreachable_ = 0;
      lastAnswerAt_ = now;
      break;
    }
    case LeafOutcome::Kind::kWrongInstance:
      markRemoved();
      break;
    case LeafOutcome::Kind::kNotExecuted:
      lastAnswerAt_ = now;
      break;
    case LeafOutcome::Kind::kLeafFailed:
    case LeafOutcome::Kind::kNoAnswer:
    case LeafOutcome::Kind::kLeafCrashed:
      onFailure(false, now);
      break;
    case LeafOutcome::Kind::kNotSent:
      onFailure(true, now);
      break;
    case LeafOutcome::Kind::kExpired:
      break;
    case LeafOutcome::Kind::kCancelled: {
      const Moment lastActivityAt = std::max(finished.startedAt, lastAnswerAt_);
      if (now - lastActivityAt > finished.expected * kUnresponsiveFactor + kUnresponsiveMargin) {
        ++consecutiveUnreachable_;
        onFailure(true, now);
      }
      break;
    }
  }
}

void LeafStatus::onReachability(bool reachable, Moment now) {
  if (reachable) {
    consecutiveUnreachable_ = 0;
    ejectedUntil_ = now;
    return;
  }
  ++consecutiveUnreachable_;
  onFailure(true, now);
}

void LeafStatus::onFailure(bool connectionFailed, Moment now) {
  ++consecutiveFailures_;
  if (!connectionFailed && consecutiveFailures_ < kFailuresBeforeEjection) {
    return;
  }
  const unsigned factor = std::min(consecutiveFailures_, kMaxEjectionFactor);
  ejectedUntil_ = now + kMinEjection * factor;
}

bool LeafStatus::unreachable(Moment now) const {
  return consecutiveUnreachable_ >= kAttemptsBeforeUnreachable && ejected(now);
}

void LeafStatus::onLoadReport(const ReportedLoad& load, Moment now) {
  load_ = load;
  loadAt_ = now;
}

double LeafStatus::queueLength(Moment now) const {
  const auto own = static_cast<double>(inProgress_.size());
  if (now - loadAt_ > kLoadReportLifetime) {
    return own;
  }
  const double age = static_cast<double>((now - loadAt_).count()) / kLoadReportLifetime.count();
  const double reported = (load_.running + load_.waiting) * (1.0 - age);
  return std::max(own, reported);
}

Duration LeafStatus::overdueFor(Moment now) const {
  Duration longest{};
  for (const Exchange& exchange : inProgress_) {
    const Moment lastActivityAt = std::max(exchange.startedAt, lastAnswerAt_);
    longest = std::max(longest, now - lastActivityAt - exchange.expected);
  }
  return longest;
}

void LeafRegistry::reconcile(const LeafsByService& directory, Moment now) {
  std::unordered_map<LeafIncarnation, std::shared_ptr<LeafStatus>, LeafIncarnationHash> known;
  for (const auto& [service, leafs] : services_) {
    for (const auto& leaf : leafs) {
      known.emplace(leaf->entry().incarnation(), leaf);
    }
  }
  services_.clear();
  for (const auto& [service, entries] : directory) {
    Leafs& leafs = services_[service];
    for (const LeafEntry& entry : entries) {
      const auto found = known.find(entry.incarnation());
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
  for (const auto& [incarnation, leaf] : known) {
    leaf->markRemoved();
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
  const LeafIncarnation incarnation = leaf.incarnation();
  for (const auto& known : leafsOf(leaf.service)) {
    if (known->entry().isOf(incarnation)) {
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
