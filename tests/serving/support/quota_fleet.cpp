#include "serving/support/quota_fleet.h"

#include <algorithm>
#include <utility>

namespace oakpier::serving {

QuotaFleet::Daemon::Daemon(const Endpoint& address, const QuotaFleetSettings& settings, RandomEngine& random)
    : self(address), selector(address), client(selector, random, settings.prefetchLimit) {
  client.setTolerance(settings.tolerance);
  server.setTolerance(settings.tolerance);
}

QuotaFleet::QuotaFleet(const QuotaFleetSettings& settings)
    : settings_(settings),
      random_(settings.seed),
      daemons_(settings.daemons),
      sides_(settings.daemons, 0),
      detections_(settings.daemons, std::vector<std::uint64_t>(settings.daemons, 0)) {
  for (std::size_t number = 0; number < settings.daemons; ++number) {
    daemons_[number] = std::make_unique<Daemon>(addressOf(number), settings_, random_);
    daemons_[number]->runId = ++lastRunId_;
    daemons_[number]->membershipStable = true;
    daemons_[number]->known.assign(settings.daemons, true);
    daemons_[number]->suspected.assign(settings.daemons, false);
    applyMembership(number);
    showActivity(number, daemons_[number]->runId);
  }
}

void QuotaFleet::at(Moment moment, std::function<void()> action) {
  queue_.push(Event{moment, ++events_, std::move(action)});
}

void QuotaFleet::run(Moment until) {
  while (!queue_.empty() && queue_.top().at <= until) {
    const Event event = queue_.top();
    queue_.pop();
    now_ = std::max(now_, event.at);
    event.action();
  }
  now_ = until;
}

Duration QuotaFleet::drawBetween(int fromMilliseconds, int toMilliseconds) {
  const double milliseconds = fromMilliseconds + draw() * (toMilliseconds - fromMilliseconds);
  return Duration(static_cast<std::int64_t>(milliseconds * 1000));
}

bool QuotaFleet::reaches(std::size_t from, std::size_t to) const {
  return daemons_[to] != nullptr && sides_[from] == sides_[to];
}

void QuotaFleet::runIn(std::size_t number, std::uint64_t runId, std::function<void()> action) {
  if (daemons_[number] == nullptr || daemons_[number]->runId != runId) {
    return;
  }
  if (daemons_[number]->suspended) {
    daemons_[number]->deferred.push_back(
        [this, number, runId, action = std::move(action)] { runIn(number, runId, action); });
    return;
  }
  action();
}

std::vector<std::size_t> QuotaFleet::serversOf(const std::string& tenant) const {
  std::vector<ServingDaemon> all;
  for (std::size_t number = 0; number < daemons_.size(); ++number) {
    all.emplace_back(addressOf(number));
  }
  std::vector<std::size_t> servers;
  for (const Endpoint& server : rankQuotaServers(tenant, all)) {
    servers.push_back(numberOf(server));
  }
  return servers;
}

void QuotaFleet::addLoad(const std::string& tenant, double perSecond, Moment from, Moment until,
                         const std::vector<std::size_t>& daemons) {
  std::exponential_distribution<double> pause(perSecond);
  for (Moment moment = from;;) {
    moment += Duration(static_cast<std::int64_t>(pause(random_) * 1e6));
    if (moment >= until) {
      return;
    }
    const std::size_t daemon =
        daemons.empty() ? drawBelow(daemons_.size(), random_) : daemons[drawBelow(daemons.size(), random_)];
    at(moment, [this, tenant, daemon] {
      if (daemons_[daemon] != nullptr) {
        runIn(daemon, daemons_[daemon]->runId, [this, tenant, daemon] { onArrival(tenant, daemon); });
      }
    });
  }
}

void QuotaFleet::onArrival(const std::string& tenant, std::size_t number) {
  if (daemons_[number] == nullptr) {
    return;
  }
  Daemon& daemon = *daemons_[number];
  Request request;
  request.at = now_;
  request.daemon = number;
  const std::size_t index = requests_[tenant].size();
  requests_[tenant].push_back(request);
  const TokenOutcome outcome = daemon.client.take(tenant, limits_.at(tenant), now_);
  if (const auto* pending = std::get_if<TokenPending>(&outcome)) {
    daemon.waiting[pending->ticket] = {tenant, index};
  } else if (const auto* token = std::get_if<Token>(&outcome)) {
    complete(tenant, number, index, *token);
  } else {
    complete(tenant, number, index, std::get<TokenRefusal>(outcome));
  }
  sendDue(number);
}

void QuotaFleet::complete(const std::string& tenant, std::size_t daemon, std::size_t index,
                          const std::variant<Token, TokenRefusal>& decision) {
  Request& request = requests_[tenant][index];
  request.waited = now_ - request.at;
  if (const auto* refusal = std::get_if<TokenRefusal>(&decision)) {
    request.retryAfter = refusal->retryAfter;
    request.refusal = refusal->cause;
    return;
  }
  request.granted = true;
  request.ran = draw() >= settings_.ranOnNoLeaf;
  if (request.ran) {
    request.at = now_;
    return;
  }
  at(now_ + drawBetween(0, 300),
     [this, tenant, daemon, token = std::get<Token>(decision), runId = daemons_[daemon]->runId] {
       if (daemons_[daemon] != nullptr && daemons_[daemon]->runId == runId) {
         daemons_[daemon]->client.release(tenant, token, now_);
         sendDue(daemon);
       }
     });
}

void QuotaFleet::completeAll(std::size_t daemon, const std::vector<TokenDecision>& decisions) {
  for (const TokenDecision& decision : decisions) {
    const auto found = daemons_[daemon]->waiting.find(decision.ticket);
    if (found != daemons_[daemon]->waiting.end()) {
      const auto [tenant, index] = found->second;
      daemons_[daemon]->waiting.erase(found);
      complete(tenant, daemon, index, decision.decision);
    }
  }
}

std::vector<TenantGrant> QuotaFleet::grant(Daemon& daemon,
                                           const std::vector<TenantTokenRequest>& tenantRequests) {
  daemon.server.onActivity(now_);
  daemon.visibility.setReachability(daemon.selector.reachability(now_));
  daemon.server.setVisibleFraction(daemon.visibility.visibleFraction(now_), membershipStable(daemon));
  daemon.server.setReachableFraction(daemon.visibility.reachableFraction(now_));
  std::vector<TenantGrant> grants;
  const std::size_t number = numberOf(daemon.self);
  for (const TenantTokenRequest& tenantRequest : tenantRequests) {
    for (const Endpoint& other : daemon.selector.takeServerProbes(tenantRequest.tenant, now_)) {
      sendProbe(number, other);
    }
    if (auto decision = daemon.server.onRequest(tenantRequest, limits_.at(tenantRequest.tenant),
                                                daemon.selector.rankOfSelf(tenantRequest.tenant), now_)) {
      grants.push_back(std::move(*decision));
    }
  }
  return grants;
}

void QuotaFleet::sendDue(std::size_t number) {
  Daemon& daemon = *daemons_[number];
  for (auto requests = daemon.client.takeRequests(now_); !requests.empty();
       requests = daemon.client.takeRequests(now_)) {
    for (const OutgoingTokenRequest& request : requests) {
      if (request.server == daemon.self) {
        completeAll(number, daemon.client.onGrants(daemon.self, request.number,
                                                   grant(daemon, request.tenantRequests), now_));
        continue;
      }
      send(number, numberOf(request.server), [this, number, runId = daemon.runId, request](Daemon& receiver) {
        answer(numberOf(receiver.self), number, runId, request);
      });
    }
  }
  for (const Endpoint& unresponsive : daemon.selector.takeDueProbes(now_)) {
    sendProbe(number, unresponsive);
  }
  armTimer(number);
}

void QuotaFleet::sendProbe(std::size_t number, const Endpoint& other) {
  send(number, numberOf(other), [this, number, runId = daemons_[number]->runId, other](Daemon& receiver) {
    answer(numberOf(receiver.self), number, runId, OutgoingTokenRequest{other, 0, {}});
  });
}

void QuotaFleet::answer(std::size_t number, std::size_t requester, std::uint64_t requesterRunId,
                        const OutgoingTokenRequest& request) {
  Daemon& daemon = *daemons_[number];
  daemon.selector.onReceived(addressOf(requester), now_);
  std::vector<TenantGrant> grants;
  if (!request.tenantRequests.empty()) {
    if (!daemon.server.acceptFrame(addressOf(requester), requesterRunId, request.number, now_)) {
      return;
    }
    grants = grant(daemon, request.tenantRequests);
    if (grants.empty()) {
      return;
    }
  }
  send(number, requester, [this, number, requester, requesterRunId, request, grants](Daemon& sender) {
    if (sender.runId == requesterRunId) {
      completeAll(requester, sender.client.onGrants(addressOf(number), request.number, grants, now_));
      sendDue(requester);
    }
  });
}

void QuotaFleet::send(std::size_t from, std::size_t to, const std::function<void(Daemon&)>& deliver) {
  ++frames;
  if (!reaches(from, to)) {
    return;
  }
  const int copies = draw() < settings_.duplicated ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (draw() < settings_.lost) {
      continue;
    }
    const Duration delay = draw() < settings_.delayed ? drawBetween(50, 400) : drawBetween(1, 2);
    at(now_ + delay, [this, to, from, deliver] {
      if (reaches(from, to)) {
        runIn(to, daemons_[to]->runId, [this, to, deliver] { deliver(*daemons_[to]); });
      }
    });
  }
}

