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

#include "coordination/serving/fleet_settling.h"
#include "programs/common/held_signals.h"
#include "programs/common/logging.h"
#include "programs/gateway/request_gateway.h"
#include "programs/gateway/source_loop.h"
#include "protocol/serving/caller_messages.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr std::string_view kMetricsPath = "/metrics";
/// After a request to stop callers are still sent here until they have seen that this daemon is not ready.
constexpr Duration kAcceptAfterStop = std::chrono::milliseconds(2600);
constexpr Duration kReloadPeriod = std::chrono::seconds(5);
constexpr Duration kStopCheck = std::chrono::milliseconds(50);
/// Kept free before the process would be killed: this share of the grace, and at most this long.
constexpr double kStopReserveShare = 0.15;
constexpr Duration kLongestStopReserve = std::chrono::milliseconds(800);
/// Owners of a shard, one a zone, that are assumed at least; as many more may follow one another in a window.
constexpr std::size_t kUsualOwners = 4;
constexpr std::size_t kOwnersInChange = 2;
/// One in this many daemons may be added or come back at any time.
constexpr std::size_t kSpareShare = 3;

/// A key is refused for good under a proof at most this share of the time old in which new keys are to be
/// known everywhere.
constexpr int kFinalRefusalParts = 2;

/// Tells whether callers should be sent here, and the figures at the path of metrics.
class StatusHandler : public RequestHandler {
 public:
  StatusHandler(std::function<bool()> ready, std::function<std::string()> metrics)
      : ready_(std::move(ready)), metrics_(std::move(metrics)) {}

  std::function<void()> onRequest(HttpRequest request, ResponseWriter writer) override {
    if (request.target == kMetricsPath) {
      HttpReply reply = textReply(kOk, "");
      reply.body = metrics_();
      writer.write(reply);
    } else {
      writer.write(ready_() ? textReply(kOk, "ready") : textReply(kUnavailable, "not ready"));
    }
    return nullptr;
  }

 private:
  std::function<bool()> ready_;
  std::function<std::string()> metrics_;
};

/// How old a proof may be under which a key is used; none: without bound.
std::optional<Duration> proofBoundFor(const GatewaySettings& settings) {
  return settings.keyRevocationBound ? std::optional(*settings.keyRevocationBound - kProofMargin)
                                     : std::nullopt;
}

ProverSettings proverSettings(const GatewaySettings& settings) {
  ProverSettings prover;
  prover.bound = proofBoundFor(settings).value_or(prover.bound);
  return prover;
}

AuthorizationSettings authorizationSettings(const GatewaySettings& settings) {
  return AuthorizationSettings{proofBoundFor(settings), settings.configurationBound / kFinalRefusalParts};
}

FollowerSettings followerSettings(const GatewaySettings& settings) {
  FollowerSettings follower;
  follower.knowledge.removalDelay = removalDelayFor(settings.leaveBound);
  follower.knowledge.lapseWithin = lapseWithinFor(settings.leafHeartbeat);
  follower.prover = proverSettings(settings);
  return follower;
}

