#include "programs/daemon/daemon_metrics.h"

#include <prometheus/text_serializer.h>

namespace oakpier {

namespace {

const prometheus::Histogram::BucketBoundaries kLatencyBuckets{0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05,
                                                              0.075, 0.11,  0.15,  0.25, 0.5,  1,     2.5};

}  // namespace

DaemonMetrics::DaemonMetrics()
    : answers_(prometheus::BuildCounter()
                   .Name("oakpier_answers_total")
                   .Help("Queries answered, by service, class and outcome")
                   .Register(registry_)),
      latency_(prometheus::BuildHistogram()
                   .Name("oakpier_query_seconds")
                   .Help("Time from the arrival of a query to its answer")
                   .Register(registry_)),
      decisions_(prometheus::BuildCounter()
                     .Name("oakpier_decisions_total")
                     .Help("Decisions of the entry role")
                     .Register(registry_)) {}

void DaemonMetrics::countAnswer(const std::string& service, const std::string& priorityClass,
                                const QueryAnswer& answer, Duration elapsed) {
  // Label only declared names: caller-supplied ones would make the label set unbounded.
  const bool known = answer.error().code() != ERROR_UNKNOWN_SERVICE &&
                     answer.error().code() != ERROR_UNKNOWN_CLASS &&
                     answer.error().code() != ERROR_INVALID_FIELD &&
                     answer.error().code() != ERROR_NOT_READY && answer.error().code() != ERROR_STOPPING;
  const std::string serviceLabel = known ? service : "unknown";
  answers_
      .Add({{"service", serviceLabel},
            {"class", known ? priorityClass : "unknown"},
            {"outcome", Outcome_Name(answer.outcome())}})
      .Increment();
  latency_.Add({{"service", serviceLabel}}, kLatencyBuckets)
      .Observe(std::chrono::duration<double>(elapsed).count());
}

void DaemonMetrics::count(const QueryCounters& counters) {
  const auto add = [this](const char* decision, std::uint32_t count) {
    if (count > 0) {
      decisions_.Add({{"decision", decision}}).Increment(count);
    }
  };
  add("leaf_request", counters.leafRequests);
  add("hedge", counters.hedges);
  add("hedge_denied", counters.hedgesDenied);
  add("retry", counters.retries);
  add("retry_denied", counters.retriesDenied);
  add("replan", counters.replans);
  add("discovery", counters.discoveries);
}

std::string DaemonMetrics::text(const DaemonGauges& gauges) {
  const auto number = [](auto value) { return static_cast<double>(value); };
  set("oakpier_revision", "Configuration revision in force", number(gauges.revision));
  set("oakpier_ready", "1 when this daemon may serve", gauges.ready ? 1 : 0);
  set("oakpier_members", "Serving daemons known, this one included", number(gauges.members));
  set("oakpier_queries_in_flight", "Queries in progress", number(gauges.queriesInFlight));
  set("oakpier_owner_tasks", "Leaf requests waiting or in progress at this owner", number(gauges.ownerBusy));
  set("oakpier_leaf_connections", "Open leaf connections", number(gauges.leafConnections));
  set("oakpier_pauses", "Pauses of the process noticed", number(gauges.pauses));
  set("oakpier_platform_failures", "Failed reads of the platform", number(gauges.platformFailures));
  set("process_cpu_seconds_total", "Processor time of this process", gauges.processorSeconds);
  set("process_resident_memory_bytes", "Largest resident size of this process", number(gauges.residentBytes));
  set("oakpier_frames_sent", "Frames sent to daemons", number(gauges.framesSent));
  set("oakpier_frames_received", "Frames received from daemons", number(gauges.framesReceived));
  set("oakpier_frame_bytes_sent", "Bytes of frames sent", number(gauges.bytesSent));
  set("oakpier_control_frames_sent", "Control frames sent", number(gauges.controlFramesSent));
  set("oakpier_control_bytes_sent", "Bytes of control frames sent", number(gauges.controlBytesSent));
  set("oakpier_frames_undeliverable", "Frames that no connection took", number(gauges.framesUndeliverable));
  set("oakpier_frames_stale", "Frames older than their time to live", number(gauges.framesStale));
  set("oakpier_leaf_sent", "Leaf requests sent by this owner", number(gauges.dispatch.sent));
  set("oakpier_leaf_status_checks", "Leaf state checks", number(gauges.dispatch.statusChecks));
  set("oakpier_leaf_refused_queue_full", "Leaf requests refused: too long a queue",
      number(gauges.dispatch.refusedQueueFull));
  set("oakpier_leaf_refused_draining", "Leaf requests refused: the leaf drains",
      number(gauges.dispatch.refusedDraining));
  set("oakpier_leaf_refused_expired", "Leaf requests refused: deadline passed",
      number(gauges.dispatch.refusedExpired));
  set("oakpier_leaf_evicted", "Waiting leaf requests that gave way to a higher class",
      number(gauges.dispatch.evicted));
  set("oakpier_leaf_timed_out", "Leaf requests without an answer at their deadline",
      number(gauges.dispatch.timedOut));
  set("oakpier_leaf_cancelled", "Leaf requests cancelled", number(gauges.dispatch.cancelled));
  set("oakpier_leaf_mismatched", "Leaf answers to another question",
      number(gauges.dispatch.mismatchedAnswers));
  set("oakpier_probes_sent", "Membership probes sent", number(gauges.membership.probesSent));
  set("oakpier_suspicions", "Suspicions raised", number(gauges.membership.suspicionsRaised));
  set("oakpier_refutations", "Suspicions of this daemon refuted", number(gauges.membership.refutations));
  set("oakpier_deaths_declared", "Members declared dead here", number(gauges.membership.deathsDeclared));
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

void DaemonMetrics::set(const std::string& name, const std::string& help, double value) {
  prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({}).Set(value);
}

}  // namespace oakpier
