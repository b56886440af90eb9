#include "coordination/serving/quota_client.h"

#include <algorithm>
#include <utility>

namespace oakpier::serving {

namespace {

/// Bounds of the time for which a refusal is cached. The lower one limits each daemon to 20
/// requests for tokens per second for a tenant beyond its limit.
constexpr Duration kMinRefusalCacheTime = std::chrono::milliseconds(50);
/// The upper one exists because other daemons may return tokens earlier.
constexpr Duration kMaxRefusalCacheTime = std::chrono::milliseconds(250);
/// Retry time if no server answered; by then unresponsive ones are tried last. The requests are refused
/// rather than admitted, since the window limit has no room for one request on each daemon that a network
/// partition may isolate.
constexpr Duration kUnansweredRetryAfter = std::chrono::milliseconds(300);
/// Jitter of retry times: up to this fraction is added.
constexpr double kRetryJitter = 0.25;
/// Lower bound of the rate, in requests per second, that retry times are computed with, so that they are
/// finite.
constexpr double kMinRate = 0.01;
/// Greatest age of a token that is returned. Leaves the frame 100 ms to arrive before the token expires.
constexpr Duration kMaxReleaseAge = kTokenLifetime - std::chrono::milliseconds(100);
/// Later replies are ignored, as their tokens have expired.
constexpr Duration kReplyLifetime = kTokenLifetime;
constexpr Duration kIdle = std::chrono::seconds(30);

double secondsBetween(Moment earlier, Moment later) {
  return std::max(0.0, std::chrono::duration<double>(later - earlier).count());
}

Duration asDuration(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e6)); }

}  // namespace

void QuotaClient::dropExpired(TenantState& state, Moment now) {
  while (!state.tokens.empty() && now - state.tokens.front().requestedAt > kTokenLifetime) {
    state.tokens.pop_front();
    ++counters_.expired;
  }
}

TokenOutcome QuotaClient::take(const std::string& tenant, const TenantLimit& limit, Moment now) {
  TenantState& state = tenants_[tenant];
  state.limit = limit;
  dropExpired(state, now);
  if (!state.tokens.empty()) {
    const Token token = state.tokens.front();
    state.tokens.pop_front();
    ++counters_.granted;
    ++counters_.grantedImmediately;
    recordUse(tenant, state, now);
    return token;
  }
  if (now < state.refuseUntil) {
    ++counters_.refusedImmediately;
    return refuse(state, RefusalCause::kNoTokens, now);
  }
  const TokenTicket ticket = ++lastTicket_;
  state.waiting.push_back({ticket, now});
  if (!state.pending) {
    dueTenants_.insert(tenant);
  }
  return TokenPending{ticket};
}

void QuotaClient::recordUse(const std::string& tenant, TenantState& state, Moment now) {
  const bool frequent = state.lastUsedAt != Moment{} && now - state.lastUsedAt < kTokenLifetime;
  state.lastUsedAt = now;
  state.prefetchDue = frequent && state.tokens.size() < prefetchLimit_ && now >= state.refuseUntil;
  if (state.prefetchDue && !state.pending) {
    dueTenants_.insert(tenant);
  }
}

TokenRefusal QuotaClient::refuse(TenantState& state, RefusalCause cause, Moment now) {
  ++counters_.refused;
  const double rate = std::max(kMinRate, state.limit.perSecond);
  const double maxRetryTime = std::chrono::duration<double>(tolerance_.window).count();
  const double queue = secondsBetween(now, state.nextTokenAt) + state.refusedSinceReply / rate;
  state.refusedSinceReply += 1;
  const double jitter = 1 + kRetryJitter * std::uniform_real_distribution<double>(0, 1)(random_);
  const Duration wait = asDuration(std::min(maxRetryTime, queue) * jitter);
  return TokenRefusal{std::max(wait, kMinRefusalCacheTime), cause};
}

void QuotaClient::release(const std::string& tenant, const Token& token, Moment now) {
  if (now - token.requestedAt > kMaxReleaseAge) {
    return;
  }
  ++counters_.released;
  ++releasedTokens_[token.server][tenant];
}

