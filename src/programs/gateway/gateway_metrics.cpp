#include "programs/gateway/gateway_metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace oakpier::serving {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr double kFirstBoundSeconds = 0.001;
/// In the order of `FrameKind`.
constexpr std::array<const char*, kFrameKinds> kFrameKindNames = {"membership", "configuration", "work"};

class FamilyList {
 public:
  void counter(const std::string& name, const std::string& help, std::uint64_t value) {
    ClientMetric metric;
    metric.counter.value = static_cast<double>(value);
    families_.push_back({"oakpier_gateway_" + name, help, MetricType::Counter, {metric}});
  }
  void gauge(const std::string& name, const std::string& help, double value) {
    ClientMetric metric;
    metric.gauge.value = value;
    families_.push_back({"oakpier_gateway_" + name, help, MetricType::Gauge, {metric}});
  }
  void bytesByKind(const PeerTransportCounters& peers) {
    MetricFamily family{"oakpier_gateway_peer_bytes_sent_total",
                        "Bytes of frames sent to other daemons",
                        MetricType::Counter,
                        {}};
    for (std::size_t kind = 0; kind < kFrameKinds; ++kind) {
      ClientMetric metric;
      metric.label.push_back({"kind", kFrameKindNames.at(kind)});
      metric.counter.value = static_cast<double>(peers.bytesSentByKind.at(kind));
      family.metric.push_back(metric);
    }
    families_.push_back(std::move(family));
  }
  void histograms(const std::string& name, const std::string& help,
                  const std::map<std::string, LatencyHistogram>& byRoute) {
    MetricFamily family{"oakpier_gateway_" + name, help, MetricType::Histogram, {}};
    for (const auto& [route, histogram] : byRoute) {
      family.metric.push_back(metricOf(route, histogram));
    }
    families_.push_back(std::move(family));
  }
  const std::vector<MetricFamily>& families() const { return families_; }

 private:
  static ClientMetric metricOf(const std::string& route, const LatencyHistogram& histogram) {
    ClientMetric metric;
    metric.label.push_back({"route", route});
    metric.histogram.sample_count = histogram.count();
    metric.histogram.sample_sum = histogram.sumSeconds();
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < LatencyHistogram::kBuckets; ++bucket) {
      cumulative += histogram.buckets().at(bucket);
      metric.histogram.bucket.push_back({cumulative, LatencyHistogram::upperBoundSeconds(bucket)});
    }
    return metric;
  }

  std::vector<MetricFamily> families_;
};

/// What is known of the configuration source, and how lately.
void addSourceFigures(const GatewayFigures& figures, FamilyList& list) {
  list.counter("source_calls_total", "Calls to the configuration source", figures.source.calls);
  list.counter("source_failures_total", "Of these, without a usable answer", figures.source.failures);
  list.counter("news_accepted_total", "News taken over from other daemons", figures.source.newsAccepted);
  list.counter("news_asked_total", "Times that everything was asked of another daemon",
               figures.source.newsAsked);
  list.counter("configurations_refused_total", "Configurations with a problem",
               figures.source.configurationsRefused);
  list.counter("proof_questions_total", "Times that another daemon was asked for its proof",
               figures.source.proofs.asked);
  list.counter("proof_answers_total", "Of these, answered in time", figures.source.proofs.answered);
  list.counter("proof_questions_timed_out_total", "Of these, not answered in time",
               figures.source.proofs.timedOut);
  list.counter("proof_reads_total", "Times that the source was read as no other daemon helped to a proof",
               figures.source.proofs.readWishes);
  list.gauge("configuration_proof_age_seconds", "Since the configuration was last proved the newest",
             figures.proofAgeSeconds);
}

}  // namespace

double LatencyHistogram::upperBoundSeconds(std::size_t bucket) {
  return bucket + 1 == kBuckets ? std::numeric_limits<double>::infinity()
                                : kFirstBoundSeconds * static_cast<double>(1U << bucket);
}

void LatencyHistogram::record(Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  std::size_t bucket = 0;
  while (seconds > upperBoundSeconds(bucket)) {
    ++bucket;
  }
  ++buckets_.at(bucket);
  sumSeconds_ += seconds;
  ++count_;
}

