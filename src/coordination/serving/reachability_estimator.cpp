#include "coordination/serving/reachability_estimator.h"

#include <algorithm>
#include <iterator>

namespace oakpier::serving {

namespace {

/// Bounds the frames for probes while many tenants change their servers at once.
constexpr Duration kRoundInterval = std::chrono::milliseconds(200);
/// Time in which most answers of a round arrive.
constexpr Duration kAnswerTime = std::chrono::milliseconds(25);
/// Older estimates are not used. By then the membership has detected a network partition.
constexpr Duration kEstimateLifetime = std::chrono::seconds(2);

}  // namespace

ReachabilityEstimator::ReachabilityEstimator(const Endpoint& self) : self_(self), random_(self.packed()) {}

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
  std::vector<Endpoint> sample;
  std::sample(others_.begin(), others_.end(), std::back_inserter(sample), kReachabilitySample, random_);
  current_ = Round{now, others_.size(), sample.size(), {sample.begin(), sample.end()}};
  return sample;
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