class Gateway {
 public:
  Gateway(const GatewaySettings& settings, const HeaderNames& names, const SourceDialect& dialect,
          SettingsReload reload)
      : settings_(settings),
        reload_(std::move(reload)),
        published_(emptyView()),
        proof_(std::make_shared<const ConfigurationProof>()),
        random_(std::random_device{}()),
        extraSendShare_(settings.extraSends, kUsualDaemons),
        budgets_(extraSendShare_.bounds(), steadyNow(), random_),
        ownerShare_(settings.extraSends, kUsualOwners + kOwnersInChange, ExtraSendShare::Holder::kOwner),
        ownerBudgets_(ownerShare_.bounds(), steadyNow(), random_),
        requests_(requestContext_, names, published_, proof_, settings.peerAddress,
                  QueryContext{leafs_,
                               budgets_,
                               random_,
                               QueryPolicy{},
                               settings.zone,
                               exchanges_,
                               nullptr,
                               {},
                               nullptr,
                               {}},
                  ownerBudgets_,
                  [this](const Endpoint& to, PeerEnvelope envelope) {
                    source_.sendShardFrame(to, std::move(envelope));
                  }),
        statusHandler_([this] { return takesCallers(); }, [this] { return metrics(); }),
        callers_(requestContext_, requests_),
        status_(requestContext_, statusHandler_),
        source_(controlContext_, settings.sourceAddress, dialect,
                PeerLinkSettings{settings.peerAddress, settings.zone, settings.seeds,
                                 capacityOf(settings.machine)},
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
        stopTimer_(requestContext_),
        reloadTimer_(requestContext_),
        settledTimer_(controlContext_) {}

  int run() {
    for (const std::string& problem : {callers_.listen(settings_.callerAddress),
                                       status_.listen(settings_.readinessAddress), source_.start()}) {
      if (!problem.empty()) {
        log(LogLevel::kError, "not started", {{"problem", problem}});
        return EXIT_FAILURE;
      }
    }
    log(LogLevel::kInfo, "started",
        {{"name", settings_.name}, {"zone", settings_.zone}, {"callers", settings_.callerAddress.text()}});
    requests_.setWarmupTolerance(settings_.warmup);
    requests_.setAuthorization(authorizationSettings(settings_));
    requests_.setQuotaTolerance(settings_.quota);
    requests_.setOnStateWanted(
        [this] { boost::asio::post(controlContext_, [this] { source_.onStateWanted(); }); });
    awaitSignal();
    deliverSignals();
    scheduleReload();
    scheduleSettled();
    const auto keepRunning = boost::asio::make_work_guard(controlContext_);
    std::thread control([this] { controlContext_.run(); });
    requestContext_.run();
    controlContext_.stop();
    control.join();
    source_.stop();
    log(LogLevel::kInfo, "stopped", {{"name", settings_.name}});
    return EXIT_SUCCESS;
  }

 private:
  static std::shared_ptr<const ServingView> emptyView() {
    auto view = std::make_shared<ServingView>();
    view->leafs = std::make_shared<const LeafsByService>();
    return view;
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
      if (complete && !stopping_) {
        ready_ = true;
      }
    });
  }

  /// On the control thread.
  void onProof() {
    boost::asio::post(requestContext_, [this, counters = source_.counters()] { sourceCounters_ = counters; });
  }

  /// Callers should be sent here. Where keys are bound to proofs, not without one: all but public routes
  /// would be refused. If no daemon of a zone has one, the platform sends callers to all the same.
  bool takesCallers() const {
    const auto bound = proofBoundFor(settings_);
    // Before the view, which is published first.
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

  /// On the control thread. Until the others are known, a usual number is taken.
  void onDaemons(const DaemonGroup& daemons) {
    lastDaemons_ = daemons;
    const Moment now = steadyNow();
    settling_.onMembers(daemons.all.size(), now);
    settled_ = settled_ || now >= settling_.settledAt();
    const bool settled = settled_;
    const std::size_t count = daemons.all.size();
    const std::size_t planned = settled ? count + count / kSpareShare + 1 : std::max(count, kUsualDaemons);
    boost::asio::post(requestContext_, [this, daemons, planned, settled, counters = source_.counters()] {
      sourceCounters_ = counters;
      daemons_ = daemons.all.size();
      fleetCapacity_ = capacityOf(daemons.all);
      requests_.setDaemons(daemons, planned, settled);
      extraSendShare_.onDaemonCount(planned);
      budgets_.setBounds(extraSendShare_.bounds());
      ownerShare_.onDaemonCount(daemons.zones + kOwnersInChange);
      ownerBudgets_.setBounds(ownerShare_.bounds());
    });
  }

  /// On the control thread. The others have had time to be found.
  void scheduleSettled() {
    setFor(settledTimer_, settling_.settledAt());
    settledTimer_.async_wait([this](const boost::system::error_code& error) {
      if (error || settled_) {
        return;
      }
      if (steadyNow() < settling_.settledAt()) {
        scheduleSettled();
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
    return metricsText(GatewayFigures{requests_.counters(),
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
                                      requests_.condemnedRequests(),
                                      takesCallers(),
                                      requests_.logLinesLeftOut(),
                                      droppedLogLines(),
                                      capacityOf(settings_.machine),
                                      fleetCapacity_,
                                      view->tenants ? view->tenants->keyCount() : 0,
                                      proofAgeSeconds(),
                                      requests_.quotaFigures()});
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

  /// The settings may also change without a signal.
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
    const auto fresh = reload_();
    if (!fresh || describe(*fresh) == describe(settings_)) {
      return;
    }
    settings_ = *fresh;
    extraSendShare_.setTotal(settings_.extraSends);
    budgets_.setBounds(extraSendShare_.bounds());
    ownerShare_.setTotal(settings_.extraSends);
    requests_.setWarmupTolerance(settings_.warmup);
    requests_.setAuthorization(authorizationSettings(settings_));
    requests_.setQuotaTolerance(settings_.quota);
    ownerBudgets_.setBounds(ownerShare_.bounds());
    boost::asio::post(controlContext_, [this, fresh = settings_] {
      source_.reload(fresh.sourceAddress, fresh.seeds, capacityOf(fresh.machine), proverSettings(fresh));
    });
    log(LogLevel::kInfo, "settings reloaded", {{"name", settings_.name}});
  }

  void stop() {
    if (stopping_) {
      return;
    }
    log(LogLevel::kInfo, "stopping", {{"in_progress", callers_.inProgress()}});
    stopping_ = true;
    ready_ = false;
    stopRequestedAt_ = steadyNow();
    boost::asio::post(controlContext_, [this] { source_.leave(); });
    callers_.startClosing();
    checkStop();
  }

  Duration stopReserve() const {
    const auto share = static_cast<std::int64_t>(settings_.stopGrace.count() * kStopReserveShare);
    return std::min(kLongestStopReserve, Duration(share));
  }

  void checkStop() {
    const Duration passed = steadyNow() - stopRequestedAt_;
    if (passed >= kAcceptAfterStop) {
      callers_.stopAccepting();
      const bool idle =
          callers_.inProgress() == 0 && callers_.connections() == 0 && requests_.servedForOthers() == 0;
      if (idle || gaveUp_) {
        requestContext_.stop();
        return;
      }
      if (passed >= settings_.stopGrace - stopReserve()) {
        log(LogLevel::kWarning, "requests given up at the end of the grace",
            {{"in_progress", callers_.inProgress()}});
        callers_.answerAll(textReply(kGatewayTimeout, "no answer before this daemon had to stop"));
        gaveUp_ = true;
      }
    }
    stopTimer_.expires_after(kStopCheck);
    stopTimer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        checkStop();
      }
    });
  }

  GatewaySettings settings_;
  SettingsReload reload_;
  boost::asio::io_context requestContext_{1};
  boost::asio::io_context controlContext_{1};
  Published<ServingView> published_;
  Published<ConfigurationProof> proof_;
  std::atomic<bool> ready_{false};
  RandomEngine random_;
  LeafRegistry leafs_;
  ExtraSendShare extraSendShare_;
  ExtraSendBudgets budgets_;
  ExtraSendShare ownerShare_;
  ExtraSendBudgets ownerBudgets_;
  ExchangeNumbers exchanges_;
  RequestGateway requests_;
  StatusHandler statusHandler_;
  HttpService callers_;
  HttpService status_;
  SourceLoop source_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer stopTimer_;
  boost::asio::steady_timer reloadTimer_;
  boost::asio::steady_timer settledTimer_;
  FollowerCounters sourceCounters_;
  std::size_t daemons_ = 1;
  /// In hundredths of a core.
  std::uint64_t fleetCapacity_ = 0;
  /// Used on the control thread.
  DaemonGroup lastDaemons_;
  bool stopping_ = false;
  /// Requests in progress were answered as given up; the process ends at the next check.
  bool gaveUp_ = false;
  FleetSettling settling_{FleetSettlingSettings{}, steadyNow()};
  /// Of the member table; stays once it is.
  bool settled_ = false;
  Moment stopRequestedAt_{};
};

}  // namespace

int runGateway(const GatewaySettings& settings, const HeaderNames& names, const SourceDialect& dialect,
               const SettingsReload& reload) {
  return Gateway(settings, names, dialect, reload).run();
}

}  // namespace oakpier::serving
