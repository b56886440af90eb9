#include "programs/gateway/gateway.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <limits>
#include <optional>
#include <random>
#include <thread>

#include "coordination/serving/membership_stabilization.h"
#include "programs/common/blocked_signals.h"
#include "programs/common/exit_codes.h"
#include "programs/common/logging.h"
#include "programs/common/process_environment.h"
#include "programs/gateway/derived_settings.h"
#include "programs/gateway/event_loop.h"
#include "programs/gateway/request_gateway.h"
#include "programs/gateway/source_synchronizer.h"
#include "programs/gateway/status_handler.h"
#include "programs/gateway/stop_sequence.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

constexpr Duration kReloadPeriod = std::chrono::seconds(5);
/// Minimum number of owners of a shard (one per zone) that is assumed, and how many more may replace them
/// within a budget window.
constexpr std::size_t kDefaultOwners = 4;
constexpr std::size_t kMaxReplacedOwners = 2;
/// Shares are planned for growth of the fleet by one daemon per this many, which may happen at any time.
constexpr std::size_t kGrowthDivisor = 3;

class Gateway {
 public:
  Gateway(const GatewaySettings& settings, const HeaderNames& names, const SourceDialect& dialect,
          const SettingsReader& read)
      : settings_(settings),
        read_(read),
        published_(emptyView()),
        proof_(std::make_shared<const ConfigurationProof>()),
        random_(std::random_device{}()),
        retryShare_(settings.retryLimit, kDefaultDaemons),
        retryBudgets_(retryShare_.limit(), steadyNow(), random_),
        ownerRetryShare_(settings.retryLimit, kDefaultOwners + kMaxReplacedOwners,
                         RetryLimitShare::Scope::kOwner),
        ownerRetryBudgets_(ownerRetryShare_.limit(), steadyNow(), random_),
        requests_(requestContext_, names, published_, proof_, settings.peerAddress,
                  QueryContext{leafs_,
                               retryBudgets_,
                               random_,
                               QueryPolicy{},
                               settings.zone,
                               exchanges_,
                               nullptr,
                               {},
                               nullptr,
                               {}},
                  ownerRetryBudgets_,
                  [this](const Endpoint& to, PeerEnvelope envelope) {
                    source_.sendFrame(to, std::move(envelope));
                  }),
        statusHandler_([this] { return isReady(); }, [this] { return metrics(); }),
        callers_(requestContext_, requests_),
        status_(requestContext_, statusHandler_),
        source_(controlContext_, settings.sourceAddress, dialect,
                PeerMessengerSettings{settings.peerAddress, settings.zone, settings.seeds,
                                      capacityOf(settings.machine),
                                      processLimitsOf(settings.machine, raiseDescriptorLimit()).peers},
                followerSettings(settings), published_, proof_,
                {[this] { onView(); }, [this] { onProof(); },
                 [this](const DaemonGroup& daemons) { onDaemons(daemons); },
                 [this](const Endpoint& sender, PeerEnvelope envelope) {
                   boost::asio::post(requestContext_, [this, sender, envelope = std::move(envelope)] {
                     requests_.onFrame(sender, envelope);
                   });
                 },
                 [this](PeerEnvelope envelope) {
                   boost::asio::post(requestContext_, [this, envelope = std::move(envelope)] {
                     requests_.onUndeliverable(envelope);
                   });
                 },
                 [this](const std::vector<Endpoint>& suspected) {
                   boost::asio::post(requestContext_,
                                     [this, suspected] { requests_.setSuspectedDaemons(suspected); });
                 }}),
        signals_(requestContext_, SIGTERM, SIGINT, SIGHUP),
        stopSequence_(requestContext_, callers_, requests_),
        reloadTimer_(requestContext_),
        stabilizationTimer_(controlContext_) {}

  /// Waits until all addresses are free.
  ListenResult listen() {
    return listenPatiently([this] { return tryListen(); }, [this] { return settingsChanged(); });
  }

  /// Call after `listen` has succeeded. Returns the exit code.
  int run() {
    log(LogLevel::kInfo, "started",
        {{"name", settings_.name},
         {"zone", settings_.zone},
         {"callers", settings_.callerAddress.text()},
         {"descriptors", raiseDescriptorLimit()},
         {"memory_mb", settings_.machine.memoryMegabytes}});
    requests_.setWarmupTolerance(settings_.warmup);
    requests_.setAuthorization(authorizationSettings(settings_));
    requests_.setQuotaTolerance(settings_.quota);
    applyMachineLimits();
    requests_.setOnConfigurationNeeded(
        [this] { boost::asio::post(controlContext_, [this] { source_.onConfigurationNeeded(); }); });
    awaitSignal();
    unblockSignals();
    scheduleReload();
    scheduleStabilization();
    const auto keepRunning = boost::asio::make_work_guard(controlContext_);
    std::thread control([this] { runOrEndProcess(controlContext_, "control"); });
    const bool stopped = runIsolatingFailures(requestContext_, "requests", handlerFailures_);
    controlContext_.stop();
    control.join();
    source_.stop();
    if (!stopped) {
      return kExitInternalError;
    }
    log(LogLevel::kInfo, "stopped", {{"name", settings_.name}});
    return kExitOk;
  }

