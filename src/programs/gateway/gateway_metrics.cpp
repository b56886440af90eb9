#include "programs/gateway/gateway_metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace oakpier::serving {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr double kCoreHundredths = 100;
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
  void histogram(const std::string& name, const std::string& help, const LatencyHistogram& histogram) {
    families_.push_back(
        {"oakpier_gateway_" + name, help, MetricType::Histogram, {histogramMetric(histogram)}});
  }
  const std::vector<MetricFamily>& families() const { return families_; }

 private:
  static ClientMetric metricOf(const std::string& route, const LatencyHistogram& histogram) {
    ClientMetric metric = histogramMetric(histogram);
    metric.label.push_back({"route", route});
    return metric;
  }
  static ClientMetric histogramMetric(const LatencyHistogram& histogram) {
    ClientMetric metric;
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

void addQuota(FamilyList& list, const QuotaMetrics& quota) {
  list.counter("token_asks_total", "Frames that asked homes of tenants for tokens", quota.client.requests);
  list.counter("token_asks_unanswered_total", "Of these, left unanswered in time", quota.client.unanswered);
  list.counter("tenant_grants_total", "Requests of limited tenants let through", quota.client.granted);
  list.counter("tenant_grants_at_once_total", "Of these, on a token that was at hand",
               quota.client.grantedImmediately);
  list.counter("tenant_refusals_total", "Requests refused beyond their tenant's limit", quota.client.refused);
  list.counter("tenant_refusals_at_once_total", "Of these, without asking", quota.client.refusedImmediately);
  list.counter("tenant_refusals_unanswered_total", "Of these, as no daemon that counts answered",
               quota.client.refusedUnanswered);
  list.counter("tokens_lapsed_total", "Tokens that nobody used in time", quota.client.expired);
  list.counter("tokens_given_back_total", "Tokens of requests that ran nowhere", quota.client.released);
  list.counter("home_tokens_granted_total", "Tokens counted out as the home of tenants",
               quota.server.granted);
  list.counter("home_tokens_advanced_total", "Of these, ahead of a request", quota.server.prefetched);
  list.counter("home_tokens_refused_total", "Requests refused as the home of tenants", quota.server.refused);
  list.counter("home_tokens_refused_undetected_total",
               "Of these, at a reduced rate, as a network partition may be undetected",
               quota.server.refusedPartitionUndetected);
  list.counter("home_tokens_redirected_total",
               "Requests left to a daemon that ranks before this one and responds", quota.server.redirected);
  list.counter("home_tokens_returned_total", "Tokens taken back as the home of tenants",
               quota.server.returned);
  list.counter("home_frames_ignored_total", "Asks that came again or out of order",
               quota.server.framesIgnored);
  list.gauge("tenant_homes_held", "Tenants that this daemon counts for", static_cast<double>(quota.buckets));
  list.gauge("tokens_held", "Tokens that lie here unused", static_cast<double>(quota.tokensHeld));
  list.histogram("token_wait_seconds", "Time that requests waited for a token or its refusal", quota.waits);
}

void addRequests(FamilyList& list, const RequestCounters& requests) {
  list.counter("requests_total", "Requests read from callers", requests.received);
  list.counter("answers_total", "Answers with success", requests.answered);
  list.counter("partial_answers_total", "Answers that lack shards", requests.partial);
  list.counter("refusals_total", "Requests refused as not run", requests.refused);
  list.counter("busy_refusals_total", "Of these, before any send, as leafs were too busy",
               requests.refusedBusy);
  list.counter("unservable_refusals_total", "Of these, before any send, as too few leafs could be reached",
               requests.refusedUnservable);
  list.counter("requests_rejected_ending_leafs_total", "Requests rejected, as leafs end under them",
               requests.rejectedQuarantined);
  list.counter("rejected_keys_total", "Requests answered 401: no readable key, or one that no tenant holds",
               requests.rejectedKeys);
  list.counter("anonymous_with_key_total",
               "Requests with a key that no tenant holds, admitted as anonymous on a public route",
               requests.anonymousWithKey);
  list.counter("refusals_unproved_total",
               "Requests refused, as the configuration was not proved fresh enough for their keys",
               requests.refusedUnproven);
  list.counter("refusals_over_limit_total", "Requests answered 429: their tenant is over its limit",
               requests.refusedOverLimit);
  list.counter("request_trials_total", "Requests sent to one leaf first, as leafs have ended under them",
               requests.trials);
  list.counter("failures_total", "Requests that ended without an answer", requests.failed);
  list.counter("requests_without_route_total", "Requests for which no route was found", requests.noRoute);
  list.counter("callers_gone_total", "Callers that left before their answer", requests.callersDisconnected);
  list.counter("leaf_sends_total", "First sends to leafs", requests.sends);
  list.counter("hedges_total", "Second sends while the first was out", requests.hedges);
  list.counter("retries_total", "Further sends after one had ended", requests.retries);
  list.counter("extra_sends_denied_total", "Hedges and retries that the budget did not allow",
               requests.retryBudgetExhausted);
  list.histograms("answer_seconds", "Time from a request to its answer", requests.answerTimes);
}

void addDelegation(FamilyList& list, const GatewayMetrics& metrics) {
  list.counter("parts_left_to_owners_total", "Shards of requests sent to their owners",
               metrics.ownerClient.parts);
  list.counter("silences_told_total", "Times that the zone was told of silent daemons",
               metrics.ownerClient.unresponsiveReports);
  list.counter("owner_probes_total", "Signs of life asked of silent owners", metrics.ownerClient.probes);
  list.counter("owner_frames_undeliverable_total", "Frames to owners that could not be sent",
               metrics.ownerClient.undeliverable);
  list.counter("parts_served_total", "Shards served as their owner", metrics.partsServed);
  list.counter("parts_by_way_of_mergers_total",
               "Requests to leafs that went by way of a daemon of their zone", metrics.mergeClient.parts);
  list.counter("merger_results_expired_total", "Of these, without a result in time",
               metrics.mergeClient.expired);
  list.counter("merger_answers_incomplete_total", "Answers that relied on a lost frame",
               metrics.mergeClient.incomplete);
  list.counter("parts_merged_total", "Requests sent to leafs for daemons of other zones",
               metrics.partsMerged);
}

void addLeafConnections(FamilyList& list, const LeafPoolCounters& pool) {
  list.counter("leaf_connections_opened_total", "Connections opened to leafs", pool.connectionsOpened);
  list.counter("leaf_connections_failed_total", "Of these, never established", pool.connectionsFailed);
  list.counter("leaf_requests_cut_off_total", "Abandoned requests cut off at work", pool.cancelledInFlight);
  list.counter("leaf_requests_expired_total", "Dropped unsent, as too little of their time was left",
               pool.expiredUnsent);
  list.counter("leaf_connections_expired_total", "Idle connections closed before the leaf does so",
               pool.expiredIdle);
  list.counter("leaf_connections_surplus_total", "Idle connections closed as more than this daemon may hold",
               pool.surplus);
  list.counter("leaf_connections_closed_idle_total", "Idle connections that the leaf ended",
               pool.closedIdleByLeaf);
  list.counter("leaf_connections_closed_with_reply_total", "Connections that ended with a reply",
               pool.closedWithReply);
  list.counter("leaf_connections_broken_total", "Connections that ended under a request",
               pool.closedInFlight);
  list.counter("leafs_ended_total", "Leafs whose process ended under requests of this daemon",
               pool.leafCrashes);
}

void addPeersAndSource(FamilyList& list, const GatewayMetrics& metrics) {
  list.bytesByKind(metrics.peers);
  list.counter("peer_sockets_failed_total", "Sockets to daemons for which no descriptor was free",
               metrics.peers.socketsFailed);
  list.counter("peer_sockets_replaced_total", "Sockets closed in favour of another daemon",
               metrics.peers.socketsReplaced);
  list.counter("peer_reconnections_total", "Connections made anew, as an unreachable daemon was heard",
               metrics.peers.reconnections);
  list.counter("source_calls_total", "Calls to the configuration source", metrics.source.calls);
  list.counter("source_failures_total", "Of these, without a usable answer", metrics.source.failures);
  list.gauge("source_epoch", "Rises each time that the configuration source comes back from a copy",
             static_cast<double>(metrics.source.known.epoch));
  list.gauge("source_revision", "Everything that the source held at this revision of the epoch is known",
             static_cast<double>(metrics.source.known.revision));
  list.counter("source_restorations_total", "Times that a newer epoch of the source became known",
               metrics.source.epochs.restorations);
  list.counter("source_epochs_told_total", "Answers of the source that told an epoch",
               metrics.source.epochs.reported);
  list.counter("source_epochs_skipped_total", "Epochs of the source that were never heard of",
               metrics.source.epochs.skipped);
  list.counter("source_epochs_older_total", "Answers of an epoch before the known one",
               metrics.source.epochs.older);
  list.counter("source_epochs_missing_total", "Answers without an epoch of a source that has told one",
               metrics.source.epochs.missing);
  list.counter("source_epochs_malformed_total", "Answers whose epoch is not a whole number",
               metrics.source.epochs.malformed);
  list.counter("source_listings_outdated_total", "Listings older than what was known, not taken over",
               metrics.source.staleListings);
  list.counter("news_accepted_total", "News taken over from other daemons", metrics.source.updatesAccepted);
  list.counter("news_asked_total", "Times that everything was asked of another daemon",
               metrics.source.updatesRequested);
  list.counter("configurations_refused_total", "Configurations with a problem",
               metrics.source.configurationsRefused);
  list.counter("unusable_records_total", "Records of the source that name no leaf to use or cannot be read",
               metrics.source.unusableRecords);
  list.counter("leafs_born_again_total", "Entries that told of another life of a known leaf",
               metrics.source.leafsRestarted);
  list.counter("proof_questions_total", "Times that another daemon was asked for its proof",
               metrics.source.proofs.requests);
  list.counter("proof_answers_total", "Of these, answered in time", metrics.source.proofs.answered);
  list.counter("proof_questions_timed_out_total", "Of these, not answered in time",
               metrics.source.proofs.timedOut);
  list.counter("proof_reads_total", "Times that the source was read as no other daemon helped to a proof",
               metrics.source.proofs.readRequests);
  list.gauge("configuration_proof_age_seconds", "Since the configuration was last proved the newest",
             metrics.proofAgeSeconds);
}

void addStateAndLogs(FamilyList& list, const GatewayMetrics& metrics) {
  list.gauge("configuration_version", "Version in force", static_cast<double>(metrics.configurationVersion));
  list.gauge("leafs", "Leafs listed", static_cast<double>(metrics.leafs));
  list.gauge("keys", "Keys of all tenants in the configuration", static_cast<double>(metrics.keys));
  list.gauge("condemned_requests", "Requests that are rejected at present, as leafs end under them",
             static_cast<double>(metrics.quarantinedRequests));
  list.gauge("daemons", "Serving daemons, this one included", static_cast<double>(metrics.daemons));
  list.gauge("capacity_cores", "What other daemons place work here by; 0 when it is not told",
             metrics.capacity / kCoreHundredths);
  list.gauge("fleet_capacity_cores", "Of all serving daemons; those that did not tell counted as usual ones",
             static_cast<double>(metrics.fleetCapacity) / kCoreHundredths);
  list.gauge("ready", "1 when callers should be sent here", metrics.ready ? 1 : 0);
  list.counter("log_lines_left_out_total", "Log lines beyond the bound", metrics.logLinesSuppressed);
  list.counter("log_lines_dropped_total", "Log lines lost to a stalled reader", metrics.logLinesDropped);
}

void addProcess(FamilyList& list, const ProcessMetrics& process) {
  list.counter("log_lines_unwritten_total", "Log lines that could not be written to the output",
               process.logLinesUnwritten);
  list.counter("handler_failures_total", "Handlers of the request thread that ended by an exception",
               process.handlerFailures);
  list.gauge("descriptor_limit", "Descriptors that the process may have open",
             static_cast<double>(process.descriptorLimit));
  list.gauge("caller_connections", "Connections of callers", static_cast<double>(process.callerConnections));
  list.counter("caller_connections_rejected_total", "Connections of callers beyond the maximum",
               process.callerConnectionsRejected);
  list.gauge("reply_bytes", "Memory of large replies of leafs", static_cast<double>(process.replyBytes));
  list.counter("replies_given_up_total", "Replies that took too much memory together with others",
               process.repliesGivenUp);
  list.counter("requests_given_up_total", "Requests refused while read, as they took too much memory",
               process.requestsGivenUp);
}

}  // namespace

std::string metricsText(const GatewayMetrics& metrics) {
  FamilyList list;
  addRequests(list, metrics.requests);
  addDelegation(list, metrics);
  addLeafConnections(list, metrics.pool);
  addPeersAndSource(list, metrics);
  addQuota(list, metrics.quota);
  addStateAndLogs(list, metrics);
  addProcess(list, metrics.process);
  return prometheus::TextSerializer().Serialize(list.families());
}

}  // namespace oakpier::serving
