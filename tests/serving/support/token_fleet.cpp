#include "serving/support/token_fleet.h"

#include <algorithm>
#include <utility>

namespace oakpier::serving {

namespace {

/// The membership's: a daemon is suspected after a probe, one each second, and dead some seconds later.
constexpr int kSuspectedFromMilliseconds = 300;
constexpr int kSuspectedUntilMilliseconds = 2000;
constexpr int kDeadAfterMilliseconds = 6000;
constexpr int kFoundFromMilliseconds = 200;
constexpr int kFoundUntilMilliseconds = 1500;
/// As in `MembershipStabilization`.
constexpr Duration kSettled = std::chrono::milliseconds(1500);
constexpr std::size_t kUsualFleet = 12;

}  // namespace

TokenFleet::Daemon::Daemon(const Endpoint& address, const TokenFleetSettings& settings, RandomEngine& random)
    : self(address), homes(address), holder(homes, random, settings.advance) {
  holder.setTolerance(settings.tolerance);
  home.setTolerance(settings.tolerance);
}

TokenFleet::TokenFleet(const TokenFleetSettings& settings)
    : settings_(settings),
      random_(settings.seed),
      daemons_(settings.daemons),
      pieces_(settings.daemons, 0),
      notices_(settings.daemons, std::vector<std::uint64_t>(settings.daemons, 0)) {
  for (std::size_t number = 0; number < settings.daemons; ++number) {
    daemons_[number] = std::make_unique<Daemon>(addressOf(number), settings_, random_);
    daemons_[number]->run = ++runs_;
    daemons_[number]->settled = true;
    daemons_[number]->known.assign(settings.daemons, true);
    daemons_[number]->suspected.assign(settings.daemons, false);
    publish(number);
  }
}

void TokenFleet::at(Moment moment, std::function<void()> action) {
  queue_.push(Event{moment, ++events_, std::move(action)});
}

void TokenFleet::run(Moment until) {
  while (!queue_.empty() && queue_.top().at <= until) {
    const Event event = queue_.top();
    queue_.pop();
    now_ = std::max(now_, event.at);
    event.action();
  }
  now_ = until;
}

Duration TokenFleet::drawBetween(int fromMilliseconds, int toMilliseconds) {
  const double milliseconds = fromMilliseconds + draw() * (toMilliseconds - fromMilliseconds);
  return Duration(static_cast<std::int64_t>(milliseconds * 1000));
}

bool TokenFleet::reaches(std::size_t from, std::size_t to) const {
  return daemons_[to] != nullptr && pieces_[from] == pieces_[to];
}

void TokenFleet::publish(std::size_t number) {
  Daemon& daemon = *daemons_[number];
  std::vector<ServingDaemon> serving;
  std::vector<Endpoint> suspected;
  for (std::size_t other = 0; other < daemons_.size(); ++other) {
    if (daemon.known[other]) {
      serving.emplace_back(addressOf(other));
      if (daemon.suspected[other]) {
        suspected.push_back(addressOf(other));
      }
    }
  }
  const std::size_t planned = daemon.settled ? serving.size() : std::max(serving.size(), kUsualFleet);
  const std::size_t answering = serving.size() - suspected.size();
  daemon.homes.setDaemons(std::move(serving));
  daemon.homes.setSuspected(suspected, now_);
  daemon.share.onDaemons(answering, planned, daemon.settled, now_);
}

void TokenFleet::notice(std::size_t daemon, std::size_t other, bool reachable) {
  if (daemon == other || daemons_[daemon] == nullptr) {
    return;
  }
  const std::uint64_t number = ++notices_[daemon][other];
  const auto later = [this, daemon, other, number, run = daemons_[daemon]->run](Moment moment, bool known,
                                                                                bool suspected) {
    at(moment, [=] {
      if (notices_[daemon][other] == number && daemons_[daemon] != nullptr && daemons_[daemon]->run == run) {
        daemons_[daemon]->known[other] = known;
        daemons_[daemon]->suspected[other] = suspected;
        publish(daemon);
      }
    });
  };
  if (reachable) {
    later(now_ + drawBetween(kFoundFromMilliseconds, kFoundUntilMilliseconds), true, false);
  } else {
    const Moment suspected = now_ + drawBetween(kSuspectedFromMilliseconds, kSuspectedUntilMilliseconds);
    later(suspected, true, true);
    later(suspected + std::chrono::milliseconds(kDeadAfterMilliseconds), false, false);
  }
}

void TokenFleet::kill(std::size_t daemon) {
  for (const auto& [ticket, request] : daemons_[daemon]->waiting) {
    requests_[request.first][request.second].granted = true;  // Its caller got no refusal.
  }
  daemons_[daemon].reset();
  for (std::size_t other = 0; other < daemons_.size(); ++other) {
    notice(other, daemon, false);
  }
}

void TokenFleet::start(std::size_t number) {
  daemons_[number] = std::make_unique<Daemon>(addressOf(number), settings_, random_);
  Daemon& daemon = *daemons_[number];
  daemon.run = ++runs_;
  daemon.known.assign(daemons_.size(), false);
  daemon.known[number] = true;
  daemon.suspected.assign(daemons_.size(), false);
  publish(number);
  for (std::size_t other = 0; other < daemons_.size(); ++other) {
    if (reaches(number, other)) {
      notice(number, other, true);
      notice(other, number, true);
    }
  }
  at(now_ + kSettled, [this, number, run = daemon.run] {
    if (daemons_[number] != nullptr && daemons_[number]->run == run) {
      daemons_[number]->settled = true;
      publish(number);
    }
  });
}

void TokenFleet::cut(const std::vector<std::size_t>& pieces) {
  const std::vector<std::size_t> before = std::exchange(pieces_, pieces);
  for (std::size_t one = 0; one < daemons_.size(); ++one) {
    for (std::size_t other = 0; other < daemons_.size(); ++other) {
      const bool together = pieces_[one] == pieces_[other];
      if (daemons_[other] != nullptr && together != (before[one] == before[other])) {
        notice(one, other, together);
      }
    }
  }
}

void TokenFleet::heal() { cut(std::vector<std::size_t>(daemons_.size(), 0)); }

std::size_t TokenFleet::homeOf(const std::string& tenant) const {
  std::vector<ServingDaemon> all;
  for (std::size_t number = 0; number < daemons_.size(); ++number) {
    all.emplace_back(addressOf(number));
  }
  return numberOf(rankHomes(tenant, all).front());
}

void TokenFleet::load(const std::string& tenant, double perSecond, Moment from, Moment until,
                      const std::vector<std::size_t>& daemons) {
  std::exponential_distribution<double> pause(perSecond);
  for (Moment moment = from;;) {
    moment += Duration(static_cast<std::int64_t>(pause(random_) * 1e6));
    if (moment >= until) {
      return;
    }
    const std::size_t daemon =
        daemons.empty() ? drawBelow(daemons_.size(), random_) : daemons[drawBelow(daemons.size(), random_)];
    at(moment, [this, tenant, daemon] { arrive(tenant, daemon); });
  }
}

void TokenFleet::arrive(const std::string& tenant, std::size_t number) {
  if (daemons_[number] == nullptr) {
    return;
  }
  Daemon& daemon = *daemons_[number];
  Request request;
  request.at = now_;
  request.daemon = number;
  const std::size_t place = requests_[tenant].size();
  requests_[tenant].push_back(request);
  const TokenOutcome outcome = daemon.holder.take(tenant, limits_.at(tenant), now_);
  if (const auto* pending = std::get_if<TokenPending>(&outcome)) {
    daemon.waiting[pending->ticket] = {tenant, place};
  } else if (const auto* token = std::get_if<Token>(&outcome)) {
    settle(tenant, number, place, *token);
  } else {
    settle(tenant, number, place, std::get<TokenRefusal>(outcome));
  }
  flush(number);
}

void TokenFleet::settle(const std::string& tenant, std::size_t daemon, std::size_t place,
                        const std::variant<Token, TokenRefusal>& decision) {
  Request& request = requests_[tenant][place];
  request.waited = now_ - request.at;
  if (const auto* refusal = std::get_if<TokenRefusal>(&decision)) {
    request.retryAfter = refusal->retryAfter;
    request.refusal = refusal->cause;
    return;
  }
  request.granted = true;
  request.ran = draw() >= settings_.ranNowhere;
  if (request.ran) {
    request.at = now_;
    return;
  }
  at(now_ + drawBetween(0, 300),
     [this, tenant, daemon, token = std::get<Token>(decision), run = daemons_[daemon]->run] {
       if (daemons_[daemon] != nullptr && daemons_[daemon]->run == run) {
         daemons_[daemon]->holder.giveBack(tenant, token, now_);
         flush(daemon);
       }
     });
}

void TokenFleet::decide(std::size_t daemon, const std::vector<TokenDecision>& decisions) {
  for (const TokenDecision& decision : decisions) {
    const auto found = daemons_[daemon]->waiting.find(decision.ticket);
    if (found != daemons_[daemon]->waiting.end()) {
      const auto [tenant, place] = found->second;
      daemons_[daemon]->waiting.erase(found);
      settle(tenant, daemon, place, decision.decision);
    }
  }
}

std::vector<TokenGrantDecision> TokenFleet::grant(Daemon& daemon, const std::vector<TokenWish>& wishes) {
  daemon.home.setSeen(daemon.share.seen(now_), daemon.settled);
  std::vector<TokenGrantDecision> grants;
  const std::size_t number = numberOf(daemon.self);
  for (const TokenWish& wish : wishes) {
    for (const Endpoint& ahead : daemon.homes.takeProbesAhead(wish.tenant, now_)) {
      askForSignOfLife(number, ahead);
    }
    if (auto decision =
            daemon.home.onWish(wish, limits_.at(wish.tenant), daemon.homes.placeOfSelf(wish.tenant), now_)) {
      grants.push_back(std::move(*decision));
    }
  }
  return grants;
}

void TokenFleet::flush(std::size_t number) {
  Daemon& daemon = *daemons_[number];
  for (auto asks = daemon.holder.takeAsks(now_); !asks.empty(); asks = daemon.holder.takeAsks(now_)) {
    for (const TokenAsk& ask : asks) {
      if (ask.home == daemon.self) {
        decide(number, daemon.holder.onGrants(daemon.self, ask.number, grant(daemon, ask.wishes), now_));
        continue;
      }
      carry(number, numberOf(ask.home), [this, number, run = daemon.run, ask](Daemon& home) {
        answer(numberOf(home.self), number, run, ask);
      });
    }
  }
  for (const Endpoint& silent : daemon.homes.takeProbes(now_)) {
    askForSignOfLife(number, silent);
  }
  armTimer(number);
}

void TokenFleet::askForSignOfLife(std::size_t number, const Endpoint& other) {
  carry(number, numberOf(other), [this, number, run = daemons_[number]->run, other](Daemon& home) {
    answer(numberOf(home.self), number, run, TokenAsk{other, 0, {}});
  });
}

void TokenFleet::answer(std::size_t number, std::size_t asker, std::uint64_t askerRun, const TokenAsk& ask) {
  Daemon& daemon = *daemons_[number];
  daemon.homes.onHeard(addressOf(asker), now_);
  std::vector<TokenGrantDecision> grants;
  if (!ask.wishes.empty()) {
    if (!daemon.home.takeFrame(addressOf(asker), askerRun, ask.number, now_)) {
      return;
    }
    grants = grant(daemon, ask.wishes);
    if (grants.empty()) {
      return;
    }
  }
  carry(number, asker, [this, number, asker, askerRun, ask, grants](Daemon& holder) {
    if (holder.run == askerRun) {
      decide(asker, holder.holder.onGrants(addressOf(number), ask.number, grants, now_));
      flush(asker);
    }
  });
}

void TokenFleet::carry(std::size_t from, std::size_t to, const std::function<void(Daemon&)>& deliver) {
  ++frames;
  if (!reaches(from, to)) {
    return;
  }
  const int copies = draw() < settings_.twice ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (draw() < settings_.lost) {
      continue;
    }
    const Duration delay = draw() < settings_.late ? drawBetween(50, 400) : drawBetween(1, 2);
    at(now_ + delay, [this, to, from, deliver] {
      if (reaches(from, to)) {
        deliver(*daemons_[to]);
      }
    });
  }
}