 private:
  static std::shared_ptr<const ServingView> emptyView() {
    auto view = std::make_shared<ServingView>();
    view->leafs = std::make_shared<const LeafsByService>();
    return view;
  }

  /// Listens at the addresses that are not held yet. Callers come last, since they are accepted only once
  /// all is in place. Returns an error message, or an empty string.
  std::string tryListen() {
    std::string problem = peersStarted_ ? std::string() : source_.start();
    if (!problem.empty()) {
      return problem;
    }
    peersStarted_ = true;
    problem = statusListening_ ? std::string() : status_.listen(settings_.readinessAddress);
    if (!problem.empty()) {
      return problem;
    }
    statusListening_ = true;
    return callers_.listen(settings_.callerAddress);
  }

  bool settingsChanged() const {
    const auto current = read_();
    const auto* usable = std::get_if<GatewaySettings>(&current);
    return usable != nullptr && describe(*usable) != describe(settings_);
  }

  /// On the control thread.
  void onView() {
    const bool complete = source_.complete();
    boost::asio::post(requestContext_, [this, complete, counters = source_.counters()] {
      sourceCounters_ = counters;
      requests_.onView();
      const auto view = published_.read();
      if (view->configuration) {
        callers_.setLimits(view->configuration->limits);
      }
      if (complete && !stopSequence_.begun()) {
        ready_ = true;
      }
    });
  }

  /// On the control thread.
  void onProof() {
    boost::asio::post(requestContext_, [this, counters = source_.counters()] { sourceCounters_ = counters; });
  }

  /// Whether this daemon is ready for callers. If keys require a recent proof, it is not ready without one,
  /// because all requests except those for public routes would be refused. If no daemon of a zone is ready,
  /// the platform sends callers to all of them.
  bool isReady() const {
    const auto bound = proofBoundFor(settings_);
    // Read before the view, because the view is published before the proof.
    const auto proof = proof_.read();
    const auto view = published_.read();
    if (!ready_ || !bound || !view->configuration || view->configuration->tenants.empty()) {
      return ready_;
    }
    return proof->covers(view->configuration->version, steadyNow(), *bound);
  }

  double proofAgeSeconds() const {
    const auto proof = proof_.read();
    return proof->version == 0 ? std::numeric_limits<double>::infinity()
                               : std::chrono::duration<double>(steadyNow() - proof->provenAt).count();
  }

  /// On the control thread. Assumes at least the default fleet size until membership is stable.
  void onDaemons(const DaemonGroup& daemons) {
    lastDaemons_ = daemons;
    const Moment now = steadyNow();
    stabilization_.onMembers(daemons.all.size(), now);
    membershipStable_ = membershipStable_ || now >= stabilization_.stableAt();
    const bool membershipStable = membershipStable_;
    const std::size_t count = daemons.all.size();
    const std::size_t planned =
        membershipStable ? count + count / kGrowthDivisor + 1 : std::max(count, kDefaultDaemons);
    boost::asio::post(requestContext_,
                      [this, daemons, planned, membershipStable, counters = source_.counters()] {
                        sourceCounters_ = counters;
                        daemons_ = daemons.all.size();
                        fleetCapacity_ = totalPlacementWeight(daemons.all);
                        requests_.setDaemons(daemons, planned, membershipStable);
                        retryShare_.onDaemonCount(planned);
                        retryBudgets_.setLimit(retryShare_.limit());
                        ownerRetryShare_.onDaemonCount(daemons.zones + kMaxReplacedOwners);
                        ownerRetryBudgets_.setLimit(ownerRetryShare_.limit());
                      });
  }

  /// On the control thread. Applies the last members again once membership is stable.
  void scheduleStabilization() {
    setFor(stabilizationTimer_, stabilization_.stableAt());
    stabilizationTimer_.async_wait([this](const boost::system::error_code& error) {
      if (error || membershipStable_) {
        return;
      }
      if (steadyNow() < stabilization_.stableAt()) {
        scheduleStabilization();
        return;
      }
      onDaemons(lastDaemons_);
    });
  }

  std::string metrics() {
    const auto view = published_.read();
    std::size_t leafs = 0;
    for (const auto& [service, entries] : *view->leafs) {
      leafs += entries.size();
    }
    return metricsText(GatewayMetrics{requests_.counters(),
                                      requests_.poolCounters(),
                                      requests_.ownerCounters(),
                                      requests_.partsServed(),
                                      requests_.mergeCounters(),
                                      requests_.partsMerged(),
                                      source_.peerCounters(),
                                      sourceCounters_,
                                      view->configuration ? view->configuration->version : 0,
                                      leafs,
                                      daemons_,
                                      requests_.quarantinedRequests(),
                                      isReady(),
                                      requests_.logLinesSuppressed(),
                                      droppedLogLines(),
                                      capacityOf(settings_.machine),
                                      fleetCapacity_,
                                      view->tenants ? view->tenants->keyCount() : 0,
                                      proofAgeSeconds(),
                                      requests_.quotaMetrics(),
                                      processMetrics()});
  }