void QuotaFleet::showActivity(std::size_t number, std::uint64_t runId) {
  at(now_ + kActivityInterval, [this, number, runId] {
    runIn(number, runId, [this, number, runId] {
      daemons_[number]->server.onActivity(now_);
      showActivity(number, runId);
    });
  });
}

void QuotaFleet::armTimer(std::size_t number) {
  const Moment next = daemons_[number]->client.nextDueAt();
  if (next == kNever) {
    return;
  }
  at(next, [this, number, runId = daemons_[number]->runId] {
    runIn(number, runId, [this, number] {
      if (daemons_[number]->client.nextDueAt() <= now_) {
        completeAll(number, daemons_[number]->client.onTimer(now_));
        sendDue(number);
      }
    });
  });
}

std::size_t QuotaFleet::maxInWindow(const std::string& tenant) {
  std::vector<Moment> ran;
  for (const Request& request : requests_[tenant]) {
    if (request.ran) {
      ran.push_back(request.at);
    }
  }
  std::sort(ran.begin(), ran.end());
  std::size_t maximum = 0;
  for (std::size_t first = 0, last = 0; last < ran.size(); ++last) {
    while (ran[last] - ran[first] >= settings_.tolerance.window) {
      ++first;
    }
    maximum = std::max(maximum, last - first + 1);
  }
  return maximum;
}

