#include "programs/gateway/quota_link.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "programs/common/logging.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

/// A frame that takes longer is useless: the request has been decided by then.
constexpr std::uint32_t kAskLifetimeMilliseconds = 100;
constexpr Duration kUpkeepPeriod = std::chrono::seconds(1);
/// Rate limit and burst size of log lines about refusals.
constexpr double kLogLinesPerSecond = 20;

std::uint64_t microsecondsOf(Duration duration) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count()));
}

/// Longer waits in a frame are invalid; clamping them keeps them within the range of `Duration`.
constexpr std::uint64_t kLongestWaitMicroseconds = 3'600'000'000;

}  // namespace

QuotaLink::QuotaLink(boost::asio::io_context& io, RandomEngine& random, const Endpoint& self,
                     SendFrame sendFrame)
    : io_(io),
      self_(self),
      sendFrame_(std::move(sendFrame)),
      run_(random()),
      homes_(self),
      holder_(homes_, random),
      timer_(io),
      upkeepTimer_(io),
      logRoom_(kLogLinesPerSecond) {}

void QuotaLink::setTolerance(const QuotaTolerance& tolerance) {
  holder_.setTolerance(tolerance);
  home_.setTolerance(tolerance);
}

void QuotaLink::setTenants(std::shared_ptr<const TenantTable> tenants) { tenants_ = std::move(tenants); }

void QuotaLink::setDaemons(const std::vector<ServingDaemon>& daemons, std::size_t planned, bool settled) {
  homes_.setDaemons(daemons);
  planned_ = planned;
  settled_ = settled;
  updateShare();
}

void QuotaLink::setSuspected(const std::vector<Endpoint>& suspected) {
  suspected_ = suspected.size();
  homes_.setSuspected(suspected, steadyNow());
  updateShare();
}

void QuotaLink::updateShare() {
  const Moment now = steadyNow();
  const std::size_t known = homes_.count();
  share_.onDaemons(known - std::min(known, suspected_), planned_, settled_, now);
  home_.setSeen(share_.seen(now), settled_);
}

void QuotaLink::take(const Tenant& tenant, Listener listener) {
  if (!tenant.limit.limited()) {
    listener(QuotaDecision{});
    return;
  }
  const Moment now = steadyNow();
  const TokenOutcome outcome = holder_.take(tenant.name, tenant.limit, now);
  scheduleFlush();
  scheduleUpkeep();
  if (const auto* pending = std::get_if<TokenPending>(&outcome)) {
    waiting_.emplace(pending->ticket, Waiting{std::move(listener), now});
  } else if (const auto* token = std::get_if<Token>(&outcome)) {
    listener(QuotaDecision{true, {}, RefusalCause::kNoTokens, *token});
  } else {
    refuse(tenant.name, std::get<TokenRefusal>(outcome), listener, now);
  }
}

void QuotaLink::giveBack(const std::string& tenant, const std::optional<Token>& token) {
  if (token) {
    holder_.giveBack(tenant, *token, steadyNow());
    scheduleFlush();
  }
}

void QuotaLink::scheduleFlush() {
  if (!std::exchange(flushing_, true)) {
    boost::asio::post(io_, [this] {
      flushing_ = false;
      flush();
    });
  }
}

void QuotaLink::flush() {
  const Moment now = steadyNow();
  for (auto asks = holder_.takeAsks(now); !asks.empty(); asks = holder_.takeAsks(now)) {
    for (const TokenAsk& ask : asks) {
      send(ask, now);
    }
  }
  for (const Endpoint& silent : homes_.takeProbes(now)) {
    askForSignOfLife(silent, now);
  }
  armTimer();
}

/// A probe requests no tokens, so no caller request waits for its answer.
void QuotaLink::askForSignOfLife(const Endpoint& daemon, Moment now) { send(TokenAsk{daemon, 0, {}}, now); }

void QuotaLink::send(const TokenAsk& ask, Moment now) {
  if (ask.home == self_) {
    decide(holder_.onGrants(self_, ask.number, grant(ask.wishes, now), now));
    return;
  }
  PeerEnvelope frame;
  TokenRequest* request = frame.mutable_token_request();
  request->set_sender_run(run_);
  request->set_number(ask.number);
  for (const TokenWish& wish : ask.wishes) {
    TenantTokens* tokens = request->add_tenants();
    tokens->set_tenant(wish.tenant);
    tokens->set_wanted(wish.wanted);
    tokens->set_returned(wish.returned);
  }
  frame.set_time_to_live_ms(kAskLifetimeMilliseconds);
  sendFrame_(ask.home, std::move(frame));
}

std::vector<TokenGrantDecision> QuotaLink::grant(const std::vector<TokenWish>& wishes, Moment now) {
  home_.setSeen(share_.seen(now), settled_);
  std::vector<TokenGrantDecision> grants;
  for (const TokenWish& wish : wishes) {
    for (const Endpoint& ahead : homes_.takeProbesAhead(wish.tenant, now)) {
      askForSignOfLife(ahead, now);
    }
    const Tenant* tenant = tenants_ == nullptr ? nullptr : tenants_->named(wish.tenant);
    if (tenant == nullptr || !tenant->limit.limited()) {
      // The requester has a different configuration; another quota server may know the tenant.
      grants.push_back(TokenGrantDecision{wish.tenant, 0, {}});
    } else if (auto decision = home_.onWish(wish, tenant->limit, homes_.placeOfSelf(wish.tenant), now)) {
      grants.push_back(std::move(*decision));
    }
  }
  return grants;
}

