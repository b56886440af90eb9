#pragma once

/// A fleet of daemons that count tenants' requests, without sockets: frames take some milliseconds and may be
/// lost, come late or twice; daemons end, start again without memory, and are cut off from one another; what
/// each knows of the others follows after the times that the membership takes.

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "coordination/serving/fleet_share.h"
#include "coordination/serving/token_holder.h"
#include "coordination/serving/token_home.h"
#include "coordination/serving/token_homes.h"

namespace oakpier::serving {

struct TokenFleetSettings {
  std::size_t daemons = 20;
  QuotaTolerance tolerance{std::chrono::seconds(5), 0.25, 20};
  std::size_t advance = kAdvance;
  /// Of frames.
  double lost = 0;
  double twice = 0;
  /// Of frames that come up to 0.4 s late.
  double late = 0;
  /// Of requests that run nowhere; their tokens go back.
  double ranNowhere = 0;
  std::uint64_t seed = 1;
};

class TokenFleet {
 public:
  struct Request {
    Moment at{};
    std::size_t daemon = 0;
    bool granted = false;
    bool ran = false;
    Duration waited{};
    Duration retryAfter{};
    RefusalCause refusal = RefusalCause::kNoTokens;
  };

  explicit TokenFleet(const TokenFleetSettings& settings);

  void setLimit(const std::string& tenant, const TenantLimit& limit) { limits_[tenant] = limit; }
  /// Requests at random moments from `from` to `until`, each at one of `daemons` (empty: of all).
  void load(const std::string& tenant, double perSecond, Moment from, Moment until,
            const std::vector<std::size_t>& daemons = {});
  void at(Moment moment, std::function<void()> action);
  void run(Moment until);

  void kill(std::size_t daemon);
  /// Starts again without memory.
  void start(std::size_t daemon);
  /// Each daemon reaches only those of its piece; `pieces` names one for each.
  void cut(const std::vector<std::size_t>& pieces);
  void heal();
  std::size_t homeOf(const std::string& tenant) const;
  std::size_t size() const { return daemons_.size(); }

  const std::vector<Request>& requestsOf(const std::string& tenant) { return requests_[tenant]; }
  /// The most requests that ran in any window.
  std::size_t mostInWindow(const std::string& tenant);
  std::size_t refused(const std::string& tenant);
  /// Refused, though a bucket of the tenant's rate and burst has room for it.
  std::size_t refusedInError(const std::string& tenant, const TenantLimit& limit);
  /// These requests, in the order in which they came.
  std::vector<Request> errorsOf(const std::string& tenant, const TenantLimit& limit);
  TokenHolderCounters holderCounters() const;

  std::uint64_t frames = 0;
  std::uint64_t framesBetween = 0;

 private:
  struct Daemon {
    Daemon(const Endpoint& self, const TokenFleetSettings& settings, RandomEngine& random);

    Endpoint self;
    TokenHomes homes;
    TokenHolder holder;
    TokenHome home;
    FleetShare share;
    std::uint64_t run = 0;
    bool settled = false;
    std::vector<bool> known;
    std::vector<bool> suspected;
    std::map<TokenTicket, std::pair<std::string, std::size_t>> waiting;
  };
  struct Event {
    Moment at{};
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  static Endpoint addressOf(std::size_t daemon) {
    return Endpoint(static_cast<std::uint32_t>(daemon + 1), 9);
  }
  static std::size_t numberOf(const Endpoint& address) {
    return static_cast<std::size_t>(address.packed() >> 16U) - 1;
  }
  bool reaches(std::size_t from, std::size_t to) const;
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  Duration drawBetween(int fromMilliseconds, int toMilliseconds);
  void carry(std::size_t from, std::size_t to, const std::function<void(Daemon&)>& deliver);
  void arrive(const std::string& tenant, std::size_t daemon);
  void settle(const std::string& tenant, std::size_t daemon, std::size_t request,
              const std::variant<Token, TokenRefusal>& decision);
  void decide(std::size_t daemon, const std::vector<TokenDecision>& decisions);
  void flush(std::size_t daemon);
  void askForSignOfLife(std::size_t daemon, const Endpoint& other);
  void answer(std::size_t daemon, std::size_t asker, std::uint64_t askerRun, const TokenAsk& ask);
  std::vector<TokenGrantDecision> grant(Daemon& daemon, const std::vector<TokenWish>& wishes);
  void armTimer(std::size_t daemon);
  void publish(std::size_t daemon);
  /// From now on `daemon` finds out about `other`, as fast as the membership does.
  void notice(std::size_t daemon, std::size_t other, bool reachable);

  TokenFleetSettings settings_;
  RandomEngine random_;
  Moment now_{std::chrono::seconds(100)};
  std::uint64_t events_ = 0;
  std::priority_queue<Event> queue_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<std::size_t> pieces_;
  std::uint64_t runs_ = 0;
  /// Tells news of a state of affairs that no longer holds.
  std::vector<std::vector<std::uint64_t>> notices_;
  std::map<std::string, TenantLimit> limits_;
  std::map<std::string, std::vector<Request>> requests_;
};

}  // namespace oakpier::serving