std::optional<Endpoint> QuotaClient::nextServer(const std::string& tenant, const TenantState& state,
                                                Moment now) {
  if (state.tried.size() >= kMaxQuotaServersTried) {
    return std::nullopt;
  }
  for (const Endpoint& server : selector_.candidates(tenant, now)) {
    if (std::find(state.tried.begin(), state.tried.end(), server) == state.tried.end()) {
      return server;
    }
  }
  return std::nullopt;
}

std::vector<OutgoingTokenRequest> QuotaClient::takeRequests(Moment now) {
  std::map<Endpoint, OutgoingTokenRequest> requests;
  const auto requestTo = [&](const Endpoint& server) -> OutgoingTokenRequest& {
    OutgoingTokenRequest& outgoing = requests[server];
    if (outgoing.number == 0) {
      outgoing.server = server;
      outgoing.number = ++lastNumber_;
    }
    return outgoing;
  };
  for (const std::string& tenant : std::exchange(dueTenants_, {})) {
    TenantState& state = tenants_[tenant];
    const bool prefetch = std::exchange(state.prefetchDue, false);
    if (state.pending || (state.waiting.empty() && !prefetch)) {
      continue;
    }
    auto server = nextServer(tenant, state, now);
    if (!server) {
      // All candidates were tried, as the members have changed since the last attempt: start over.
      state.tried.clear();
      server = nextServer(tenant, state, now);
    }
    OutgoingTokenRequest& outgoing = requestTo(*server);
    outgoing.tenantRequests.push_back({tenant, static_cast<std::uint32_t>(state.waiting.size()), 0});
    state.pending = PendingRequest{*server, outgoing.number, now, state.waiting.size()};
    pendingTenants_.insert(tenant);
    framesSentAt_[outgoing.number] = now;
    selector_.onSent(*server, now);
  }
  counters_.requests += requests.size();
  for (const auto& [server, tenants] : std::exchange(releasedTokens_, {})) {
    for (const auto& [tenant, count] : tenants) {
      requestTo(server).tenantRequests.push_back({tenant, 0, count});
    }
  }
  std::vector<OutgoingTokenRequest> out;
  out.reserve(requests.size());
  for (auto& [server, outgoing] : requests) {
    out.push_back(std::move(outgoing));
  }
  return out;
}

std::vector<TokenDecision> QuotaClient::onGrants(const Endpoint& server, std::uint64_t number,
                                                 const std::vector<TenantGrant>& grants, Moment now) {
  selector_.onReceived(server, now);
  std::vector<TokenDecision> decisions;
  const auto sent = framesSentAt_.find(number);
  if (sent == framesSentAt_.end()) {
    return decisions;
  }
  const Moment requestedAt = sent->second;
  framesSentAt_.erase(sent);
  for (const TenantGrant& grant : grants) {
    onGrant(server, number, requestedAt, grant, now, decisions);
  }
  return decisions;
}

void QuotaClient::onGrant(const Endpoint& server, std::uint64_t number, Moment requestedAt,
                          const TenantGrant& grant, Moment now, std::vector<TokenDecision>& decisions) {
  const auto found = tenants_.find(grant.tenant);
  if (found == tenants_.end()) {
    return;
  }
  TenantState& state = found->second;
  const bool awaited = state.pending && state.pending->number == number && state.pending->server == server;
  for (std::uint32_t token = 0; token < grant.granted; ++token) {
    state.tokens.push_back({server, requestedAt});
  }
  dropExpired(state, now);
  serveWaiting(grant.tenant, state, now, decisions);
  // Left over if the reply arrived late and the requests were decided on another server's reply.
  while (state.tokens.size() > prefetchLimit_) {
    release(grant.tenant, state.tokens.back(), now);
    state.tokens.pop_back();
  }
  if (!awaited) {
    return;
  }
  const bool cannotGrant = state.pending->wanted > 0 && grant.granted == 0 && grant.retryAfter == Duration{};
  if (state.waiting.empty() || !cannotGrant) {
    state.pending.reset();
    pendingTenants_.erase(grant.tenant);
    state.tried.clear();
  }
  if (!state.waiting.empty() && cannotGrant) {
    tryNextServer(grant.tenant, state, now, decisions);
  } else if (grant.retryAfter > Duration{}) {
    state.nextTokenAt = now + grant.retryAfter;
    state.refuseUntil = now + std::clamp(grant.retryAfter, kMinRefusalCacheTime, kMaxRefusalCacheTime);
    state.refusedSinceReply = 0;
    state.prefetchDue = false;
    refuseWaiting(grant.tenant, state, RefusalCause::kNoTokens, now, decisions);
  }
  if (!state.waiting.empty() || state.prefetchDue) {
    dueTenants_.insert(grant.tenant);
  }
}