std::string metricsText(const GatewayFigures& figures) {
  FamilyList list;
  const RequestCounters& requests = figures.requests;
  list.counter("requests_total", "Requests read from callers", requests.received);
  list.counter("answers_total", "Answers with success", requests.answered);
  list.counter("partial_answers_total", "Answers that lack shards", requests.partial);
  list.counter("refusals_total", "Requests refused as not run", requests.refused);
  list.counter("busy_refusals_total", "Of these, before any send, as leafs were too busy",
               requests.refusedBusy);
  list.counter("unservable_refusals_total", "Of these, before any send, as too few leafs could be reached",
               requests.refusedUnservable);
  list.counter("requests_rejected_ending_leafs_total", "Requests rejected, as leafs end under them",
               requests.rejectedEndingLeafs);
  list.counter("request_trials_total", "Requests sent to one leaf first, as leafs have ended under them",
               requests.trials);
  list.counter("failures_total", "Requests that ended without an answer", requests.failed);
  list.counter("requests_without_route_total", "Requests for which no route was found", requests.noRoute);
  list.counter("callers_gone_total", "Callers that left before their answer", requests.callersGone);
  list.counter("leaf_sends_total", "First sends to leafs", requests.sends);
  list.counter("hedges_total", "Second sends while the first was out", requests.hedges);
  list.counter("retries_total", "Further sends after one had ended", requests.retries);
  list.counter("extra_sends_denied_total", "Hedges and retries that the budget did not allow",
               requests.budgetEmpty);
  list.histograms("answer_seconds", "Time from a request to its answer", requests.answerTimes);
  list.counter("parts_left_to_owners_total", "Shards of requests sent to their owners", figures.owners.parts);
  list.counter("silences_told_total", "Times that the zone was told of silent daemons",
               figures.owners.silencesTold);
  list.counter("owner_probes_total", "Signs of life asked of silent owners", figures.owners.probes);
  list.counter("owner_frames_undeliverable_total", "Frames to owners that could not be sent",
               figures.owners.undeliverable);
  list.counter("parts_served_total", "Shards served as their owner", figures.partsServed);
  list.counter("parts_by_way_of_mergers_total",
               "Requests to leafs that went by way of a daemon of their zone", figures.mergers.parts);
  list.counter("merger_results_expired_total", "Of these, without a result in time", figures.mergers.expired);
  list.counter("merger_answers_incomplete_total", "Answers that relied on a lost frame",
               figures.mergers.incomplete);
  list.counter("parts_merged_total", "Requests sent to leafs for daemons of other zones",
               figures.partsMerged);
  list.counter("leaf_connections_opened_total", "Connections opened to leafs",
               figures.pool.connectionsOpened);
  list.counter("leaf_connections_failed_total", "Of these, never established",
               figures.pool.connectionsFailed);
  list.counter("leaf_requests_cut_off_total", "Abandoned requests cut off at work",
               figures.pool.abandonedAtWork);
  list.counter("leaf_requests_expired_total", "Dropped unsent, as too little of their time was left",
               figures.pool.expiredUnsent);
  list.counter("leaf_connections_expired_total", "Idle connections closed before the leaf does so",
               figures.pool.expiredIdle);
  list.counter("leaf_connections_surplus_total", "Idle connections closed as more than this daemon may hold",
               figures.pool.surplus);
  list.counter("leaf_connections_closed_idle_total", "Idle connections that the leaf ended",
               figures.pool.closedIdleByLeaf);
  list.counter("leaf_connections_closed_with_reply_total", "Connections that ended with a reply",
               figures.pool.closedWithReply);
  list.counter("leaf_connections_broken_total", "Connections that ended under a request",
               figures.pool.brokenUnderRequest);
  list.counter("leafs_ended_total", "Leafs whose process ended under requests of this daemon",
               figures.pool.leafsEnded);
  list.bytesByKind(figures.peers);
  list.counter("peer_reconnections_total", "Connections made anew, as an unreachable daemon was heard",
               figures.peers.reconnections);
  addSourceFigures(figures, list);
  list.gauge("configuration_version", "Version in force", static_cast<double>(figures.configurationVersion));
  list.gauge("leafs", "Leafs listed", static_cast<double>(figures.leafs));
  list.gauge("condemned_requests", "Requests that are rejected at present, as leafs end under them",
             static_cast<double>(figures.condemnedRequests));
  list.gauge("daemons", "Serving daemons, this one included", static_cast<double>(figures.daemons));
  list.gauge("ready", "1 when callers should be sent here", figures.ready ? 1 : 0);
  list.counter("log_lines_left_out_total", "Log lines beyond the bound", figures.logLinesLeftOut);
  list.counter("log_lines_dropped_total", "Log lines lost to a stalled reader", figures.logLinesDropped);
  return prometheus::TextSerializer().Serialize(list.families());
}

}  // namespace oakpier::serving