std::size_t QuotaFleet::refused(const std::string& tenant) {
  const auto& requests = requests_[tenant];
  return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(),
                                                [](const Request& request) { return !request.granted; }));
}

std::size_t QuotaFleet::wronglyRefused(const std::string& tenant, const TenantLimit& limit) {
  return wrongRefusals(tenant, limit).size();
}

std::vector<QuotaFleet::Request> QuotaFleet::wrongRefusals(const std::string& tenant,
                                                           const TenantLimit& limit) {
  double level = limit.burst;
  Moment countedAt{};
  std::vector<Request> errors;
  for (const Request& request : requests_[tenant]) {
    const double passed = std::chrono::duration<double>(request.at - countedAt).count();
    countedAt = std::max(countedAt, request.at);
    level = std::min(limit.burst, level + std::max(0.0, passed) * limit.perSecond);
    if (level >= 1) {
      level -= 1;
      if (!request.granted) {
        errors.push_back(request);
      }
    }
  }
  return errors;
}

QuotaClientCounters QuotaFleet::clientCounters() const {
  QuotaClientCounters sum;
  for (const auto& daemon : daemons_) {
    if (daemon != nullptr) {
      const QuotaClientCounters& counters = daemon->client.counters();
      sum.requests += counters.requests;
      sum.granted += counters.granted;
      sum.grantedImmediately += counters.grantedImmediately;
      sum.refused += counters.refused;
      sum.refusedImmediately += counters.refusedImmediately;
      sum.refusedUnanswered += counters.refusedUnanswered;
      sum.expired += counters.expired;
    }
  }
  return sum;
}

}  // namespace oakpier::serving
