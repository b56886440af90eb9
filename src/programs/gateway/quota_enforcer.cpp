#include "programs/gateway/quota_enforcer.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "programs/common/logging.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

/// A frame that takes longer is useless: the request has been decided by then.
constexpr std::uint32_t kFrameLifetimeMilliseconds = 100;
constexpr Duration kCleanupPeriod = std::chrono::seconds(1);
/// Rate limit and burst size of log lines about refusals.
constexpr double kLogLinesPerSecond = 20;

std::uint64_t microsecondsOf(Duration duration) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count()));
}

/// Longer waits in a frame are invalid; clamping them keeps them within the range of `Duration`.
constexpr std::uint64_t kMaxWaitMicroseconds = 3'600'000'000;

}  // namespace

QuotaEnforcer::QuotaEnforcer(boost::asio::io_context& io, RandomEngine& random, const Endpoint& self,
                             SendFrame sendFrame)
    : io_(io),
      self_(self),
      sendFrame_(std::move(sendFrame)),
      runId_(random()),
      serverSelector_(self),
      client_(serverSelector_, random),
      timer_(io),
      cleanupTimer_(io),
      activityTimer_(io),
      logTokens_(kLogLinesPerSecond) {}

void QuotaEnforcer::setTolerance(const QuotaTolerance& tolerance) {
  client_.setTolerance(tolerance);
  server_.setTolerance(tolerance);
}

void QuotaEnforcer::setTenants(std::shared_ptr<const TenantTable> tenants) { tenants_ = std::move(tenants); }

void QuotaEnforcer::setDaemons(const std::vector<ServingDaemon>& daemons, std::size_t planned,
                               bool membershipStable) {
  serverSelector_.setDaemons(daemons);
  serverSelector_.setMembershipStable(membershipStable);
  plannedDaemons_ = planned;
  membershipStable_ = membershipStable;
  updateVisibility();
}

void QuotaEnforcer::setSuspected(const std::vector<Endpoint>& suspected) {
  suspectedDaemons_ = suspected.size();
  serverSelector_.setSuspected(suspected, steadyNow());
  updateVisibility();
}

void QuotaEnforcer::updateVisibility() {
  const Moment now = steadyNow();
  const std::size_t known = serverSelector_.count();
  const std::size_t alive = known - std::min(known, suspectedDaemons_);
  visibility_.onDaemons(FleetCount{alive, known, plannedDaemons_, membershipStable_}, now);
  server_.setVisibleFraction(visibility_.visibleFraction(now), membershipStable_);
}

void QuotaEnforcer::acquire(const Tenant& tenant, Listener listener) {
  if (!tenant.limit.limited()) {
    listener(QuotaDecision{});
    return;
  }
  const Moment now = steadyNow();
  const TokenOutcome outcome = client_.take(tenant.name, tenant.limit, now);
  scheduleFlush();
  scheduleCleanup();
  if (const auto* pending = std::get_if<TokenPending>(&outcome)) {
    pending_.emplace(pending->ticket, PendingDecision{std::move(listener), now});
  } else if (const auto* token = std::get_if<Token>(&outcome)) {
    listener(QuotaDecision{true, {}, RefusalCause::kNoTokens, *token});
  } else {
    refuse(tenant.name, std::get<TokenRefusal>(outcome), listener, now);
  }
}

void QuotaEnforcer::release(const std::string& tenant, const std::optional<Token>& token) {
  if (token) {
    client_.release(tenant, *token, steadyNow());
    scheduleFlush();
  }
}

void QuotaEnforcer::scheduleFlush() {
  if (!std::exchange(flushScheduled_, true)) {
    boost::asio::post(io_, [this] {
      flushScheduled_ = false;
      flush();
    });
  }
}

void QuotaEnforcer::flush() {
  const Moment now = steadyNow();
  for (auto requests = client_.takeRequests(now); !requests.empty(); requests = client_.takeRequests(now)) {
    for (const OutgoingTokenRequest& outgoing : requests) {
      send(outgoing, now);
    }
  }
  for (const Endpoint& unresponsive : serverSelector_.takeDueProbes(now)) {
    sendProbe(unresponsive, now);
  }
  armTimer();
}

/// A probe requests no tokens, so no caller request waits for its answer.
void QuotaEnforcer::sendProbe(const Endpoint& daemon, Moment now) {
  send(OutgoingTokenRequest{daemon, 0, {}}, now);
}