void QuotaLink::onRequest(const Endpoint& sender, const TokenRequest& request) {
  const Moment now = steadyNow();
  homes_.onHeard(sender, now);
  std::vector<TokenWish> wishes;
  for (const TenantTokens& tokens : request.tenants()) {
    wishes.push_back({tokens.tenant(), tokens.wanted(), tokens.returned()});
  }
  const bool asks = wishes.empty() || std::any_of(wishes.begin(), wishes.end(),
                                                  [](const TokenWish& wish) { return wish.asks(); });
  std::vector<TokenGrantDecision> grants;
  if (!wishes.empty()) {
    if (!home_.takeFrame(sender, request.sender_run(), request.number(), now)) {
      return;
    }
    grants = grant(wishes, now);
    scheduleUpkeep();
  }
  if (!asks) {
    return;
  }
  PeerEnvelope frame;
  TokenReply* reply = frame.mutable_token_reply();
  reply->set_receiver_run(request.sender_run());
  reply->set_number(request.number());
  for (const TokenGrantDecision& decision : grants) {
    TokenGrant* grant = reply->add_grants();
    grant->set_tenant(decision.tenant);
    grant->set_granted(decision.granted);
    grant->set_retry_after_us(microsecondsOf(decision.retryAfter));
  }
  frame.set_time_to_live_ms(kAskLifetimeMilliseconds);
  sendFrame_(sender, std::move(frame));
}

void QuotaLink::onReply(const Endpoint& sender, const TokenReply& reply) {
  if (reply.receiver_run() != run_) {
    return;
  }
  std::vector<TokenGrantDecision> grants;
  for (const TokenGrant& grant : reply.grants()) {
    const std::uint64_t wait = std::min(grant.retry_after_us(), kLongestWaitMicroseconds);
    grants.push_back({grant.tenant(), grant.granted(), Duration(static_cast<std::int64_t>(wait))});
  }
  decide(holder_.onGrants(sender, reply.number(), grants, steadyNow()));
  flush();
}

void QuotaLink::onUndeliverable(const TokenRequest& request) {
  if (request.sender_run() == run_) {
    decide(holder_.onUndelivered(request.number(), steadyNow()));
    flush();
  }
}

void QuotaLink::decide(const std::vector<TokenDecision>& decisions) {
  for (const TokenDecision& decision : decisions) {
    const auto found = waiting_.find(decision.ticket);
    if (found == waiting_.end()) {
      continue;
    }
    const Listener listener = std::move(found->second.listener);
    waiting_.erase(found);
    waits_.record(decision.waited);
    if (const auto* token = std::get_if<Token>(&decision.decision)) {
      listener(QuotaDecision{true, {}, RefusalCause::kNoTokens, *token});
    } else {
      refuse(decision.tenant, std::get<TokenRefusal>(decision.decision), listener, steadyNow());
    }
  }
}

void QuotaLink::refuse(const std::string& tenant, const TokenRefusal& refusal, const Listener& listener,
                       Moment now) {
  logRefusal(tenant, refusal, now);
  listener(QuotaDecision{false, refusal.retryAfter, refusal.cause, std::nullopt});
}

void QuotaLink::logRefusal(const std::string& tenant, const TokenRefusal& refusal, Moment now) {
  const double passed = std::chrono::duration<double>(now - logRoomAt_).count();
  logRoom_ = std::min(kLogLinesPerSecond, logRoom_ + passed * kLogLinesPerSecond);
  logRoomAt_ = now;
  if (logRoom_ < 1) {
    ++logLinesLeftOut_;
    return;
  }
  logRoom_ -= 1;
  std::vector<LogField> fields = {{"tenant", tenant}, {"retry_after_ms", toMilliseconds(refusal.retryAfter)}};
  const std::vector<Endpoint> homes = homes_.candidates(tenant, now);
  if (!homes.empty()) {
    fields.push_back({"home", homes.front().text()});
  }
  if (const auto level = home_.levelOf(tenant)) {
    fields.push_back({"tokens_left", *level});
  }
  const bool unanswered = refusal.cause == RefusalCause::kUnanswered;
  log(LogLevel::kInfo, unanswered ? "no daemon counted for the tenant" : "tenant beyond its limit", fields);
}

void QuotaLink::armTimer() {
  const Moment next = holder_.nextTimeAt();
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
    decide(holder_.onTime(steadyNow()));
    flush();
  });
}

void QuotaLink::scheduleUpkeep() {
  if (std::exchange(keepingUp_, true)) {
    return;
  }
  upkeepTimer_.expires_after(kUpkeepPeriod);
  upkeepTimer_.async_wait([this](const boost::system::error_code& error) {
    keepingUp_ = false;
    if (error) {
      return;
    }
    const Moment now = steadyNow();
    holder_.dropIdle(now);
    home_.dropIdle(now);
    if (home_.buckets() > 0 || holder_.tenants() > 0) {
      scheduleUpkeep();
    }
  });
}

QuotaFigures QuotaLink::figures() const {
  return QuotaFigures{holder_.counters(), home_.counters(), home_.buckets(),
                      holder_.held(),     waits_,           logLinesLeftOut_};
}

}  // namespace oakpier::serving
