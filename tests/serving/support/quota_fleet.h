#pragma once

/// Simulates quota servers and clients of a fleet in virtual time. Frames take 1 to 2 ms and may be lost,
/// delayed or duplicated; daemons may crash, restart without state and be separated by network partitions;
/// member tables follow with the delays of the membership protocol.

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "coordination/serving/fleet_visibility.h"
#include "coordination/serving/quota_client.h"
#include "coordination/serving/quota_server.h"
#include "coordination/serving/quota_server_selector.h"

namespace oakpier::serving {

struct QuotaFleetSettings {
  std::size_t daemons = 20;
  QuotaTolerance tolerance{std::chrono::seconds(5), 0.25, 20};
  std::size_t prefetchLimit = kPrefetchedTokens;
  /// Fractions of the frames between daemons. Delayed ones take 0.05 to 0.4 s.
  double lost = 0;
  double duplicated = 0;
  double delayed = 0;
  /// Fraction of admitted requests that run on no leaf; their tokens are released.
  double ranOnNoLeaf = 0;
  std::uint64_t seed = 1;
};

class QuotaFleet {
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

  explicit QuotaFleet(const QuotaFleetSettings& settings);

  void setLimit(const std::string& tenant, const TenantLimit& limit) { limits_[tenant] = limit; }
  /// Schedules Poisson arrivals from `from` to `until`, each at a random one of `daemons` (empty: of all).
  void addLoad(const std::string& tenant, double perSecond, Moment from, Moment until,
               const std::vector<std::size_t>& daemons = {});
  void at(Moment moment, std::function<void()> action);
  void run(Moment until);

  void kill(std::size_t daemon);
  /// Restarts it without state.
  void start(std::size_t daemon);
  /// The process does not run: frames, timers and requests of callers wait until it is resumed.
  void suspend(std::size_t daemon);
  void resume(std::size_t daemon);
  /// Each daemon reaches only those on its side of the network partition; `sides` holds the side of each.
  void partitionNetwork(const std::vector<std::size_t>& sides);
  void healNetwork();
  bool isRunning(std::size_t daemon) const { return daemons_[daemon] != nullptr; }
  /// The daemons of the tenant's ranking while all are running: its primary quota server, then the
  /// successors.
  std::vector<std::size_t> serversOf(const std::string& tenant) const;
  std::size_t primaryOf(const std::string& tenant) const { return serversOf(tenant).front(); }
  std::size_t size() const { return daemons_.size(); }

  const std::vector<Request>& requestsOf(const std::string& tenant) { return requests_[tenant]; }
  /// The most requests that ran within any sliding window.
  std::size_t maxInWindow(const std::string& tenant);
  std::size_t refused(const std::string& tenant);
  /// Requests refused although a single token bucket with this limit would have admitted them.
  std::size_t wronglyRefused(const std::string& tenant, const TenantLimit& limit);
  /// These requests, in order of arrival.
  std::vector<Request> wrongRefusals(const std::string& tenant, const TenantLimit& limit);
  QuotaClientCounters clientCounters() const;

  std::uint64_t frames = 0;
  std::uint64_t framesBetween = 0;

 private:
  struct Daemon {
    Daemon(const Endpoint& self, const QuotaFleetSettings& settings, RandomEngine& random);

    Endpoint self;
    QuotaServerSelector selector;
    QuotaClient client;
    QuotaServer server;
    FleetVisibility visibility;
    std::uint64_t runId = 0;
    bool membershipStable = false;
    bool suspended = false;
    /// What waits until the process is resumed.
    std::vector<std::function<void()>> deferred;
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
  void send(std::size_t from, std::size_t to, const std::function<void(Daemon&)>& deliver);
  void onArrival(const std::string& tenant, std::size_t daemon);
  void complete(const std::string& tenant, std::size_t daemon, std::size_t request,
                const std::variant<Token, TokenRefusal>& decision);
  void completeAll(std::size_t daemon, const std::vector<TokenDecision>& decisions);
  void sendDue(std::size_t daemon);
  void sendProbe(std::size_t daemon, const Endpoint& other);
  void answer(std::size_t daemon, std::size_t requester, std::uint64_t requesterRunId,
              const OutgoingTokenRequest& request);
  std::vector<TenantGrant> grant(Daemon& daemon, const std::vector<TenantTokenRequest>& tenantRequests);
  void armTimer(std::size_t daemon);
  void showActivity(std::size_t daemon, std::uint64_t runId);
  /// Runs `action` now, or when the daemon is resumed; never if the process has ended.
  void runIn(std::size_t daemon, std::uint64_t runId, std::function<void()> action);
  void applyMembership(std::size_t daemon);
  /// As the quota servers see it: not before the daemon knows another one.
  bool membershipStable(const Daemon& daemon) const;
  /// Schedules that the started `daemon` receives the member table of a running one.
  void scheduleJoin(std::size_t daemon, Duration delay);
  void receiveMemberTable(std::size_t daemon, std::size_t sender);
  /// Schedules the changes of `daemon`'s member table after `other` became reachable or unreachable.
  void scheduleDetection(std::size_t daemon, std::size_t other, bool reachable);

  QuotaFleetSettings settings_;
  RandomEngine random_;
  Moment now_{std::chrono::seconds(100)};
  std::uint64_t events_ = 0;
  std::priority_queue<Event> queue_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<std::size_t> sides_;
  std::uint64_t lastRunId_ = 0;
  /// Number of the last `scheduleDetection` per pair of daemons; scheduled changes of earlier ones are void.
  std::vector<std::vector<std::uint64_t>> detections_;
  std::map<std::string, TenantLimit> limits_;
  std::map<std::string, std::vector<Request>> requests_;
};

}  // namespace oakpier::serving