void QuotaEnforcer::send(const OutgoingTokenRequest& outgoing, Moment now) {
  if (outgoing.server == self_) {
    decide(client_.onGrants(self_, outgoing.number, grant(outgoing.tenantRequests, now), now));
    return;
  }
  PeerEnvelope frame;
  TokenRequest* request = frame.mutable_token_request();
  request->set_sender_run(runId_);
  request->set_number(outgoing.number);
  for (const TenantTokenRequest& tenantRequest : outgoing.tenantRequests) {
    TenantTokens* tokens = request->add_tenants();
    tokens->set_tenant(tenantRequest.tenant);
    tokens->set_wanted(tenantRequest.wanted);
    tokens->set_returned(tenantRequest.returned);
  }
  frame.set_time_to_live_ms(kFrameLifetimeMilliseconds);
  sendFrame_(outgoing.server, std::move(frame));
}

std::vector<TenantGrant> QuotaEnforcer::grant(const std::vector<TenantTokenRequest>& tenantRequests,
                                              Moment now) {
  showActivity(now);
  visibility_.setReachability(serverSelector_.reachability(now));
  server_.setVisibleFraction(visibility_.visibleFraction(now), membershipStable_);
  server_.setReachableFraction(visibility_.reachableFraction(now));
  std::vector<TenantGrant> grants;
  for (const TenantTokenRequest& tenantRequest : tenantRequests) {
    for (const Endpoint& daemon : serverSelector_.takeServerProbes(tenantRequest.tenant, now)) {
      sendProbe(daemon, now);
    }
    const Tenant* tenant = tenants_ == nullptr ? nullptr : tenants_->findByName(tenantRequest.tenant);
    if (tenant == nullptr || !tenant->limit.limited()) {
      // The requester has a different configuration; another quota server may know the tenant.
      grants.push_back(TenantGrant{tenantRequest.tenant, 0, {}});
    } else if (auto decision = server_.onRequest(tenantRequest, tenant->limit,
                                                 serverSelector_.rankOfSelf(tenantRequest.tenant), now)) {
      grants.push_back(std::move(*decision));
    }
  }
  scheduleActivity();
  return grants;
}

void QuotaEnforcer::onRequest(const Endpoint& sender, const TokenRequest& request) {
  const Moment now = steadyNow();
  serverSelector_.onReceived(sender, now);
  std::vector<TenantTokenRequest> tenantRequests;
  for (const TenantTokens& tokens : request.tenants()) {
    tenantRequests.push_back({tokens.tenant(), tokens.wanted(), tokens.returned()});
  }
  const bool needsReply = tenantRequests.empty() || std::any_of(tenantRequests.begin(), tenantRequests.end(),
                                                                [](const TenantTokenRequest& tenantRequest) {
                                                                  return tenantRequest.wantsGrant();
                                                                });
  std::vector<TenantGrant> grants;
  if (!tenantRequests.empty()) {
    if (!server_.acceptFrame(sender, request.sender_run(), request.number(), now)) {
      return;
    }
    grants = grant(tenantRequests, now);
    scheduleCleanup();
  }
  if (!needsReply) {
    return;
  }
  PeerEnvelope frame;
  TokenReply* reply = frame.mutable_token_reply();
  reply->set_receiver_run(request.sender_run());
  reply->set_number(request.number());
  for (const TenantGrant& decision : grants) {
    TokenGrant* grant = reply->add_grants();
    grant->set_tenant(decision.tenant);
    grant->set_granted(decision.granted);
    grant->set_retry_after_us(microsecondsOf(decision.retryAfter));
  }
  frame.set_time_to_live_ms(kFrameLifetimeMilliseconds);
  sendFrame_(sender, std::move(frame));
}

void QuotaEnforcer::onReply(const Endpoint& sender, const TokenReply& reply) {
  if (reply.receiver_run() != runId_) {
    return;
  }
  std::vector<TenantGrant> grants;
  for (const TokenGrant& grant : reply.grants()) {
    const std::uint64_t wait = std::min(grant.retry_after_us(), kMaxWaitMicroseconds);
    grants.push_back({grant.tenant(), grant.granted(), Duration(static_cast<std::int64_t>(wait))});
  }
  decide(client_.onGrants(sender, reply.number(), grants, steadyNow()));
  flush();
}

