#include "coordination/serving/token_holder.h"

#include <algorithm>
#include <utility>

namespace oakpier::serving {

namespace {

/// A tenant without tokens is not asked for again before: 20 asks a second at most.
constexpr Duration kShortestExhausted = std::chrono::milliseconds(50);
/// Nor later: others give tokens back.
constexpr Duration kLongestExhausted = std::chrono::milliseconds(250);
/// Callers whose request no daemon decided on come back after this: those that are silent are passed over by
/// then. Letting some through all the same does not pay: what a window leaves for it (some 2 requests of a
/// tenant) is less than one for each daemon that a cut may leave alone.
constexpr Duration kUnansweredRetryAfter = std::chrono::milliseconds(300);
/// Callers that are told to come back are spread over this share of the time beyond it.
constexpr double kSpread = 0.25;
/// Rates below this, in requests a second, would make waiting times that do not end.
constexpr double kLeastRate = 0.01;
/// Tokens that are given back on the way, at the latest; see `kTokenLife`.
constexpr Duration kLastGiveBack = kTokenLife - std::chrono::milliseconds(100);
/// A reply that comes later is of no use: its tokens have lapsed.
constexpr Duration kReplyUseful = kTokenLife;
constexpr Duration kIdle = std::chrono::seconds(30);

double secondsBetween(Moment earlier, Moment later) {
  return std::max(0.0, std::chrono::duration<double>(later - earlier).count());
}

Duration asDuration(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e6)); }

}  // namespace

void TokenHolder::dropLapsed(Pocket& pocket, Moment now) {
  while (!pocket.tokens.empty() && now - pocket.tokens.front().askedAt > kTokenLife) {
    pocket.tokens.pop_front();
    ++counters_.lapsed;
  }
}

TokenOutcome TokenHolder::take(const std::string& tenant, const TenantLimit& limit, Moment now) {
  Pocket& pocket = pockets_[tenant];
  pocket.limit = limit;
  dropLapsed(pocket, now);
  if (!pocket.tokens.empty()) {
    const Token token = pocket.tokens.front();
    pocket.tokens.pop_front();
    ++counters_.granted;
    ++counters_.grantedAtOnce;
    noteUse(tenant, pocket, now);
    return token;
  }
  if (now < pocket.exhaustedUntil) {
    ++counters_.refusedAtOnce;
    return refuse(pocket, RefusalCause::kNoTokens, now);
  }
  const TokenTicket ticket = ++lastTicket_;
  pocket.waiting.push_back({ticket, now});
  if (!pocket.ask) {
    due_.insert(tenant);
  }
  return TokenPending{ticket};
}

void TokenHolder::noteUse(const std::string& tenant, Pocket& pocket, Moment now) {
  const bool often = pocket.usedAt != Moment{} && now - pocket.usedAt < kTokenLife;
  pocket.usedAt = now;
  pocket.aheadWanted = often && pocket.tokens.size() < advance_ && now >= pocket.exhaustedUntil;
  if (pocket.aheadWanted && !pocket.ask) {
    due_.insert(tenant);
  }
}

TokenRefusal TokenHolder::refuse(Pocket& pocket, RefusalCause cause, Moment now) {
  ++counters_.refused;
  const double rate = std::max(kLeastRate, pocket.limit.perSecond);
  const double longest = std::chrono::duration<double>(tolerance_.window).count();
  const double queue = secondsBetween(now, pocket.nextTokenAt) + pocket.refusedSince / rate;
  pocket.refusedSince += 1;
  const double spread = 1 + kSpread * std::uniform_real_distribution<double>(0, 1)(random_);
  const Duration wait = asDuration(std::min(longest, queue) * spread);
  return TokenRefusal{std::max(wait, kShortestExhausted), cause};
}

void TokenHolder::giveBack(const std::string& tenant, const Token& token, Moment now) {
  if (now - token.askedAt > kLastGiveBack) {
    return;
  }
  ++counters_.givenBack;
  ++returns_[token.home][tenant];
}