void TokenFleet::armTimer(std::size_t number) {
  const Moment next = daemons_[number]->holder.nextTimeAt();
  if (next == kNever) {
    return;
  }
  at(next, [this, number, run = daemons_[number]->run] {
    if (daemons_[number] != nullptr && daemons_[number]->run == run &&
        daemons_[number]->holder.nextTimeAt() <= now_) {
      decide(number, daemons_[number]->holder.onTime(now_));
      flush(number);
    }
  });
}

std::size_t TokenFleet::mostInWindow(const std::string& tenant) {
  std::vector<Moment> ran;
  for (const Request& request : requests_[tenant]) {
    if (request.ran) {
      ran.push_back(request.at);
    }
  }
  std::sort(ran.begin(), ran.end());
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < ran.size(); ++last) {
    while (ran[last] - ran[first] >= settings_.tolerance.window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

std::size_t TokenFleet::refused(const std::string& tenant) {
  const auto& requests = requests_[tenant];
  return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(),
                                                [](const Request& request) { return !request.granted; }));
}

std::size_t TokenFleet::refusedInError(const std::string& tenant, const TenantLimit& limit) {
  return errorsOf(tenant, limit).size();
}

std::vector<TokenFleet::Request> TokenFleet::errorsOf(const std::string& tenant, const TenantLimit& limit) {
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

TokenHolderCounters TokenFleet::holderCounters() const {
  TokenHolderCounters sum;
  for (const auto& daemon : daemons_) {
    if (daemon != nullptr) {
      const TokenHolderCounters& counters = daemon->holder.counters();
      sum.asks += counters.asks;
      sum.granted += counters.granted;
      sum.grantedAtOnce += counters.grantedAtOnce;
      sum.refused += counters.refused;
      sum.refusedAtOnce += counters.refusedAtOnce;
      sum.refusedUnanswered += counters.refusedUnanswered;
      sum.lapsed += counters.lapsed;
    }
  }
  return sum;
}

}  // namespace oakpier::serving