void QuotaEnforcer::onUndeliverable(const TokenRequest& request) {
  if (request.sender_run() == runId_) {
    decide(client_.onSendFailed(request.number(), steadyNow()));
    flush();
  }
}

void QuotaEnforcer::decide(const std::vector<TokenDecision>& decisions) {
  for (const TokenDecision& decision : decisions) {
    const auto found = pending_.find(decision.ticket);
    if (found == pending_.end()) {
      continue;
    }
    const Listener listener = std::move(found->second.listener);
    pending_.erase(found);
    waits_.record(decision.waited);
    if (const auto* token = std::get_if<Token>(&decision.decision)) {
      listener(QuotaDecision{true, {}, RefusalCause::kNoTokens, *token});
    } else {
      refuse(decision.tenant, std::get<TokenRefusal>(decision.decision), listener, steadyNow());
    }
  }
}

void QuotaEnforcer::refuse(const std::string& tenant, const TokenRefusal& refusal, const Listener& listener,
                           Moment now) {
  logRefusal(tenant, refusal, now);
  listener(QuotaDecision{false, refusal.retryAfter, refusal.cause, std::nullopt});
}

void QuotaEnforcer::logRefusal(const std::string& tenant, const TokenRefusal& refusal, Moment now) {
  const double passed = std::chrono::duration<double>(now - logTokensRefilledAt_).count();
  logTokens_ = std::min(kLogLinesPerSecond, logTokens_ + passed * kLogLinesPerSecond);
  logTokensRefilledAt_ = now;
  if (logTokens_ < 1) {
    ++logLinesSuppressed_;
    return;
  }
  logTokens_ -= 1;
  std::vector<LogField> fields = {{"tenant", tenant}, {"retry_after_ms", toMilliseconds(refusal.retryAfter)}};
  const std::vector<Endpoint> servers = serverSelector_.candidates(tenant, now);
  if (!servers.empty()) {
    fields.push_back({"home", servers.front().text()});
  }
  if (const auto level = server_.levelOf(tenant)) {
    fields.push_back({"tokens_left", *level});
  }
  const bool unanswered = refusal.cause == RefusalCause::kUnanswered;
  log(LogLevel::kInfo, unanswered ? "no daemon counted for the tenant" : "tenant beyond its limit", fields);
}

void QuotaEnforcer::armTimer() {
  const Moment next = client_.nextDueAt();
  if (next == armedFor_) {
    return;
  }
  armedFor_ = next;
  if (next == kNever) {
    timer_.cancel();
    return;
  }
  setFor(timer_, next);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    armedFor_ = kNever;
    decide(client_.onTimer(steadyNow()));
    flush();
  });
}

void QuotaEnforcer::showActivity(Moment now) {
  const Duration suspended = server_.onActivity(now);
  if (suspended > Duration(0)) {
    log(LogLevel::kWarning, "quota server was suspended, its buckets are not refilled for that time",
        {{"suspended_ms", toMilliseconds(suspended)}, {"buckets", server_.buckets()}});
  }
}

void QuotaEnforcer::scheduleActivity() {
  if (server_.buckets() == 0 || std::exchange(activityScheduled_, true)) {
    return;
  }
  activityTimer_.expires_after(kActivityInterval);
  activityTimer_.async_wait([this](const boost::system::error_code& error) {
    activityScheduled_ = false;
    if (error) {
      return;
    }
    showActivity(steadyNow());
    scheduleActivity();
  });
}

void QuotaEnforcer::scheduleCleanup() {
  if (std::exchange(cleanupScheduled_, true)) {
    return;
  }
  cleanupTimer_.expires_after(kCleanupPeriod);
  cleanupTimer_.async_wait([this](const boost::system::error_code& error) {
    cleanupScheduled_ = false;
    if (error) {
      return;
    }
    const Moment now = steadyNow();
    client_.dropIdle(now);
    server_.dropIdle(now);
    if (server_.buckets() > 0 || client_.tenants() > 0) {
      scheduleCleanup();
    }
  });
}

QuotaMetrics QuotaEnforcer::metrics() const {
  return QuotaMetrics{
      client_.counters(), server_.counters(), server_.buckets(), client_.prefetchedTokens(), waits_,
      logLinesSuppressed_};
}

}  // namespace oakpier::serving