void QuotaClient::serveWaiting(const std::string& tenant, TenantState& state, Moment now,
                               std::vector<TokenDecision>& decisions) {
  while (!state.waiting.empty() && !state.tokens.empty()) {
    const Waiter waiter = state.waiting.front();
    decisions.push_back({waiter.ticket, tenant, state.tokens.front(), now - waiter.arrivedAt});
    state.waiting.pop_front();
    state.tokens.pop_front();
    ++counters_.granted;
    recordUse(tenant, state, now);
  }
}

void QuotaClient::refuseWaiting(const std::string& tenant, TenantState& state, RefusalCause cause, Moment now,
                                std::vector<TokenDecision>& decisions) {
  for (const Waiter& waiter : std::exchange(state.waiting, {})) {
    decisions.push_back({waiter.ticket, tenant, refuse(state, cause, now), now - waiter.arrivedAt});
  }
  state.tried.clear();
}

void QuotaClient::tryNextServer(const std::string& tenant, TenantState& state, Moment now,
                                std::vector<TokenDecision>& decisions) {
  if (state.pending) {
    state.tried.push_back(state.pending->server);
    state.pending.reset();
    pendingTenants_.erase(tenant);
    selector_.scheduleCandidateProbes(tenant, now);
  }
  if (state.waiting.empty()) {
    state.tried.clear();
  } else if (nextServer(tenant, state, now)) {
    dueTenants_.insert(tenant);
  } else {
    counters_.refusedUnanswered += state.waiting.size();
    state.nextTokenAt = now + kUnansweredRetryAfter;
    state.refusedSinceReply = 0;
    refuseWaiting(tenant, state, RefusalCause::kUnanswered, now, decisions);
  }
}

std::vector<TokenDecision> QuotaClient::onSendFailed(std::uint64_t number, Moment now) {
  std::vector<TokenDecision> decisions;
  framesSentAt_.erase(number);
  const std::vector<std::string> pending(pendingTenants_.begin(), pendingTenants_.end());
  for (const std::string& tenant : pending) {
    TenantState& state = tenants_[tenant];
    if (state.pending && state.pending->number == number) {
      ++counters_.unanswered;
      selector_.onUnreachable(state.pending->server, now);
      tryNextServer(tenant, state, now, decisions);
    }
  }
  return decisions;
}

std::vector<TokenDecision> QuotaClient::onTimer(Moment now) {
  std::vector<TokenDecision> decisions;
  const std::vector<std::string> pending(pendingTenants_.begin(), pendingTenants_.end());
  for (const std::string& tenant : pending) {
    TenantState& state = tenants_[tenant];
    if (state.pending && now - state.pending->requestedAt >= kQuotaServerTimeout) {
      ++counters_.unanswered;
      tryNextServer(tenant, state, now, decisions);
    }
  }
  while (!framesSentAt_.empty() && now - framesSentAt_.begin()->second > kReplyLifetime) {
    framesSentAt_.erase(framesSentAt_.begin());
  }
  return decisions;
}

Moment QuotaClient::nextDueAt() const {
  Moment next = kNever;
  for (const std::string& tenant : pendingTenants_) {
    const auto found = tenants_.find(tenant);
    if (found != tenants_.end() && found->second.pending) {
      next = std::min(next, found->second.pending->requestedAt + kQuotaServerTimeout);
    }
  }
  return next;
}

void QuotaClient::dropIdle(Moment now) {
  for (auto entry = tenants_.begin(); entry != tenants_.end();) {
    const TenantState& state = entry->second;
    const bool idle =
        !state.pending && state.waiting.empty() && now >= state.refuseUntil && now - state.lastUsedAt > kIdle;
    entry = idle ? tenants_.erase(entry) : std::next(entry);
  }
}

std::size_t QuotaClient::prefetchedTokens() const {
  std::size_t count = 0;
  for (const auto& [tenant, state] : tenants_) {
    count += state.tokens.size();
  }
  return count;
}

}  // namespace oakpier::serving