  ProcessMetrics processMetrics() const {
    ProcessMetrics process;
    process.logLinesUnwritten = unwrittenLogLines();
    process.handlerFailures = handlerFailures_.total();
    process.descriptorLimit = raiseDescriptorLimit();
    process.callerConnections = callers_.connections();
    process.callerConnectionsRejected = callers_.connectionsRejected();
    process.replyBytes = requests_.replyMemory().used();
    process.repliesGivenUp = requests_.replyMemory().givenUp();
    process.requestsGivenUp = callers_.memory().givenUp();
    return process;
  }

  void applyMachineLimits() {
    const ProcessLimits limits = processLimitsOf(settings_.machine, raiseDescriptorLimit());
    callers_.setMaxConnections(limits.callerConnections);
    callers_.memory().setLimit(limits.requestBytes);
    requests_.setReplyMemory(limits.replyBytes);
  }

  void awaitSignal() {
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        reload();
      } else {
        stop();
      }
      awaitSignal();
    });
  }

  /// Settings may change without a signal.
  void scheduleReload() {
    reloadTimer_.expires_after(kReloadPeriod);
    reloadTimer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        reload();
        scheduleReload();
      }
    });
  }

  void reload() {
    const auto current = read_();
    if (const auto* error = std::get_if<SettingsError>(&current)) {
      log(LogLevel::kError, "settings refused", {{"problem", error->text}});
      return;
    }
    const auto& reloaded = std::get<GatewaySettings>(current);
    if (describe(reloaded) == describe(settings_)) {
      return;
    }
    settings_ = reloaded;
    retryShare_.setTotal(settings_.retryLimit);
    retryBudgets_.setLimit(retryShare_.limit());
    ownerRetryShare_.setTotal(settings_.retryLimit);
    requests_.setWarmupTolerance(settings_.warmup);
    requests_.setAuthorization(authorizationSettings(settings_));
    requests_.setQuotaTolerance(settings_.quota);
    applyMachineLimits();
    ownerRetryBudgets_.setLimit(ownerRetryShare_.limit());
    boost::asio::post(controlContext_, [this, changed = settings_] {
      source_.reload(changed.sourceAddress, changed.seeds, capacityOf(changed.machine),
                     proverSettings(changed));
    });
    log(LogLevel::kInfo, "settings reloaded", {{"name", settings_.name}});
  }

  void stop() {
    if (stopSequence_.begun()) {
      return;
    }
    log(LogLevel::kInfo, "stopping", {{"in_progress", callers_.inProgress()}});
    ready_ = false;
    boost::asio::post(controlContext_, [this] { source_.leave(); });
    stopSequence_.begin(settings_.stopGrace);
  }

  GatewaySettings settings_;
  SettingsReader read_;
  boost::asio::io_context requestContext_{1};
  boost::asio::io_context controlContext_{1};
  Published<ServingView> published_;
  Published<ConfigurationProof> proof_;
  std::atomic<bool> ready_{false};
  RandomEngine random_;
  LeafRegistry leafs_;
  RetryLimitShare retryShare_;
  RetryBudgets retryBudgets_;
  RetryLimitShare ownerRetryShare_;
  RetryBudgets ownerRetryBudgets_;
  ExchangeIdSource exchanges_;
  RequestGateway requests_;
  StatusHandler statusHandler_;
  HttpService callers_;
  HttpService status_;
  SourceSynchronizer source_;
  boost::asio::signal_set signals_;
  StopSequence stopSequence_;
  boost::asio::steady_timer reloadTimer_;
  boost::asio::steady_timer stabilizationTimer_;
  FollowerCounters sourceCounters_;
  bool peersStarted_ = false;
  bool statusListening_ = false;
  HandlerFailures handlerFailures_;
  std::size_t daemons_ = 1;
  /// In hundredths of a core.
  std::uint64_t fleetCapacity_ = 0;
  /// Control thread only.
  DaemonGroup lastDaemons_;
  MembershipStabilization stabilization_{MembershipStabilizationSettings{}, steadyNow()};
  /// Membership has become stable; never reset. Control thread only.
  bool membershipStable_ = false;
};

}  // namespace

int runGateway(const SettingsReader& read, const HeaderNames& names, const SourceDialect& dialect) {
  while (true) {
    const auto settings = awaitSettings(read);
    if (const auto* error = std::get_if<SettingsError>(&settings)) {
      log(LogLevel::kError, "settings refused", {{"problem", error->text}});
      return kExitUsage;
    }
    if (std::holds_alternative<StopRequested>(settings)) {
      log(LogLevel::kInfo, "stopped before the start");
      return kExitOk;
    }
    Gateway gateway(std::get<GatewaySettings>(settings), names, dialect, read);
    switch (gateway.listen()) {
      case ListenResult::kListening:
        return gateway.run();
      case ListenResult::kStopRequested:
        log(LogLevel::kInfo, "stopped before the start");
        return kExitOk;
      case ListenResult::kSettingsChanged:
        log(LogLevel::kInfo, "settings changed before the start");
        break;
    }
  }
}

}  // namespace oakpier::serving
