#include "coordination/serving/reachability_estimator.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "state/hashing.h"

namespace oakpier::serving {

namespace {

/// Bounds the frames for probes while many tenants change their servers at once.
constexpr Duration kRoundInterval = std::chrono::milliseconds(200);
/// Time in which most answers of a round arrive.
constexpr Duration kAnswerTime = std::chrono::milliseconds(25);
/// Older estimates are not used. By then the membership has detected a network partition.
constexpr Duration kEstimateLifetime = std::chrono::seconds(2);

}  // namespace

ReachabilityEstimator::ReachabilityEstimator(const Endpoint& self) : self_(self) {}

void ReachabilityEstimator::setDaemons(const std::vector<Endpoint>& daemons) {
  others_.clear();
  std::copy_if(daemons.begin(), daemons.end(), std::back_inserter(others_),
               [this](const Endpoint& daemon) { return daemon != self_; });
}

std::vector<Endpoint> ReachabilityEstimator::beginRound(Moment now) {
  if (current_ && now - current_->beganAt < kRoundInterval) {
    return {};
  }
  previous_ = estimate(now);
  std::vector<Endpoint> probed = sample();
  current_ = Round{now, others_.size(), probed.size(), {probed.begin(), probed.end()}};
  return probed;
}

std::vector<Endpoint> ReachabilityEstimator::sample() const {
  std::vector<std::pair<std::uint64_t, Endpoint>> byHash;
  byHash.reserve(others_.size());
  for (const Endpoint& other : others_) {
    byHash.emplace_back(hashPair(self_.packed(), other.packed()), other);
  }
  const auto size = static_cast<std::ptrdiff_t>(std::min(kReachabilitySample, byHash.size()));
  std::partial_sort(byHash.begin(), byHash.begin() + size, byHash.end());
  std::vector<Endpoint> chosen;
  std::transform(byHash.begin(), byHash.begin() + size, std::back_inserter(chosen),
                 [](const auto& entry) { return entry.second; });
  return chosen;
}

void ReachabilityEstimator::onReceived(const Endpoint& daemon) {
  if (current_) {
    current_->unanswered.erase(daemon);
  }
}

ReachabilityEstimate ReachabilityEstimator::estimateOf(const Round& round) {
  if (round.probed == 0) {
    return ReachabilityEstimate{1, round.beganAt};
  }
  const auto answered = static_cast<double>(round.probed - round.unanswered.size());
  const double others = static_cast<double>(round.others) * answered / static_cast<double>(round.probed);
  return ReachabilityEstimate{1 + others, round.beganAt};
}

std::optional<ReachabilityEstimate> ReachabilityEstimator::estimate(Moment now) const {
  if (!current_ || now - current_->beganAt > kEstimateLifetime) {
    return std::nullopt;
  }
  const bool answersUnderWay = now - current_->beganAt < kAnswerTime;
  return answersUnderWay && previous_ ? previous_ : estimateOf(*current_);
}

}  // namespace oakpier::serving