std::optional<Endpoint> TokenHolder::nextHome(const std::string& tenant, const Pocket& pocket, Moment now) {
  if (pocket.tried.size() >= kMostTries) {
    return std::nullopt;
  }
  for (const Endpoint& home : homes_.candidates(tenant, now)) {
    if (std::find(pocket.tried.begin(), pocket.tried.end(), home) == pocket.tried.end()) {
      return home;
    }
  }
  return std::nullopt;
}

std::vector<TokenAsk> TokenHolder::takeAsks(Moment now) {
  std::map<Endpoint, TokenAsk> asks;
  const auto askOf = [&](const Endpoint& home) -> TokenAsk& {
    TokenAsk& ask = asks[home];
    if (ask.number == 0) {
      ask.home = home;
      ask.number = ++lastNumber_;
    }
    return ask;
  };
  for (const std::string& tenant : std::exchange(due_, {})) {
    Pocket& pocket = pockets_[tenant];
    const bool ahead = std::exchange(pocket.aheadWanted, false);
    if (pocket.ask || (pocket.waiting.empty() && !ahead)) {
      continue;
    }
    auto home = nextHome(tenant, pocket, now);
    if (!home) {
      // The members have changed since.
      pocket.tried.clear();
      home = nextHome(tenant, pocket, now);
    }
    TokenAsk& ask = askOf(*home);
    ask.wishes.push_back({tenant, static_cast<std::uint32_t>(pocket.waiting.size()), 0});
    pocket.ask = Ask{*home, ask.number, now, pocket.waiting.size()};
    asking_.insert(tenant);
    sent_[ask.number] = now;
    homes_.onSent(*home, now);
  }
  counters_.asks += asks.size();
  for (const auto& [home, tenants] : std::exchange(returns_, {})) {
    for (const auto& [tenant, count] : tenants) {
      askOf(home).wishes.push_back({tenant, 0, count});
    }
  }
  std::vector<TokenAsk> out;
  out.reserve(asks.size());
  for (auto& [home, ask] : asks) {
    out.push_back(std::move(ask));
  }
  return out;
}

std::vector<TokenDecision> TokenHolder::onGrants(const Endpoint& home, std::uint64_t number,
                                                 const std::vector<TokenGrantDecision>& grants, Moment now) {
  homes_.onHeard(home, now);
  std::vector<TokenDecision> decisions;
  const auto sent = sent_.find(number);
  if (sent == sent_.end()) {
    return decisions;
  }
  const Moment askedAt = sent->second;
  sent_.erase(sent);
  for (const TokenGrantDecision& grant : grants) {
    onGrant(home, number, askedAt, grant, now, decisions);
  }
  return decisions;
}

void TokenHolder::onGrant(const Endpoint& home, std::uint64_t number, Moment askedAt,
                          const TokenGrantDecision& grant, Moment now,
                          std::vector<TokenDecision>& decisions) {
  const auto found = pockets_.find(grant.tenant);
  if (found == pockets_.end()) {
    return;
  }
  Pocket& pocket = found->second;
  const bool awaited = pocket.ask && pocket.ask->number == number && pocket.ask->home == home;
  for (std::uint32_t token = 0; token < grant.granted; ++token) {
    pocket.tokens.push_back({home, askedAt});
  }
  dropLapsed(pocket, now);
  serveWaiting(grant.tenant, pocket, now, decisions);
  // From a daemon that was given up before: requests have their tokens from another one by now.
  while (pocket.tokens.size() > advance_) {
    giveBack(grant.tenant, pocket.tokens.back(), now);
    pocket.tokens.pop_back();
  }
  if (!awaited) {
    return;
  }
  const bool unable = pocket.ask->wanted > 0 && grant.granted == 0 && grant.retryAfter == Duration{};
  if (pocket.waiting.empty() || !unable) {
    pocket.ask.reset();
    asking_.erase(grant.tenant);
    pocket.tried.clear();
  }
  if (!pocket.waiting.empty() && unable) {
    moveOn(grant.tenant, pocket, now, decisions);
  } else if (grant.retryAfter > Duration{}) {
    pocket.nextTokenAt = now + grant.retryAfter;
    pocket.exhaustedUntil = now + std::clamp(grant.retryAfter, kShortestExhausted, kLongestExhausted);
    pocket.refusedSince = 0;
    refuseWaiting(grant.tenant, pocket, RefusalCause::kNoTokens, now, decisions);
  }
  if (!pocket.waiting.empty() || pocket.aheadWanted) {
    due_.insert(grant.tenant);
  }
}

