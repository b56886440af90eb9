#include "programs/daemon/daemon.h"

#include <sys/resource.h>

#include <random>
#include <thread>

#include "programs/common/logging.h"

namespace oakpier {

namespace {

constexpr std::uint32_t kResultTimeToLiveMs = 10'000;
/// HTTP threads in addition to one per admitted query, so that refusals can be sent at the limit.
constexpr unsigned kSpareCallerThreads = 32;
constexpr unsigned kOperatorThreads = 8;
/// Length of the voter lease in probe periods; voter heartbeats propagate to all daemons well within it.
constexpr int kLeasePeriods = 15;
constexpr unsigned kHttpUnavailable = 503;
/// Operators send complete configurations, which are larger than queries.
constexpr std::size_t kMaxOperatorBytes = std::size_t{64} << 20U;

/// The system clock in milliseconds, so that it is higher after each restart, with 10 random low bits to tell
/// apart starts in the same millisecond.
std::uint64_t newIncarnation() {
  constexpr unsigned kRandomBits = 10;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return (static_cast<std::uint64_t>(milliseconds) << kRandomBits) | (std::random_device{}() >> 22U);
}

std::shared_ptr<const RoutingView> emptyView() {
  auto view = std::make_shared<RoutingView>();
  view->table = std::make_shared<const RoutingTable>();
  return view;
}

ControlSettings controlSettingsOf(const DaemonSettings& settings) {
  ControlSettings control;
  control.voters = settings.voters;
  control.repeatGuard.window = settings.repeatWindow;
  control.repeatGuard.leaseLength = settings.probePeriod * kLeasePeriods;
  control.membership.probePeriod = settings.probePeriod;
  control.membership.probeTimeout = std::min(control.membership.probeTimeout, settings.probePeriod / 3);
  return control;
}

}  // namespace

Daemon::Daemon(const DaemonSettings& settings)
    : settings_(settings),
      self_{{settings.peerAddress.text(), newIncarnation()}, settings.zone},
      view_(emptyView()),
      peers_(
          settings.peerAddress,
          PeerTransport::Handlers{
              [this](PeerEnvelope envelope, bool stale) { onEnvelope(std::move(envelope), stale); },
              [this](const Endpoint& to, const PeerEnvelope& envelope) { onUndeliverable(to, envelope); }}),
      control_(self_, controlSettingsOf(settings), std::random_device{}(), settings.peers, view_,
               [this](const Endpoint& to, PeerEnvelope envelope) { peers_.send(to, std::move(envelope)); }),
      owners_(settings.ownerThreads, view_, settings.admission,
              [this](const ReplyToEntry& results) { reply(results); }),
      entry_(settings, self_.process.incarnation, view_, metrics_,
             [this](const Endpoint& to, PeerEnvelope envelope) { peers_.send(to, std::move(envelope)); }),
      operators_(self_, control_, view_),
      faults_(peers_),
      platform_(settings.platform, settings.platformPeriod, control_,
                [this] { return view_.read()->table->revision() == 0; }),
      callerServer_(
          {settings.callerAddress, settings.maxQueries + kSpareCallerThreads, settings.maxRequestBytes}),
      operatorServer_({settings.operatorAddress, kOperatorThreads, kMaxOperatorBytes}) {
  callerServer_.addRpcService(entry_);
  operatorServer_.addRpcService(operators_);
  if (settings.allowFaultInjection) {
    operatorServer_.addRpcService(faults_);
  }
  addPages();
}

std::string Daemon::start() {
  std::string problem = startInternals();
  if (!problem.empty()) {
    return problem;
  }
  problem = operatorServer_.listening() ? std::string() : operatorServer_.start();
  return problem.empty() ? callerServer_.start() : problem;
}

std::string Daemon::startInternals() {
  if (internalsStarted_) {
    return {};
  }
  std::string problem = peers_.start();
  if (!problem.empty()) {
    return problem;
  }
  owners_.start();
  control_.start();
  if (settings_.platform != Endpoint()) {
    platform_.start();
  }
  internalsStarted_ = true;
  return {};
}

void Daemon::beginStop() {
  stopping_ = true;
  operators_.setStopping();
  entry_.refuseNew();
  control_.leave();
}

bool Daemon::idle() const { return entry_.inFlight() == 0 && owners_.busy() == 0 && control_.left(); }

void Daemon::drainCallers(Duration limit) {
  constexpr Duration kCheckPeriod = std::chrono::milliseconds(10);
  /// Time for the HTTP library to write the last replies.
  constexpr int kIdleChecks = 20;
  callerServer_.stopListening();
  const Moment drainDeadline = steadyNow() + limit;
  int idleChecks = 0;
  while (idleChecks < kIdleChecks && steadyNow() < drainDeadline) {
    std::this_thread::sleep_for(kCheckPeriod);
    idleChecks = callerServer_.callsInProgress() == 0 ? idleChecks + 1 : 0;
  }
}

void Daemon::stop() {
  callerServer_.stop();
  platform_.stop();
  owners_.stop();
  control_.stop();
  peers_.stop();
  operatorServer_.stop();
}

void Daemon::onEnvelope(PeerEnvelope envelope, bool stale) {
  const auto sender = Endpoint::parse(envelope.sender());
  if (!sender) {
    return;
  }
  switch (envelope.body_case()) {
    case PeerEnvelope::kWork:
      if (stale) {
        refuseStale(*sender, envelope.work());
      } else {
        owners_.onWork(*sender, std::move(*envelope.mutable_work()));
      }
      return;
    case PeerEnvelope::kCancel:
      owners_.onCancel(envelope.cancel());
      return;
    case PeerEnvelope::kResults:
      entry_.onResults(*sender, std::move(*envelope.mutable_results()));
      return;
    case PeerEnvelope::kReserveReply:
      entry_.onVerdict(*sender, envelope.reserve_reply());
      return;
    default:
      if (!stale) {
        control_.postMessage(std::move(envelope));
      }
  }
}

/// Reports undelivered work to its query as not sent, since none of it runs anywhere.
void Daemon::onUndeliverable(const Endpoint& to, const PeerEnvelope& envelope) {
  if (!envelope.has_work()) {
    return;
  }
  ResultBatch results;
  results.set_work_id(envelope.work().work_id());
  for (const auto& item : envelope.work().items()) {
    WorkResult& result = *results.add_results();
    result.set_attempt(item.attempt());
    result.set_leaf(item.leaf());
    result.set_shard(item.shard());
    result.set_status(WORK_NOT_SENT);
    result.set_reason(NOT_SENT_OWNER_UNREACHABLE);
  }
  entry_.onResults(to, std::move(results));
}

void Daemon::refuseStale(const Endpoint& sender, const WorkBatch& work) {
  ReplyToEntry refusal{sender, {}};
  refusal.results.set_work_id(work.work_id());
  for (const auto& item : work.items()) {
    WorkResult& result = *refusal.results.add_results();
    result.set_attempt(item.attempt());
    result.set_leaf(item.leaf());
    result.set_shard(item.shard());
    result.set_status(WORK_NOT_SENT);
    result.set_reason(NOT_SENT_STALE_FRAME);
  }
  reply(refusal);
}

void Daemon::reply(const ReplyToEntry& reply) {
  PeerEnvelope envelope;
  envelope.set_sender(self_.process.address);
  envelope.set_incarnation(self_.process.incarnation);
  envelope.set_time_to_live_ms(kResultTimeToLiveMs);
  *envelope.mutable_results() = reply.results;
  peers_.send(reply.entry, std::move(envelope));
}

void Daemon::addPages() {
  operatorServer_.addPage("/healthz", [] { return PageReply{200, "text/plain; charset=utf-8", "ok\n"}; });
  operatorServer_.addPage("/readyz", [this] {
    const bool ready = view_.read()->ready && !stopping_;
    return ready ? PageReply{200, "text/plain; charset=utf-8", "ready\n"}
                 : PageReply{kHttpUnavailable, "text/plain; charset=utf-8", "not ready\n"};
  });
  operatorServer_.addPage("/metrics", [this] {
    return PageReply{200, "text/plain; version=0.0.4; charset=utf-8", metrics_.text(readGauges())};
  });
}

DaemonGauges Daemon::readGauges() {
  DaemonGauges gauges;
  control_.inspect([&](const ControlPlane& plane) {
    gauges.members = plane.membership().servingCount() + 1;
    gauges.membership = plane.membership().counters();
    gauges.pauses = plane.pauses();
  });
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicrosecondsPerSecond = 1e6;
  gauges.processorSeconds =
      static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
      static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / kMicrosecondsPerSecond;
  constexpr std::uint64_t kBytesPerKilobyte = 1024;
  gauges.residentBytes = static_cast<std::uint64_t>(usage.ru_maxrss) * kBytesPerKilobyte;
  const auto view = view_.read();
  gauges.revision = view->table->revision();
  gauges.ready = view->ready && !stopping_;
  gauges.queriesInFlight = entry_.inFlight();
  gauges.ownerBusy = owners_.busy();
  gauges.leafConnections = owners_.openConnections();
  gauges.platformFailures = platform_.failures();
  gauges.dispatch = owners_.counters();
  const PeerTransportCounters& frames = peers_.counters();
  gauges.framesSent = frames.framesSent;
  gauges.framesReceived = frames.framesReceived;
  gauges.bytesSent = frames.bytesSent;
  gauges.controlFramesSent = frames.controlFramesSent;
  gauges.controlBytesSent = frames.controlBytesSent;
  gauges.framesUndeliverable = frames.framesUndeliverable;
  gauges.framesStale = frames.framesStale;
  return gauges;
}

}  // namespace oakpier