void TokenHolder::serveWaiting(const std::string& tenant, Pocket& pocket, Moment now,
                               std::vector<TokenDecision>& decisions) {
  while (!pocket.waiting.empty() && !pocket.tokens.empty()) {
    const Waiter waiter = pocket.waiting.front();
    decisions.push_back({waiter.ticket, tenant, pocket.tokens.front(), now - waiter.cameAt});
    pocket.waiting.pop_front();
    pocket.tokens.pop_front();
    ++counters_.granted;
    noteUse(tenant, pocket, now);
  }
}

void TokenHolder::refuseWaiting(const std::string& tenant, Pocket& pocket, RefusalCause cause, Moment now,
                                std::vector<TokenDecision>& decisions) {
  for (const Waiter& waiter : std::exchange(pocket.waiting, {})) {
    decisions.push_back({waiter.ticket, tenant, refuse(pocket, cause, now), now - waiter.cameAt});
  }
  pocket.tried.clear();
}

void TokenHolder::moveOn(const std::string& tenant, Pocket& pocket, Moment now,
                         std::vector<TokenDecision>& decisions) {
  if (pocket.ask) {
    pocket.tried.push_back(pocket.ask->home);
    pocket.ask.reset();
    asking_.erase(tenant);
  }
  if (pocket.waiting.empty()) {
    pocket.tried.clear();
  } else if (nextHome(tenant, pocket, now)) {
    due_.insert(tenant);
  } else {
    counters_.refusedUnanswered += pocket.waiting.size();
    pocket.nextTokenAt = now + kUnansweredRetryAfter;
    pocket.refusedSince = 0;
    refuseWaiting(tenant, pocket, RefusalCause::kUnanswered, now, decisions);
  }
}

std::vector<TokenDecision> TokenHolder::onUndelivered(std::uint64_t number, Moment now) {
  std::vector<TokenDecision> decisions;
  sent_.erase(number);
  const std::vector<std::string> asking(asking_.begin(), asking_.end());
  for (const std::string& tenant : asking) {
    Pocket& pocket = pockets_[tenant];
    if (pocket.ask && pocket.ask->number == number) {
      ++counters_.unanswered;
      homes_.onUnreachable(pocket.ask->home, now);
      moveOn(tenant, pocket, now, decisions);
    }
  }
  return decisions;
}

std::vector<TokenDecision> TokenHolder::onTimer(Moment now) {
  std::vector<TokenDecision> decisions;
  const std::vector<std::string> asking(asking_.begin(), asking_.end());
  for (const std::string& tenant : asking) {
    Pocket& pocket = pockets_[tenant];
    if (pocket.ask && now - pocket.ask->askedAt >= kTryTime) {
      ++counters_.unanswered;
      moveOn(tenant, pocket, now, decisions);
    }
  }
  while (!sent_.empty() && now - sent_.begin()->second > kReplyUseful) {
    sent_.erase(sent_.begin());
  }
  return decisions;
}

Moment TokenHolder::nextTimeAt() const {
  Moment next = kNever;
  for (const std::string& tenant : asking_) {
    const auto found = pockets_.find(tenant);
    if (found != pockets_.end() && found->second.ask) {
      next = std::min(next, found->second.ask->askedAt + kTryTime);
    }
  }
  return next;
}

void TokenHolder::dropIdle(Moment now) {
  for (auto pocket = pockets_.begin(); pocket != pockets_.end();) {
    const Pocket& state = pocket->second;
    const bool idle =
        !state.ask && state.waiting.empty() && now >= state.exhaustedUntil && now - state.usedAt > kIdle;
    pocket = idle ? pockets_.erase(pocket) : std::next(pocket);
  }
}

std::size_t TokenHolder::held() const {
  std::size_t held = 0;
  for (const auto& [tenant, pocket] : pockets_) {
    held += pocket.tokens.size();
  }
  return held;
}

}  // namespace oakpier::serving
